//! Simulation of entry hosts that claim the same keys under a seeded schedule of faults.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use claims::claimant::{AttemptEffect, ClaimAttempt, ClaimOutcome};
use claims::fault::InjectedFault;
use claims::keeper::{ClaimKeeper, KeeperLimits};
use claims::record::{AttemptId, ClaimAnswer, ClaimKey, ClaimRecord, KeptAnswer, RunOutcome};
use claims::selector::{HostList, KeeperSelector};
use model::ids;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const REQUEST: u64 = 7;

fn limits() -> KeeperLimits {
    KeeperLimits {
        attempt_timeout: Duration::from_millis(500),
        ..KeeperLimits::default()
    }
}

/// Status of the run of a granted claim.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RunStatus {
    MayHaveRun,
    NotRun,
}

#[derive(Debug, Clone)]
enum SimulationEvent {
    Claim(AttemptId, ClaimKey),
    Answer(AttemptId, ids::HostName, ClaimAnswer),
    Complete(AttemptId, ClaimKey, RunOutcome),
    Deadline(AttemptId),
    RunEnds(AttemptId),
    DumpRequest(ids::HostName, u64),
    Dump(u64, ids::HostName, Vec<ClaimRecord>),
    KeeperTick(u64),
    ListsRequest(ids::HostName, u64),
    Lists(u64, Vec<HostList>),
    HostListChange(u64, Vec<ids::HostName>),
}

struct TestHost {
    keeper: ClaimKeeper,
    selector: KeeperSelector,
    /// Number of the latest change of the host list that the host has applied.
    list_version: u64,
    /// Number of the start; messages to an earlier start are dropped.
    start: u64,
    attempts: BTreeMap<AttemptId, ClaimAttempt>,
    partitioned: bool,
}

/// Simulated hosts, network and time.
pub struct ClaimSimulation {
    pub now: Instant,
    pub random: SmallRng,
    /// Probability that a message is lost.
    pub drop_probability: f64,
    /// Probability that a message takes up to 1,500 ms instead of up to 40 ms.
    pub delay_probability: f64,
    pub runs: BTreeMap<ClaimKey, Vec<(AttemptId, RunStatus)>>,
    pub outcomes: Vec<(AttemptId, ClaimOutcome)>,
    hosts: BTreeMap<ids::HostName, TestHost>,
    all_hosts: Vec<ids::HostName>,
    /// Current list of entry hosts.
    listed_hosts: Vec<ids::HostName>,
    /// Number of changes of the host list.
    list_version: u64,
    queue: BTreeMap<(Instant, u64), (ids::HostName, SimulationEvent)>,
    sequence: u64,
    fault: Option<InjectedFault>,
}

pub type CheckResult = Result<(), String>;

impl ClaimSimulation {
    pub fn new(hosts: usize, seed: u64, fault: Option<InjectedFault>) -> Self {
        let names: Vec<_> = (1..=hosts)
            .map(|number| format!("entry-{number}"))
            .collect();
        let mut simulation = Self {
            now: Instant::now(),
            random: SmallRng::seed_from_u64(seed),
            drop_probability: 0.0,
            delay_probability: 0.0,
            runs: BTreeMap::new(),
            outcomes: Vec::new(),
            hosts: BTreeMap::new(),
            all_hosts: names.clone(),
            listed_hosts: names.clone(),
            list_version: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            fault,
        };
        for name in names {
            simulation.start_host(&name);
            let host = simulation.hosts.get_mut(&name).unwrap();
            host.keeper.skip_recovery();
            host.selector.skip_recovery();
        }
        simulation
    }

    pub fn names(&self) -> Vec<ids::HostName> {
        self.hosts.keys().cloned().collect()
    }

    fn start_host(&mut self, name: &ids::HostName) {
        self.sequence += 1;
        let keeper = ClaimKeeper::new(self.now, limits()).with_fault(self.fault);
        let mut selector =
            KeeperSelector::new(self.now, self.listed_hosts.clone(), limits().retention);
        if self.fault == Some(InjectedFault::ForgetFormerLists) {
            selector.skip_recovery();
        }
        let host = TestHost {
            keeper,
            selector,
            list_version: self.list_version,
            start: self.sequence,
            attempts: BTreeMap::new(),
            partitioned: false,
        };
        self.schedule(
            Duration::ZERO,
            name,
            SimulationEvent::KeeperTick(self.sequence),
        );
        self.hosts.insert(name.clone(), host);
    }

