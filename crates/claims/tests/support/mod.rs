//! Entry hosts that claim the same keys under a seeded schedule of faults.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use claims::claimant::{AttemptEffect, ClaimAttempt, ClaimOutcome};
use claims::fault::PlantedFault;
use claims::keeper::{ClaimKeeper, KeeperLimits};
use claims::record::{AttemptId, ClaimAnswer, ClaimKey, ClaimRecord, KeptAnswer, RunEnd};
use claims::ring::{HostList, KeeperRing};
use model::ids;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const DIGEST: u64 = 7;

fn limits() -> KeeperLimits {
    KeeperLimits {
        attempt: Duration::from_millis(500),
        ..KeeperLimits::default()
    }
}

/// How a run that was granted stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RunStand {
    MayHaveRun,
    NotRun,
}

#[derive(Debug, Clone)]
enum Happening {
    Ask(AttemptId, ClaimKey),
    Answer(AttemptId, ids::HostName, ClaimAnswer),
    Complete(AttemptId, ClaimKey, RunEnd),
    Deadline(AttemptId),
    RunEnds(AttemptId),
    DumpAsked(ids::HostName, u64),
    Dump(u64, ids::HostName, Vec<ClaimRecord>),
    KeeperTick(u64),
    ListsAsked(ids::HostName, u64),
    Lists(u64, Vec<HostList>),
    ListInForce(u64, Vec<ids::HostName>),
}

struct TestHost {
    keeper: ClaimKeeper,
    ring: KeeperRing,
    /// Version of the list of hosts that it has.
    version: u64,
    start: u64,
    attempts: BTreeMap<AttemptId, ClaimAttempt>,
    cut: bool,
}

pub struct ClaimWorld {
    pub now: Instant,
    pub random: SmallRng,
    pub drop: f64,
    pub late: f64,
    pub runs: BTreeMap<ClaimKey, Vec<(AttemptId, RunStand)>>,
    pub outcomes: Vec<(AttemptId, ClaimOutcome)>,
    hosts: BTreeMap<ids::HostName, TestHost>,
    all: Vec<ids::HostName>,
    /// List of hosts in force.
    listed: Vec<ids::HostName>,
    version: u64,
    queue: BTreeMap<(Instant, u64), (ids::HostName, Happening)>,
    sequence: u64,
    fault: Option<PlantedFault>,
}

pub type Checked = Result<(), String>;

impl ClaimWorld {
    pub fn new(hosts: usize, seed: u64, fault: Option<PlantedFault>) -> Self {
        let names: Vec<_> = (1..=hosts).map(|n| format!("entry-{n}")).collect();
        let mut world = Self {
            now: Instant::now(),
            random: SmallRng::seed_from_u64(seed),
            drop: 0.0,
            late: 0.0,
            runs: BTreeMap::new(),
            outcomes: Vec::new(),
            hosts: BTreeMap::new(),
            all: names.clone(),
            listed: names.clone(),
            version: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            fault,
        };
        for name in names {
            world.boot(&name);
            let host = world.hosts.get_mut(&name).unwrap();
            host.keeper.start_empty();
            host.ring.start_empty();
        }
        world
    }

    pub fn names(&self) -> Vec<ids::HostName> {
        self.hosts.keys().cloned().collect()
    }

    fn boot(&mut self, name: &ids::HostName) {
        self.sequence += 1;
        let keeper = ClaimKeeper::new(self.now, limits()).with_fault(self.fault);
        let mut ring = KeeperRing::new(self.now, self.listed.clone(), limits().window);
        if self.fault == Some(PlantedFault::ForgetFormerLists) {
            ring.start_empty();
        }
        let host = TestHost {
            keeper,
            ring,
            version: self.version,
            start: self.sequence,
            attempts: BTreeMap::new(),
            cut: false,
        };
        self.at(Duration::ZERO, name, Happening::KeeperTick(self.sequence));
        self.hosts.insert(name.clone(), host);
    }

