//! Seeded schedules of faults.

use std::time::Duration;

use quorum::event::{Event, Role};
use quorum::fault::InjectedFault;
use quorum::ids;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::cluster::{CheckResult, SimulatedCluster};

/// Probability of each kind of fault at each step; drawn for each schedule.
struct FaultRates {
    crash: f64,
    /// Probability of a crash of the leader.
    crash_leader: f64,
    /// Probability of a crash of all replicas at once, most of which restart immediately.
    crash_all: f64,
    /// Probability of a crash while a vote is being written.
    crash_vote: f64,
    suspend: f64,
    lose_disk: f64,
    isolate: f64,
    block: f64,
    split: f64,
    heal: f64,
    transfer: f64,
    fail_disk: f64,
    snapshot: f64,
}

impl FaultRates {
    fn draw(random: &mut SmallRng) -> Self {
        let mut rate = |max: f64| {
            if random.random_bool(0.5) {
                random.random_range(0.0..max)
            } else {
                0.0
            }
        };
        Self {
            crash: rate(0.05),
            crash_leader: rate(0.1),
            crash_all: rate(0.01),
            crash_vote: rate(0.5),
            suspend: rate(0.02),
            lose_disk: rate(0.02),
            isolate: rate(0.03),
            block: rate(0.05),
            split: rate(0.02),
            heal: rate(0.05) + 0.01,
            transfer: rate(0.01),
            fail_disk: rate(0.01),
            snapshot: rate(0.1),
        }
    }
}

/// Runs one schedule and returns the first violated invariant.
pub fn explore(seed: u64, steps: usize, fault: Option<InjectedFault>) -> CheckResult {
    let mut random = SmallRng::seed_from_u64(seed);
    let replicas = if seed % 3 == 2 { 5 } else { 3 };
    let mut cluster = SimulatedCluster::new(replicas, seed ^ 0x5eed, fault);
    let rates = FaultRates::draw(&mut random);
    if !seed.is_multiple_of(8) {
        cluster.bootstrap();
    }
    for id in cluster.ids() {
        cluster.start(id);
    }
    cluster.conditions.drop_probability = random.random_range(0.0..0.2);
    cluster.conditions.duplicate_probability = random.random_range(0.0..0.2);
    cluster.conditions.delay_probability = random.random_range(0.0..0.1);
    cluster.conditions.max_delay = Duration::from_millis(random.random_range(50..2000));
    cluster.conditions.max_sync_time = Duration::from_millis(random.random_range(0..80));
    for step in 0..steps {
        cluster.step()?;
        inject_faults(&mut cluster, &rates, &mut random)?;
        send_request(&mut cluster, step, &mut random)?;
    }
    cluster.converge()
}

/// Runs one schedule in which two groups of five replicas often don't reach each other, in one or both
/// directions, while the others reach both.
pub fn explore_bridges(seed: u64, steps: usize, fault: Option<InjectedFault>) -> CheckResult {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut cluster = SimulatedCluster::new(5, seed ^ 0xb41d, fault);
    let rates = FaultRates::draw(&mut random);
    cluster.bootstrap();
    for id in cluster.ids() {
        cluster.start(id);
    }
    cluster.conditions.drop_probability = random.random_range(0.0..0.1);
    cluster.conditions.max_sync_time = Duration::from_millis(random.random_range(0..80));
    for step in 0..steps {
        cluster.step()?;
        if random.random_bool(0.02) {
            cluster.heal();
            cut_random_groups(&mut cluster, &mut random);
        }
        inject_faults(&mut cluster, &rates, &mut random)?;
        send_request(&mut cluster, step, &mut random)?;
    }
    cluster.converge()
}

/// Assigns each replica to one of two groups, or to those that reach both, and cuts the groups.
fn cut_random_groups(cluster: &mut SimulatedCluster, random: &mut SmallRng) {
    let mut groups = [Vec::new(), Vec::new(), Vec::new()];
    for id in cluster.ids() {
        groups[random.random_range(0..groups.len())].push(id);
    }
    let [first, second, _] = groups;
    cluster.cut_groups(&first, &second, random.random_bool(0.3));
}

/// Runs one schedule in which three replicas bootstrap the cluster, others join, and learners
/// replace voters.
pub fn explore_members(seed: u64, steps: usize, fault: Option<InjectedFault>) -> CheckResult {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut cluster = SimulatedCluster::new(7, seed ^ 0x6e0b, fault);
    cluster.growth = Some((3, 5));
    let rates = FaultRates::draw(&mut random);
    for id in 1..=5 {
        cluster.start(id);
    }
    cluster.run_for(Duration::from_secs(3))?;
    cluster.bootstrapped = true;
    cluster.conditions.drop_probability = random.random_range(0.0..0.15);
    cluster.conditions.duplicate_probability = random.random_range(0.0..0.2);
    cluster.conditions.delay_probability = random.random_range(0.0..0.1);
    cluster.conditions.max_delay = Duration::from_millis(random.random_range(50..2000));
    cluster.conditions.max_sync_time = Duration::from_millis(random.random_range(0..80));
    for step in 0..steps {
        cluster.step()?;
        inject_faults(&mut cluster, &rates, &mut random)?;
        send_request(&mut cluster, step, &mut random)?;
    }
    cluster.converge()
}