    /// Restarts a host; the outcomes of its runs are never reported.
    pub fn restart(&mut self, name: &ids::HostName) {
        self.start_host(name);
    }

    pub fn is_any_recovering(&self) -> bool {
        let mut hosts = self.hosts.values();
        hosts.any(|host| host.keeper.is_recovering(self.now))
    }

    pub fn set_partitioned(&mut self, name: &ids::HostName, partitioned: bool) {
        self.hosts.get_mut(name).unwrap().partitioned = partitioned;
    }

    /// Replaces the host list, which each host applies after a random delay of up to one second.
    pub fn change_list(&mut self) {
        let min_hosts = self.all_hosts.len().min(2);
        let mut hosts = self.all_hosts.clone();
        hosts.retain(|_| self.random.random_bool(0.7));
        if hosts.len() < min_hosts {
            return;
        }
        self.list_version += 1;
        self.listed_hosts = hosts.clone();
        for name in self.all_hosts.clone() {
            let delay = Duration::from_millis(self.random.random_range(0..1000));
            self.schedule(
                delay,
                &name,
                SimulationEvent::HostListChange(self.list_version, hosts.clone()),
            );
        }
    }

    /// Starts an attempt to claim a key, unless the host doesn't know the keepers yet.
    pub fn attempt(&mut self, name: &ids::HostName, key: &ClaimKey) -> Result<AttemptId, String> {
        let id = AttemptId {
            host: name.clone(),
            number: self.random.random(),
        };
        let Some(groups) = self.hosts[name].selector.groups(self.now, key) else {
            return Ok(id);
        };
        let timeout = limits().attempt_timeout;
        let deadline = self.now + timeout;
        let mut attempt = ClaimAttempt::new(id.clone(), key.clone(), REQUEST, groups, deadline)
            .with_fault(self.fault);
        let effects = attempt.start(self.now);
        let host = self.hosts.get_mut(name).unwrap();
        host.attempts.insert(id.clone(), attempt);
        self.schedule(timeout, name, SimulationEvent::Deadline(id.clone()));
        self.apply_effects(&id, key, effects)?;
        Ok(id)
    }