    /// Restarts a host; its runs end without anybody knowing how.
    pub fn restart(&mut self, name: &ids::HostName) {
        self.boot(name);
    }

    pub fn is_any_recovering(&self) -> bool {
        let mut hosts = self.hosts.values();
        hosts.any(|host| host.keeper.is_recovering(self.now))
    }

    pub fn set_cut(&mut self, name: &ids::HostName, cut: bool) {
        self.hosts.get_mut(name).unwrap().cut = cut;
    }

    /// Puts another list of hosts in force, which each host hears of a little later.
    pub fn change_list(&mut self) {
        let fewest = self.all.len().min(2);
        let mut listed = self.all.clone();
        listed.retain(|_| self.random.random_bool(0.7));
        if listed.len() < fewest {
            return;
        }
        self.version += 1;
        self.listed = listed.clone();
        for name in self.all.clone() {
            let lag = Duration::from_millis(self.random.random_range(0..1000));
            self.at(
                lag,
                &name,
                Happening::ListInForce(self.version, listed.clone()),
            );
        }
    }

    pub fn attempt(&mut self, name: &ids::HostName, key: &ClaimKey) -> Result<AttemptId, String> {
        let id = AttemptId {
            host: name.clone(),
            number: self.random.random(),
        };
        let Some(groups) = self.hosts[name].ring.groups(self.now, key) else {
            return Ok(id);
        };
        let limit = limits().attempt;
        let deadline = self.now + limit;
        let mut attempt = ClaimAttempt::new(id.clone(), key.clone(), DIGEST, groups, deadline)
            .with_fault(self.fault);
        let effects = attempt.start(self.now);
        let host = self.hosts.get_mut(name).unwrap();
        host.attempts.insert(id.clone(), attempt);
        self.at(limit, name, Happening::Deadline(id.clone()));
        self.carry_out(&id, key, effects)?;
        Ok(id)
    }

