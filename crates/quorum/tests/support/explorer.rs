//! One seeded schedule of faults.

use std::time::Duration;

use quorum::event::{Event, Role};
use quorum::fault::PlantedFault;
use quorum::ids;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::world::{Checked, TestWorld};

/// Odds of each kind of fault at each step; a schedule draws its own.
struct FaultOdds {
    crash: f64,
    /// Crashes of all replicas at once, most of which start again at once.
    crash_all: f64,
    /// Crashes while a vote is being written.
    crash_vote: f64,
    freeze: f64,
    lose_disk: f64,
    cut: f64,
    block: f64,
    split: f64,
    heal: f64,
    hand_over: f64,
    storage: f64,
    snapshot: f64,
}

impl FaultOdds {
    fn draw(random: &mut SmallRng) -> Self {
        let mut odds = |most: f64| {
            if random.random_bool(0.5) {
                random.random_range(0.0..most)
            } else {
                0.0
            }
        };
        Self {
            crash: odds(0.05),
            crash_all: odds(0.01),
            crash_vote: odds(0.5),
            freeze: odds(0.02),
            lose_disk: odds(0.02),
            cut: odds(0.03),
            block: odds(0.05),
            split: odds(0.02),
            heal: odds(0.05) + 0.01,
            hand_over: odds(0.01),
            storage: odds(0.01),
            snapshot: odds(0.1),
        }
    }
}

/// Runs one schedule and returns the first promise that it breaks.
pub fn explore(seed: u64, steps: usize, fault: Option<PlantedFault>) -> Checked {
    let mut random = SmallRng::seed_from_u64(seed);
    let replicas = if seed % 3 == 2 { 5 } else { 3 };
    let mut world = TestWorld::new(replicas, seed ^ 0x5eed, fault);
    let odds = FaultOdds::draw(&mut random);
    if !seed.is_multiple_of(8) {
        world.form();
    }
    for id in world.ids() {
        world.start(id);
    }
    world.odds.drop = random.random_range(0.0..0.2);
    world.odds.duplicate = random.random_range(0.0..0.2);
    world.odds.delay = random.random_range(0.0..0.1);
    world.odds.late = Duration::from_millis(random.random_range(50..2000));
    world.odds.sync = Duration::from_millis(random.random_range(0..80));
    for step in 0..steps {
        world.step()?;
        disturb(&mut world, &odds, &mut random)?;
        ask(&mut world, step, &mut random)?;
    }
    world.converge()
}

/// Runs one schedule in which three replicas form, others join, and voters are replaced by
/// those that wait.
pub fn explore_members(seed: u64, steps: usize, fault: Option<PlantedFault>) -> Checked {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut world = TestWorld::new(7, seed ^ 0x6e0b, fault);
    world.growth = Some((3, 5));
    let odds = FaultOdds::draw(&mut random);
    for id in 1..=5 {
        world.start(id);
    }
    world.run_for(Duration::from_secs(3))?;
    world.formed = true;
    world.odds.drop = random.random_range(0.0..0.15);
    world.odds.duplicate = random.random_range(0.0..0.2);
    world.odds.delay = random.random_range(0.0..0.1);
    world.odds.late = Duration::from_millis(random.random_range(50..2000));
    world.odds.sync = Duration::from_millis(random.random_range(0..80));
    for step in 0..steps {
        world.step()?;
        disturb(&mut world, &odds, &mut random)?;
        ask(&mut world, step, &mut random)?;
    }
    world.converge()
}

/// Asks for a read or a proposal now and then, mostly of a leader.
fn ask(world: &mut TestWorld, step: usize, random: &mut SmallRng) -> Checked {
    if !random.random_bool(0.2) {
        return Ok(());
    }
    let any = any_of(&world.ids(), random);
    let leaders: Vec<_> = world
        .ids()
        .into_iter()
        .filter(|id| world.is_awake(*id) && world.role(*id) == Some(Role::Leader))
        .collect();
    let id = match leaders.as_slice() {
        [] => any,
        leaders => any_of(leaders, random),
    };
    if !world.is_awake(id) {
        return Ok(());
    }
    if random.random_bool(0.3) {
        world.read(id).map(|_| ())
    } else {
        world.propose(id, &step.to_le_bytes()).map(|_| ())
    }
}

fn any_of(ids: &[ids::ReplicaId], random: &mut SmallRng) -> ids::ReplicaId {
    ids[random.random_range(0..ids.len())]
}

fn disturb(world: &mut TestWorld, odds: &FaultOdds, random: &mut SmallRng) -> Checked {
    let id = any_of(&world.ids(), random);
    let running = world.role(id).is_some();
    if !running && random.random_bool(0.1) {
        world.start(id);
    }
    let crash = if world.is_writing_vote(id) {
        odds.crash.max(odds.crash_vote)
    } else {
        odds.crash
    };
    if running && random.random_bool(crash) {
        world.crash(id);
    }
    if random.random_bool(odds.crash_all) {
        for id in world.ids() {
            let running = world.role(id).is_some();
            world.crash(id);
            if running && random.random_bool(0.8) {
                world.start(id);
            }
        }
    }
    if world.is_awake(id) && random.random_bool(odds.freeze) {
        let time = Duration::from_millis(random.random_range(100..3000));
        world.freeze(id, time);
    }
    if random.random_bool(odds.lose_disk) && world.may_lose_disk(id) {
        if random.random_bool(0.5) {
            let time = Duration::from_millis(random.random_range(100..3000));
            world.hold_back(id, time);
        }
        world.lose_disk(id);
        world.start(id);
    }
    if random.random_bool(odds.cut) {
        let leader = world.leader().filter(|_| random.random_bool(0.5));
        world.cut(leader.unwrap_or(id));
    }
    if random.random_bool(odds.block) {
        let other = any_of(&world.ids(), random);
        world.blocked.insert((id, other));
    }
    if random.random_bool(odds.split) {
        world.split();
    }
    if random.random_bool(odds.heal) {
        world.heal();
    }
    if !world.is_awake(id) {
        return Ok(());
    }
    if random.random_bool(odds.hand_over) {
        world.handle(id, Event::HandOver)?;
    }
    if random.random_bool(odds.storage) {
        world.handle(id, Event::StorageFailed)?;
    }
    if random.random_bool(odds.snapshot) {
        world.snapshot(id)?;
    }
    Ok(())
}