    /// Delays the claim messages of an attempt to all keepers except one.
    fn delay_claims(&mut self, id: &AttemptId, except: &ids::HostName) {
        let is_delayed = |to: &ids::HostName, event: &SimulationEvent| {
            matches!(event, SimulationEvent::Claim(claiming, _) if claiming == id) && to != except
        };
        let (delayed, others) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|(_, (to, event))| is_delayed(to, event));
        self.queue = others;
        let delayed: BTreeMap<_, _> = delayed;
        for ((at, number), event) in delayed {
            let delay = Duration::from_millis(self.random.random_range(200..1600));
            self.queue.insert((at + delay, number), event);
        }
    }

    fn schedule(&mut self, delay: Duration, to: &ids::HostName, event: SimulationEvent) {
        self.sequence += 1;
        let position = (self.now + delay, self.sequence);
        self.queue.insert(position, (to.clone(), event));
    }

    /// Sends a message, which may be delayed, lost or duplicated.
    fn send(&mut self, from: &ids::HostName, to: &ids::HostName, event: &SimulationEvent) {
        let copies = 1 + u64::from(self.random.random_bool(0.1));
        let partitioned = self.hosts[from].partitioned && from != to;
        for _ in 0..copies {
            if partitioned || self.random.random_bool(self.drop_probability) {
                continue;
            }
            let delayed = self.random.random_bool(self.delay_probability);
            let delay_limit_ms = if delayed { 1500 } else { 40 };
            let delay = Duration::from_millis(self.random.random_range(0..delay_limit_ms));
            self.schedule(delay, to, event.clone());
        }
    }

    fn apply_effects(
        &mut self,
        id: &AttemptId,
        key: &ClaimKey,
        effects: Vec<AttemptEffect>,
    ) -> CheckResult {
        for effect in effects {
            match effect {
                AttemptEffect::Claim(keeper) => {
                    let claim = SimulationEvent::Claim(id.clone(), key.clone());
                    self.send(&id.host, &keeper, &claim);
                }
                AttemptEffect::Complete { keeper, outcome } => {
                    let complete = SimulationEvent::Complete(id.clone(), key.clone(), outcome);
                    self.send(&id.host, &keeper, &complete);
                }
                AttemptEffect::Finish(outcome) => self.finish(id, key, outcome)?,
            }
        }
        Ok(())
    }

    /// Records the outcome of a claim; fails if the key is granted although its request may have run
    /// before.
    fn finish(&mut self, id: &AttemptId, key: &ClaimKey, outcome: ClaimOutcome) -> CheckResult {
        let runs = self.runs.entry(key.clone()).or_default();
        self.outcomes.push((id.clone(), outcome.clone()));
        if outcome != ClaimOutcome::Granted {
            return Ok(());
        }
        if runs
            .iter()
            .any(|(_, status)| *status == RunStatus::MayHaveRun)
        {
            return Err(format!("{key} runs twice: {runs:?}, then {id:?}"));
        }
        runs.push((id.clone(), RunStatus::MayHaveRun));
        let run_time = Duration::from_millis(self.random.random_range(1..800));
        self.schedule(run_time, &id.host, SimulationEvent::RunEnds(id.clone()));
        Ok(())
    }

    /// Processes the events of the next `time`.
    pub fn run_for(&mut self, time: Duration) -> CheckResult {
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

    /// Processes the next event.
    pub fn step(&mut self) -> CheckResult {
        let Some(((at, _), (to, event))) = self.queue.pop_first() else {
            return Ok(());
        };
        self.now = self.now.max(at);
        let now = self.now;
        let host = self.hosts.get_mut(&to).unwrap();
        match event {
            SimulationEvent::Claim(id, key) if !host.partitioned || id.host == to => {
                let answer = host.keeper.claim(now, &key, REQUEST, &id);
                let reply = SimulationEvent::Answer(id.clone(), to.clone(), answer);
                self.send(&to, &id.host, &reply);
            }
            SimulationEvent::Answer(id, keeper, answer) if !host.partitioned || keeper == to => {
                if let Some(attempt) = host.attempts.get_mut(&id) {
                    let key = attempt.key().clone();
                    let effects = attempt.on_answer(now, keeper, answer);
                    self.apply_effects(&id, &key, effects)?;
                }
            }
            SimulationEvent::Complete(id, key, outcome) if !host.partitioned || id.host == to => {
                host.keeper.complete(now, &key, REQUEST, &id, outcome);
            }
            SimulationEvent::Deadline(id) => {
                if let Some(attempt) = host.attempts.get_mut(&id) {
                    let key = attempt.key().clone();
                    let effects = attempt.on_tick(now);
                    self.apply_effects(&id, &key, effects)?;
                }
            }
            SimulationEvent::RunEnds(id) => self.end_run(&id)?,
            SimulationEvent::DumpRequest(from, start) if !host.partitioned => {
                if let Some(records) = host.keeper.dump(now) {
                    let dump = SimulationEvent::Dump(start, to.clone(), records);
                    self.send(&to, &from, &dump);
                }
            }
            SimulationEvent::Dump(start, from, records)
                if !host.partitioned && host.start == start =>
            {
                let others = self.others(&to);
                let host = self.hosts.get_mut(&to).unwrap();
                host.keeper.recover(now, from, records, &others);
            }
            SimulationEvent::ListsRequest(from, start) if !host.partitioned => {
                if let Some(lists) = host.selector.lists(now) {
                    self.send(&to, &from, &SimulationEvent::Lists(start, lists));
                }
            }
            SimulationEvent::Lists(start, lists) if !host.partitioned && host.start == start => {
                host.selector.add_lists(now, lists);
            }
            SimulationEvent::HostListChange(version, hosts) if version > host.list_version => {
                host.list_version = version;
                host.selector.set_hosts(now, hosts);
            }
            SimulationEvent::KeeperTick(start) if host.start == start => {
                self.tick_keeper(&to, start);
            }
            _ => {}
        }
        Ok(())
    }

    fn others(&self, name: &ids::HostName) -> BTreeSet<ids::HostName> {
        let mut others = self.hosts[name].selector.hosts(self.now);
        others.remove(name);
        others
    }

    /// Requests the former host lists and then the records that the keeper of a host misses.
    fn tick_keeper(&mut self, name: &ids::HostName, start: u64) {
        let others = self.others(name);
        let known = self.hosts[name].selector.is_known(self.now);
        if !known {
            for other in &others {
                self.send(
                    name,
                    other,
                    &SimulationEvent::ListsRequest(name.clone(), start),
                );
            }
        }
        let keeper = &self.hosts[name].keeper;
        let sources = if known {
            keeper.recovery_sources(self.now, &others)
        } else {
            Vec::new()
        };
        for source in sources {
            let request = SimulationEvent::DumpRequest(name.clone(), start);
            self.send(name, &source, &request);
        }
        if !known || self.hosts[name].keeper.is_recovering(self.now) {
            self.schedule(
                Duration::from_millis(200),
                name,
                SimulationEvent::KeeperTick(start),
            );
        }
    }

    /// Ends a run with a random outcome.
    fn end_run(&mut self, id: &AttemptId) -> CheckResult {
        let outcome = match self.random.random_range(0..3) {
            0 => RunOutcome::NotRun,
            1 => RunOutcome::Unknown,
            _ => RunOutcome::Answered(KeptAnswer::default()),
        };
        let Some(attempt) = self.hosts[&id.host].attempts.get(id) else {
            return Ok(());
        };
        let key = attempt.key().clone();
        let effects = attempt.complete(&outcome);
        if outcome == RunOutcome::NotRun {
            let runs = self.runs.entry(key.clone()).or_default();
            let run = runs.iter_mut().find(|(run, _)| run == id);
            run.unwrap().1 = RunStatus::NotRun;
        }
        self.apply_effects(id, &key, effects)
    }
}