    /// Keeps an attempt's claims at all keepers but one in the network for longer.
    fn hold_back_claims(&mut self, id: &AttemptId, but: &ids::HostName) {
        let is_held = |to: &ids::HostName, happening: &Happening| {
            matches!(happening, Happening::Ask(asking, _) if asking == id) && to != but
        };
        let (held, others) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|(_, (to, happening))| is_held(to, happening));
        self.queue = others;
        let held: BTreeMap<_, _> = held;
        for ((at, number), happening) in held {
            let time = Duration::from_millis(self.random.random_range(200..1600));
            self.queue.insert((at + time, number), happening);
        }
    }

    fn at(&mut self, delay: Duration, to: &ids::HostName, happening: Happening) {
        self.sequence += 1;
        let place = (self.now + delay, self.sequence);
        self.queue.insert(place, (to.clone(), happening));
    }

    /// Sends a message that may be late, lost or doubled.
    fn send(&mut self, from: &ids::HostName, to: &ids::HostName, happening: &Happening) {
        let copies = 1 + u64::from(self.random.random_bool(0.1));
        let cut = self.hosts[from].cut && from != to;
        for _ in 0..copies {
            if cut || self.random.random_bool(self.drop) {
                continue;
            }
            let late = self.random.random_bool(self.late);
            let longest = if late { 1500 } else { 40 };
            let delay = Duration::from_millis(self.random.random_range(0..longest));
            self.at(delay, to, happening.clone());
        }
    }

    fn carry_out(
        &mut self,
        id: &AttemptId,
        key: &ClaimKey,
        effects: Vec<AttemptEffect>,
    ) -> Checked {
        for effect in effects {
            match effect {
                AttemptEffect::Ask(keeper) => {
                    let ask = Happening::Ask(id.clone(), key.clone());
                    self.send(&id.host, &keeper, &ask);
                }
                AttemptEffect::Complete { keeper, end } => {
                    let complete = Happening::Complete(id.clone(), key.clone(), end);
                    self.send(&id.host, &keeper, &complete);
                }
                AttemptEffect::Finish(outcome) => self.finish(id, key, outcome)?,
            }
        }
        Ok(())
    }

    fn finish(&mut self, id: &AttemptId, key: &ClaimKey, outcome: ClaimOutcome) -> Checked {
        let runs = self.runs.entry(key.clone()).or_default();
        self.outcomes.push((id.clone(), outcome.clone()));
        if outcome != ClaimOutcome::Granted {
            return Ok(());
        }
        if runs.iter().any(|(_, stand)| *stand == RunStand::MayHaveRun) {
            return Err(format!("{key} runs twice: {runs:?}, then {id:?}"));
        }
        runs.push((id.clone(), RunStand::MayHaveRun));
        let time = Duration::from_millis(self.random.random_range(1..800));
        self.at(time, &id.host, Happening::RunEnds(id.clone()));
        Ok(())
    }

    pub fn run_for(&mut self, time: Duration) -> Checked {
        let end = self.now + time;
        while let Some(((at, _), _)) = self.queue.first_key_value() {
            if *at > end {
                break;
            }
            self.step()?;
        }
        self.now = end;
        Ok(())
    }

    pub fn step(&mut self) -> Checked {
        let Some(((at, _), (to, happening))) = self.queue.pop_first() else {
            return Ok(());
        };
        self.now = self.now.max(at);
        let now = self.now;
        let host = self.hosts.get_mut(&to).unwrap();
        match happening {
            Happening::Ask(id, key) if !host.cut || id.host == to => {
                let answer = host.keeper.claim(now, &key, DIGEST, &id);
                let reply = Happening::Answer(id.clone(), to.clone(), answer);
                self.send(&to, &id.host, &reply);
            }
            Happening::Answer(id, keeper, answer) if !host.cut || keeper == to => {
                if let Some(attempt) = host.attempts.get_mut(&id) {
                    let key = attempt.key().clone();
                    let effects = attempt.on_answer(now, keeper, answer);
                    self.carry_out(&id, &key, effects)?;
                }
            }
            Happening::Complete(id, key, end) if !host.cut || id.host == to => {
                host.keeper.complete(now, &key, DIGEST, &id, end);
            }
            Happening::Deadline(id) => {
                if let Some(attempt) = host.attempts.get_mut(&id) {
                    let key = attempt.key().clone();
                    let effects = attempt.on_tick(now);
                    self.carry_out(&id, &key, effects)?;
                }
            }
            Happening::RunEnds(id) => self.end_run(&id)?,
            Happening::DumpAsked(from, start) if !host.cut => {
                if let Some(records) = host.keeper.dump(now) {
                    let dump = Happening::Dump(start, to.clone(), records);
                    self.send(&to, &from, &dump);
                }
            }
            Happening::Dump(start, from, records) if !host.cut && host.start == start => {
                let others = self.others(&to);
                let host = self.hosts.get_mut(&to).unwrap();
                host.keeper.recover(now, from, records, &others);
            }
            Happening::ListsAsked(from, start) if !host.cut => {
                if let Some(lists) = host.ring.lists(now) {
                    self.send(&to, &from, &Happening::Lists(start, lists));
                }
            }
            Happening::Lists(start, lists) if !host.cut && host.start == start => {
                host.ring.learn(now, lists);
            }
            Happening::ListInForce(version, listed) if version > host.version => {
                host.version = version;
                host.ring.set_hosts(now, listed);
            }
            Happening::KeeperTick(start) if host.start == start => self.tick_keeper(&to, start),
            _ => {}
        }
        Ok(())
    }

    fn others(&self, name: &ids::HostName) -> BTreeSet<ids::HostName> {
        let mut others = self.hosts[name].ring.hosts(self.now);
        others.remove(name);
        others
    }

    fn tick_keeper(&mut self, name: &ids::HostName, start: u64) {
        let others = self.others(name);
        let known = self.hosts[name].ring.is_known(self.now);
        if !known {
            for other in &others {
                self.send(name, other, &Happening::ListsAsked(name.clone(), start));
            }
        }
        let keeper = &self.hosts[name].keeper;
        let to_ask = if known {
            keeper.hosts_to_ask(self.now, &others)
        } else {
            Vec::new()
        };
        for other in to_ask {
            let ask = Happening::DumpAsked(name.clone(), start);
            self.send(name, &other, &ask);
        }
        if !known || self.hosts[name].keeper.is_recovering(self.now) {
            self.at(
                Duration::from_millis(200),
                name,
                Happening::KeeperTick(start),
            );
        }
    }

    fn end_run(&mut self, id: &AttemptId) -> Checked {
        let end = match self.random.random_range(0..3) {
            0 => RunEnd::NotRun,
            1 => RunEnd::Unknown,
            _ => RunEnd::Answered(KeptAnswer::default()),
        };
        let Some(attempt) = self.hosts[&id.host].attempts.get(id) else {
            return Ok(());
        };
        let key = attempt.key().clone();
        let effects = attempt.complete(&end);
        if end == RunEnd::NotRun {
            let runs = self.runs.entry(key.clone()).or_default();
            let run = runs.iter_mut().find(|(run, _)| run == id);
            run.unwrap().1 = RunStand::NotRun;
        }
        self.carry_out(id, &key, effects)
    }
}