/// Runs one schedule of rounds: a voter is suspended until a learner replaces it, wakes up, and the
/// replicas fall into two halves. Clients send to all replicas of both halves.
pub fn explore_replacements(seed: u64, fault: Option<InjectedFault>) -> CheckResult {
    const ROUNDS: usize = 4;
    let mut random = SmallRng::seed_from_u64(seed);
    let mut cluster = SimulatedCluster::new(6, seed ^ 0x3e91, fault);
    cluster.growth = Some((3, 5));
    for id in cluster.ids() {
        cluster.start(id);
    }
    cluster.run_for(Duration::from_secs(4))?;
    cluster.bootstrapped = true;
    cluster.conditions.drop_probability = random.random_range(0.0..0.1);
    cluster.conditions.duplicate_probability = random.random_range(0.0..0.2);
    cluster.conditions.delay_probability = random.random_range(0.0..0.05);
    cluster.conditions.max_delay = Duration::from_millis(random.random_range(50..4000));
    for round in 0..ROUNDS {
        let voter = choose(&cluster.ids(), &mut random);
        cluster.suspend(
            voter,
            Duration::from_millis(random.random_range(1_000..4_000)),
        );
        run_with_requests(&mut cluster, round, &mut random)?;
        if random.random_bool(0.3) {
            for id in cluster.ids() {
                cluster.crash(id);
                cluster.start(id);
            }
        }
        if random.random_bool(0.3) {
            let id = choose(&cluster.ids(), &mut random);
            cluster.snapshot(id)?;
        }
        cluster.split();
        run_with_requests(&mut cluster, round, &mut random)?;
        cluster.heal();
    }
    cluster.converge()
}

/// Runs the cluster for some seconds, in which all replicas get proposals and reads.
fn run_with_requests(
    cluster: &mut SimulatedCluster,
    round: usize,
    random: &mut SmallRng,
) -> CheckResult {
    let end = cluster.now + Duration::from_millis(random.random_range(1_000..6_000));
    while cluster.now < end {
        cluster.run_for(Duration::from_millis(random.random_range(50..400)))?;
        for id in cluster.ids() {
            if cluster.is_active(id) {
                cluster.propose(id, &round.to_le_bytes())?;
                cluster.read(id)?;
            }
        }
    }
    Ok(())
}

/// Sends a read or a proposal at random, preferably to a leader.
fn send_request(cluster: &mut SimulatedCluster, step: usize, random: &mut SmallRng) -> CheckResult {
    if !random.random_bool(0.2) {
        return Ok(());
    }
    let any = choose(&cluster.ids(), random);
    let leaders: Vec<_> = cluster
        .ids()
        .into_iter()
        .filter(|id| cluster.is_active(*id) && cluster.role(*id) == Some(Role::Leader))
        .collect();
    let id = match leaders.as_slice() {
        [] => any,
        leaders => choose(leaders, random),
    };
    if !cluster.is_active(id) {
        return Ok(());
    }
    if random.random_bool(0.3) {
        cluster.read(id).map(|_| ())
    } else {
        cluster.propose(id, &step.to_le_bytes()).map(|_| ())
    }
}

fn choose(ids: &[ids::ReplicaId], random: &mut SmallRng) -> ids::ReplicaId {
    ids[random.random_range(0..ids.len())]
}

fn inject_faults(
    cluster: &mut SimulatedCluster,
    rates: &FaultRates,
    random: &mut SmallRng,
) -> CheckResult {
    let id = choose(&cluster.ids(), random);
    let running = cluster.role(id).is_some();
    if !running && random.random_bool(0.1) {
        cluster.start(id);
    }
    let crash = if cluster.is_writing_vote(id) {
        rates.crash.max(rates.crash_vote)
    } else {
        rates.crash
    };
    if running && random.random_bool(crash) {
        cluster.crash(id);
    }
    if let Some(leader) = cluster
        .leader()
        .filter(|_| random.random_bool(rates.crash_leader))
    {
        cluster.crash(leader);
    }
    if random.random_bool(rates.crash_all) {
        for id in cluster.ids() {
            let running = cluster.role(id).is_some();
            cluster.crash(id);
            if running && random.random_bool(0.8) {
                cluster.start(id);
            }
        }
    }
    if cluster.is_active(id) && random.random_bool(rates.suspend) {
        let time = Duration::from_millis(random.random_range(100..3000));
        cluster.suspend(id, time);
    }
    if random.random_bool(rates.lose_disk) && cluster.may_lose_disk(id) {
        if random.random_bool(0.5) {
            let time = Duration::from_millis(random.random_range(100..3000));
            cluster.delay_messages(id, time);
        }
        cluster.lose_disk(id);
        cluster.start(id);
    }
    if random.random_bool(rates.isolate) {
        let leader = cluster.leader().filter(|_| random.random_bool(0.5));
        cluster.isolate(leader.unwrap_or(id));
    }
    if random.random_bool(rates.block) {
        let other = choose(&cluster.ids(), random);
        cluster.blocked.insert((id, other));
    }
    if random.random_bool(rates.split) {
        cluster.split();
    }
    if random.random_bool(rates.heal) {
        cluster.heal();
    }
    if !cluster.is_active(id) {
        return Ok(());
    }
    if random.random_bool(rates.transfer) {
        cluster.handle(id, Event::TransferLeadership)?;
    }
    if random.random_bool(rates.fail_disk) {
        cluster.handle(id, Event::StorageFailed)?;
    }
    if random.random_bool(rates.snapshot) {
        cluster.snapshot(id)?;
    }
    Ok(())
}