/// Restarts a host while another host claims a key, which [`explore`] makes other hosts claim
/// afterwards.
fn race_with_restart(
    simulation: &mut ClaimSimulation,
    name: &ids::HostName,
    key: &ClaimKey,
    random: &mut SmallRng,
) -> CheckResult {
    let names = simulation.names();
    let other = names.iter().find(|other| *other != name).unwrap();
    let id = simulation.attempt(other, key)?;
    if random.random_bool(0.5) {
        simulation.delay_claims(&id, name);
    }
    for _ in 0..random.random_range(0..8) {
        simulation.step()?;
    }
    simulation.restart(name);
    Ok(())
}

/// Runs one schedule of faults and claims; fails with the first guarantee that is violated.
///
/// After the faults end, a claim of a new key must be granted.
pub fn explore(seed: u64, steps: usize, fault: Option<InjectedFault>) -> CheckResult {
    let mut random = SmallRng::seed_from_u64(seed);
    let hosts = random.random_range(2..=5);
    let mut simulation = ClaimSimulation::new(hosts, seed ^ 0x5eed, fault);
    simulation.drop_probability = random.random_range(0.0..0.2);
    simulation.delay_probability = random.random_range(0.0..0.5);
    let (restart_probability, partition_probability) = (
        random.random_range(0.0..0.03),
        random.random_range(0.0..0.03),
    );
    let list_change_probability = if random.random_bool(0.5) { 0.01 } else { 0.0 };
    let steps_per_key = [30, 100, 1000][random.random_range(0..3)];
    // Key that was claimed during the latest restart, and that other hosts claim afterwards.
    let mut contended: Option<ClaimKey> = None;
    for step in 0..steps {
        simulation.step()?;
        let names = simulation.names();
        let name = &names[random.random_range(0..names.len())];
        let key = format!("key-{}", step / steps_per_key + random.random_range(0..3));
        if random.random_bool(0.06) {
            let contended = contended.clone().filter(|_| random.random_bool(0.7));
            simulation.attempt(name, &contended.unwrap_or(key))?;
        } else if random.random_bool(restart_probability) && !simulation.is_any_recovering() {
            contended = Some(format!("hot-{step}"));
            race_with_restart(&mut simulation, name, &format!("hot-{step}"), &mut random)?;
        }
        if random.random_bool(list_change_probability) {
            simulation.change_list();
        }
        if random.random_bool(partition_probability) {
            names
                .iter()
                .for_each(|name| simulation.set_partitioned(name, false));
            simulation.set_partitioned(name, random.random_bool(0.7));
        }
    }
    simulation.drop_probability = 0.0;
    simulation.delay_probability = 0.0;
    let names = simulation.names();
    names
        .iter()
        .for_each(|name| simulation.set_partitioned(name, false));
    simulation.run_for(Duration::from_secs(5))?;
    let id = simulation.attempt(&names[0], &"fresh".to_string())?;
    simulation.run_for(Duration::from_secs(2))?;
    let granted = simulation.outcomes.contains(&(id, ClaimOutcome::Granted));
    granted
        .then_some(())
        .ok_or("a new key is not granted after the faults have ended".to_string())
}