/// Restarts a host while another claims a key, which others claim afterwards.
fn race_with_restart(
    world: &mut ClaimWorld,
    name: &ids::HostName,
    key: &ClaimKey,
    random: &mut SmallRng,
) -> Checked {
    let names = world.names();
    let other = names.iter().find(|other| *other != name).unwrap();
    let id = world.attempt(other, key)?;
    if random.random_bool(0.5) {
        world.hold_back_claims(&id, name);
    }
    for _ in 0..random.random_range(0..8) {
        world.step()?;
    }
    world.restart(name);
    Ok(())
}

/// Runs one schedule and returns the first promise that it breaks.
pub fn explore(seed: u64, steps: usize, fault: Option<PlantedFault>) -> Checked {
    let mut random = SmallRng::seed_from_u64(seed);
    let hosts = random.random_range(2..=5);
    let mut world = ClaimWorld::new(hosts, seed ^ 0x5eed, fault);
    world.drop = random.random_range(0.0..0.2);
    world.late = random.random_range(0.0..0.5);
    let (restart, cut) = (
        random.random_range(0.0..0.03),
        random.random_range(0.0..0.03),
    );
    let change = if random.random_bool(0.5) { 0.01 } else { 0.0 };
    let steps_a_key = [30, 100, 1000][random.random_range(0..3)];
    let mut hot: Option<ClaimKey> = None;
    for step in 0..steps {
        world.step()?;
        let names = world.names();
        let name = &names[random.random_range(0..names.len())];
        let key = format!("key-{}", step / steps_a_key + random.random_range(0..3));
        if random.random_bool(0.06) {
            let hot = hot.clone().filter(|_| random.random_bool(0.7));
            world.attempt(name, &hot.unwrap_or(key))?;
        } else if random.random_bool(restart) && !world.is_any_recovering() {
            hot = Some(format!("hot-{step}"));
            race_with_restart(&mut world, name, &format!("hot-{step}"), &mut random)?;
        }
        if random.random_bool(change) {
            world.change_list();
        }
        if random.random_bool(cut) {
            names.iter().for_each(|name| world.set_cut(name, false));
            world.set_cut(name, random.random_bool(0.7));
        }
    }
    world.drop = 0.0;
    world.late = 0.0;
    let names = world.names();
    names.iter().for_each(|name| world.set_cut(name, false));
    world.run_for(Duration::from_secs(5))?;
    let id = world.attempt(&names[0], &"fresh".to_string())?;
    world.run_for(Duration::from_secs(2))?;
    let granted = world.outcomes.contains(&(id, ClaimOutcome::Granted));
    granted
        .then_some(())
        .ok_or("a fresh key is not granted".to_string())
}
