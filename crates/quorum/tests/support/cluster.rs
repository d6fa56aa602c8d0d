//! Simulated replicas with their disks and network, in virtual time that the test advances.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use quorum::config::QuorumConfig;
use quorum::entry::{EntryPayload, HardState, LogEntry};
use quorum::event::{AnswerOutcome, Effect, Event, Role};
use quorum::fault::InjectedFault;
use quorum::ids;
use quorum::machine::QuorumMachine;
use quorum::message::{Message, MessageBody};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::disk::SimulatedDisk;
use super::history::{ClusterHistory, TestApplication};

pub struct TestNode {
    /// `None` while the process is down.
    pub machine: Option<QuorumMachine>,
    pub disk: SimulatedDisk,
    pub application: TestApplication,
    /// When the replica was isolated from the network, if it is.
    pub isolated_at: Option<Instant>,
    /// Time until which the process is suspended.
    pub suspended_until: Option<Instant>,
}

struct PendingRequest {
    command: Vec<u8>,
    /// Highest entry that was reported as committed when the request was sent; a read must see it.
    min_applied: ids::LogIndex,
}

/// Probabilities and delays of message and disk faults.
#[derive(Debug, Clone, Copy)]
pub struct NetworkConditions {
    pub drop_probability: f64,
    pub duplicate_probability: f64,
    /// Probability that a message is delayed by up to `max_delay` instead of up to the usual
    /// latency.
    pub delay_probability: f64,
    pub max_delay: Duration,
    pub max_sync_time: Duration,
}

pub struct SimulatedCluster {
    pub now: Instant,
    pub nodes: BTreeMap<ids::ReplicaId, TestNode>,
    pub history: ClusterHistory,
    pub conditions: NetworkConditions,
    /// Maximum number of entries in a message; drawn at random at each start if not set.
    pub max_batch_entries: Option<usize>,
    pub random: SmallRng,
    pub blocked: BTreeSet<(ids::ReplicaId, ids::ReplicaId)>,
    pub outcomes: BTreeMap<ids::RequestId, AnswerOutcome>,
    /// Number of replicas that bootstrap the cluster and target number of voters, if the other
    /// replicas join later.
    pub growth: Option<(u64, usize)>,
    /// Whether the cluster is bootstrapped, so that a blank replica has to join it.
    pub bootstrapped: bool,
    fault: Option<InjectedFault>,
    network: BTreeMap<(Instant, u64), (ids::ReplicaId, ids::ReplicaId, Message)>,
    requests: BTreeMap<ids::RequestId, PendingRequest>,
    sequence: u64,
}

pub type CheckResult = Result<(), String>;

impl SimulatedCluster {
    /// Upper bound of the latency of a message that is not delayed.
    pub const LATENCY: Duration = Duration::from_millis(20);

    pub fn new(replicas: u64, seed: u64, fault: Option<InjectedFault>) -> Self {
        let conditions = NetworkConditions {
            drop_probability: 0.0,
            duplicate_probability: 0.0,
            delay_probability: 0.0,
            max_delay: Duration::ZERO,
            max_sync_time: Duration::from_millis(5),
        };
        let mut cluster = Self {
            now: Instant::now(),
            nodes: BTreeMap::new(),
            history: ClusterHistory::default(),
            conditions,
            max_batch_entries: None,
            random: SmallRng::seed_from_u64(seed),
            blocked: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            growth: None,
            bootstrapped: false,
            fault,
            network: BTreeMap::new(),
            requests: BTreeMap::new(),
            sequence: 0,
        };
        for id in 1..=replicas {
            let node = TestNode {
                machine: None,
                disk: SimulatedDisk::new(cluster.random.random()),
                application: TestApplication::default(),
                isolated_at: None,
                suspended_until: None,
            };
            cluster.nodes.insert(id, node);
        }
        cluster
    }

    /// Creates five replicas without faults that have run for 3 s.
    pub fn running(seed: u64) -> Self {
        let mut cluster = Self::new(5, seed, None);
        cluster.bootstrap();
        for id in cluster.ids() {
            cluster.start(id);
        }
        cluster.run_for(Duration::from_secs(3)).unwrap();
        cluster
    }

    /// Writes the bootstrap entry to all disks.
    pub fn bootstrap(&mut self) {
        let members: Vec<_> = self
            .nodes
            .iter()
            .map(|(id, node)| (*id, node.disk.durable.incarnation))
            .collect();
        let entries = vec![LogEntry {
            term: 1,
            index: 1,
            payload: EntryPayload::Found { members },
        }];
        for node in self.nodes.values_mut() {
            node.disk.durable.entries = entries.clone();
            node.disk.durable.blank = false;
            node.disk.durable.hard = HardState {
                term: 1,
                vote: None,
                leader: None,
                settled_membership: 1,
            };
        }
    }

    pub fn ids(&self) -> Vec<ids::ReplicaId> {
        self.nodes.keys().copied().collect()
    }

    pub fn start(&mut self, id: ids::ReplicaId) {
        let mut config = QuorumConfig::new(id, self.ids());
        if let Some((founders, voters)) = self.growth {
            config.replicas.retain(|replica| *replica <= founders);
            config.target_voters = voters;
            config.may_bootstrap = id <= founders && !self.bootstrapped;
        }
        config.seed = self.random.random();
        let batch = self.random.random_range(1..=4);
        config.max_batch_entries = self.max_batch_entries.unwrap_or(batch);
        let now = self.now;
        let fault = self.fault;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if node.machine.is_some() {
            return;
        }
        let recovered = node.disk.durable.clone();
        node.application = TestApplication::default();
        if recovered.snapshot.index > 0 {
            node.application.restore(&recovered.snapshot).unwrap();
        }
        let mut machine = QuorumMachine::new(now, config, recovered);
        if let Some(fault) = fault {
            machine = machine.with_fault(fault);
        }
        node.machine = Some(machine);
    }

    /// Fails the disk of a replica for a short time; the replica goes on with what the disk holds.
    pub fn fail_disk(&mut self, id: ids::ReplicaId) {
        self.crash(id);
        self.start(id);
        let machine = self.nodes.get_mut(&id).unwrap().machine.as_mut().unwrap();
        machine.postpone_election();
    }

    pub fn crash(&mut self, id: ids::ReplicaId) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let kept = self.random.random_range(0..=node.disk.unsynced.len());
        node.machine = None;
        node.suspended_until = None;
        node.disk.crash(kept);
    }

    /// Crashes a replica and replaces its disk by a blank one.
    pub fn lose_disk(&mut self, id: ids::ReplicaId) {
        self.crash(id);
        let incarnation = self.random.random();
        if let Some(node) = self.nodes.get_mut(&id) {
            node.disk = SimulatedDisk::new(incarnation);
        }
    }

    /// Delays the messages in transit from a replica by `time`.
    pub fn delay_messages(&mut self, id: ids::ReplicaId, time: Duration) {
        let is_from_replica =
            |delivery: &(ids::ReplicaId, ids::ReplicaId, Message)| delivery.0 == id;
        let (held, others) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|(_, delivery)| is_from_replica(delivery));
        self.network = others;
        let held: BTreeMap<_, _> = held;
        for ((at, number), delivery) in held {
            self.network.insert((at + time, number), delivery);
        }
    }

    /// Partitions the replicas at random into two halves.
    pub fn split(&mut self) {
        let halves: Vec<_> = self
            .ids()
            .into_iter()
            .map(|id| (id, self.random.random_bool(0.5)))
            .collect();
        for (from, side) in &halves {
            let others = halves.iter().filter(|(_, other)| other != side);
            self.blocked.extend(others.map(|(to, _)| (*from, *to)));
        }
    }

    /// Cuts two groups of replicas off from each other, or only the messages from the first to the
    /// second. All others reach both groups.
    pub fn cut_groups(
        &mut self,
        first: &[ids::ReplicaId],
        second: &[ids::ReplicaId],
        one_way: bool,
    ) {
        for from in first {
            for to in second {
                self.blocked.insert((*from, *to));
                if !one_way {
                    self.blocked.insert((*to, *from));
                }
            }
        }
    }

    /// Returns whether all other replicas are admitted and have their disks, so that one disk may
    /// be lost.
    pub fn may_lose_disk(&self, id: ids::ReplicaId) -> bool {
        if self.growth.is_some() {
            return self.bootstrapped && self.may_lose_voter(id);
        }
        let mut others = self.nodes.keys().filter(|other| **other != id);
        others.all(|other| self.is_admitted_by_disk(*other))
    }

    /// Returns whether a replica that restarts from its disk is a voter: the log on the disk admits
    /// its incarnation, and the disk holds that the admission is committed.
    fn is_admitted_by_disk(&self, id: ids::ReplicaId) -> bool {
        let durable = &self.nodes[&id].disk.durable;
        let snapshot = &durable.snapshot;
        let own = (id, durable.incarnation);
        let mut admitted_at = snapshot.admitted.contains(&own).then_some(snapshot.index);
        for entry in durable.entries.iter().filter(|e| e.index > snapshot.index) {
            if matches!(entry.payload, EntryPayload::Replace { old, .. } if old == id) {
                admitted_at = None;
            }
            if entry.payload.admissions().contains(&own) {
                admitted_at = admitted_at.or(Some(entry.index));
            }
        }
        let settled = snapshot.index.max(durable.hard.settled_membership);
        admitted_at.is_some_and(|index| index <= settled)
    }

    /// Returns whether all other voters would be left with their disks. A replica counts as a voter
    /// if any disk or any running replica says so.
    fn may_lose_voter(&self, id: ids::ReplicaId) -> bool {
        let mut voters = BTreeSet::new();
        for node in self.nodes.values() {
            let durable = &node.disk.durable;
            let admitted = durable.snapshot.admitted.iter();
            let mut members: BTreeSet<_> = admitted.map(|(voter, _)| *voter).collect();
            for entry in &durable.entries {
                if let EntryPayload::Replace { old, .. } = entry.payload {
                    members.remove(&old);
                }
                let admissions = entry.payload.admissions().into_iter();
                members.extend(admissions.map(|(voter, _)| voter));
            }
            voters.extend(members);
            voters.extend(node.machine.iter().flat_map(QuorumMachine::voters));
        }
        voters.remove(&id);
        let mut voters = voters.iter();
        voters.all(|voter| self.is_admitted_by_disk(*voter))
    }

    pub fn isolate(&mut self, id: ids::ReplicaId) {
        for other in self.ids() {
            self.blocked.insert((id, other));
            self.blocked.insert((other, id));
        }
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(&id) {
            node.isolated_at.get_or_insert(now);
        }
    }

    /// Suspends a process for `time`; it handles a read and a proposal first when it resumes.
    pub fn suspend(&mut self, id: ids::ReplicaId, time: Duration) {
        let until = self.now + time;
        if let Some(node) = self.nodes.get_mut(&id) {
            node.suspended_until = Some(until);
        }
    }

    fn resume_processes(&mut self) -> CheckResult {
        let now = self.now;
        for id in self.ids() {
            let node = self.nodes.get_mut(&id).unwrap();
            if node.suspended_until.is_some_and(|until| until <= now) {
                node.suspended_until = None;
                self.read(id)?;
                self.propose(id, b"thawed")?;
            }
        }
        Ok(())
    }

    pub fn heal(&mut self) {
        self.blocked.clear();
        for node in self.nodes.values_mut() {
            node.isolated_at = None;
        }
    }

    /// Returns whether a write of term and vote is not synced yet.
    pub fn is_writing_vote(&self, id: ids::ReplicaId) -> bool {
        let mut writes = self.nodes[&id].disk.unsynced.iter();
        writes.any(|(_, write)| write.hard.is_some())
    }

    pub fn role(&self, id: ids::ReplicaId) -> Option<Role> {
        let machine = self.nodes.get(&id)?.machine.as_ref()?;
        Some(machine.role())
    }

    /// Returns the leader of the highest term among the running replicas.
    pub fn leader(&self) -> Option<ids::ReplicaId> {
        let running = self
            .nodes
            .iter()
            .filter_map(|(id, node)| node.machine.as_ref().map(|machine| (id, machine)));
        running
            .filter(|(_, machine)| machine.role() == Role::Leader)
            .max_by_key(|(_, machine)| machine.term())
            .map(|(id, _)| *id)
    }

    /// Returns whether the process runs and isn't suspended.
    pub fn is_active(&self, id: ids::ReplicaId) -> bool {
        let node = &self.nodes[&id];
        node.machine.is_some() && node.suspended_until.is_none()
    }

    pub fn propose(
        &mut self,
        id: ids::ReplicaId,
        command: &[u8],
    ) -> Result<ids::RequestId, String> {
        let request = self.add_request(command);
        let command = command.to_vec();
        let past_lease = self.is_isolated_past_lease(id);
        self.handle(id, Event::Propose { request, command })?;
        let refused = matches!(
            self.outcomes.get(&request),
            None | Some(AnswerOutcome::NotLeader { .. })
        );
        let accepted = !refused || !self.outcomes.contains_key(&request);
        if past_lease && accepted && self.role(id).is_some() {
            return Err(format!(
                "isolated replica {id} accepted a proposal after its lease"
            ));
        }
        Ok(request)
    }

    pub fn read(&mut self, id: ids::ReplicaId) -> Result<ids::RequestId, String> {
        let request = self.add_request(&[]);
        self.handle(id, Event::Read { request })?;
        Ok(request)
    }

    fn add_request(&mut self, command: &[u8]) -> ids::RequestId {
        self.sequence += 1;
        let request = PendingRequest {
            command: command.to_vec(),
            min_applied: self.history.answered,
        };
        self.requests.insert(self.sequence, request);
        self.sequence
    }

    /// Checks that at most one replica holds a lease. A leader with a lease acts without asking the
    /// others, so two leases at once would break consistency.
    fn check_one_lease(&self) -> CheckResult {
        let now = self.now;
        let holds = |node: &TestNode| node.machine.as_ref().is_some_and(|m| m.has_lease(now));
        let holders = self.nodes.iter().filter(|(_, node)| holds(node));
        let holders: Vec<_> = holders.map(|(id, _)| *id).collect();
        if holders.len() > 1 {
            return Err(format!(
                "replicas {holders:?} hold a lease at the same time"
            ));
        }
        Ok(())
    }

    fn is_isolated_past_lease(&self, id: ids::ReplicaId) -> bool {
        let lease = QuorumConfig::new(id, Vec::new()).lease_duration;
        let isolated_at = self.nodes.get(&id).and_then(|node| node.isolated_at);
        isolated_at.is_some_and(|at| self.now >= at + lease)
    }

    pub fn snapshot(&mut self, id: ids::ReplicaId) -> CheckResult {
        let Some(node) = self.nodes.get(&id) else {
            return Ok(());
        };
        let index = node.application.applied;
        let data = node.application.data();
        self.handle(id, Event::SnapshotTaken { index, data })
    }

    pub fn handle(&mut self, id: ids::ReplicaId, event: Event) -> CheckResult {
        let now = self.now;
        let node = self.nodes.get_mut(&id);
        let Some(machine) = node.and_then(|node| node.machine.as_mut()) else {
            return Ok(());
        };
        let effects = machine.handle(now, event);
        let (role, term) = (machine.role(), machine.term());
        let past_lease = self.is_isolated_past_lease(id);
        if role == Role::Leader {
            let incarnation = self.nodes[&id].disk.durable.incarnation;
            self.history.record_leader(term, id, incarnation)?;
            let machine = self.nodes[&id].machine.as_ref();
            if past_lease && machine.is_some_and(|machine| machine.has_lease(now)) {
                return Err(format!("isolated replica {id} still holds its lease"));
            }
            self.check_one_lease()?;
        }
        for effect in effects {
            self.execute(id, effect)?;
        }
        Ok(())
    }

    fn execute(&mut self, id: ids::ReplicaId, effect: Effect) -> CheckResult {
        let sync_time = self.conditions.max_sync_time.mul_f64(self.random.random());
        let now = self.now;
        let node = self.nodes.get_mut(&id).unwrap();
        match effect {
            Effect::Send { to, message } => self.transmit(id, to, message),
            Effect::Persist(write) => {
                let last = node.disk.unsynced.back().map(|(at, _)| *at);
                let at = last.map_or(now + sync_time, |last| last.max(now + sync_time));
                node.disk.unsynced.push_back((at, write));
            }
            Effect::Apply(entry) => {
                node.application.apply(&entry)?;
                self.history.record_applied(&entry)?;
            }
            Effect::Restore(snapshot) => {
                node.application.restore(&snapshot)?;
                self.history
                    .check_application(&self.nodes[&id].application)?;
            }
            Effect::Answer { request, outcome } => {
                let applied = node.application.applied;
                self.record_answer(request, outcome, applied)?;
            }
            Effect::RoleChanged { .. } => {}
        }
        Ok(())
    }

    fn record_answer(
        &mut self,
        request: ids::RequestId,
        outcome: AnswerOutcome,
        applied: ids::LogIndex,
    ) -> CheckResult {
        let Some(open) = self.requests.remove(&request) else {
            return Err(format!(
                "request {request} was answered twice or never sent"
            ));
        };
        match &outcome {
            AnswerOutcome::Committed { index } => {
                self.history.record_answered(*index, &open.command)?;
            }
            AnswerOutcome::Confirmed if applied < open.min_applied => {
                return Err(format!(
                    "read saw entry {applied}, but entry {} was answered before it",
                    open.min_applied
                ));
            }
            _ => {}
        }
        self.outcomes.insert(request, outcome);
        Ok(())
    }

    fn transmit(&mut self, from: ids::ReplicaId, to: ids::ReplicaId, message: Message) {
        let copies = 1 + u64::from(
            self.random
                .random_bool(self.conditions.duplicate_probability),
        );
        for _ in 0..copies {
            if self.random.random_bool(self.conditions.drop_probability) {
                continue;
            }
            let is_delayed = self.random.random_bool(self.conditions.delay_probability);
            let max_latency = if is_delayed {
                self.conditions.max_delay
            } else {
                Self::LATENCY
            };
            let at = self.now + max_latency.mul_f64(self.random.random());
            self.sequence += 1;
            let delivery = (from, to, message.clone());
            self.network.insert((at, self.sequence), delivery);
        }
    }

    /// Returns the command bytes of the largest message in transit.
    pub fn largest_message(&self) -> usize {
        let sizes = self
            .network
            .values()
            .map(|(_, _, message)| match &message.body {
                MessageBody::Append { entries, .. } => entries
                    .iter()
                    .map(|entry| entry.payload.command_len())
                    .sum(),
                _ => 0,
            });
        sizes.max().unwrap_or(0)
    }

    /// Advances the time to the next event and handles it, or by one second if there is none.
    pub fn step(&mut self) -> CheckResult {
        const MAX_IDLE: Duration = Duration::from_secs(1);
        self.step_until(self.now + MAX_IDLE)
    }

    fn step_until(&mut self, end: Instant) -> CheckResult {
        let delivery_at = self.network.keys().next().map(|(at, _)| *at);
        let disk = self.earliest(|node| node.disk.next_sync_at());
        let tick = self.earliest(|node| node.machine.as_ref().map(QuorumMachine::deadline));
        let first = [delivery_at, disk.map(|d| d.0), tick.map(|t| t.0)];
        let at = first.into_iter().flatten().min();
        let Some(at) = at.filter(|at| *at <= end) else {
            self.now = end;
            return self.resume_processes();
        };
        self.now = self.now.max(at);
        self.resume_processes()?;
        if let Some((_, id)) = disk.filter(|(due, _)| *due == at) {
            let node = self.nodes.get_mut(&id).unwrap();
            let Some(token) = node.disk.sync_next() else {
                return Ok(());
            };
            return self.handle(id, Event::Persisted { token });
        }
        if delivery_at == Some(at) {
            let Some(((_, number), (from, to, message))) = self.network.pop_first() else {
                return Ok(());
            };
            if let Some(until) = self.nodes[&to].suspended_until {
                self.network.insert((until, number), (from, to, message));
                return Ok(());
            }
            if self.blocked.contains(&(from, to)) {
                return Ok(());
            }
            return self.handle(to, Event::Receive { from, message });
        }
        tick.map_or(Ok(()), |(_, id)| self.handle(id, Event::Tick))
    }

    fn earliest(
        &self,
        time: impl Fn(&TestNode) -> Option<Instant>,
    ) -> Option<(Instant, ids::ReplicaId)> {
        let times = self
            .nodes
            .iter()
            .filter_map(|(id, node)| Some((Some(time(node)?).max(node.suspended_until)?, *id)));
        times.min()
    }

    pub fn run_for(&mut self, time: Duration) -> CheckResult {
        let end = self.now + time;
        while self.now < end {
            self.step_until(end)?;
        }
        Ok(())
    }

    /// Ends all faults, then waits until a new command is applied on all replicas, and checks the
    /// invariants.
    pub fn converge(&mut self) -> CheckResult {
        const MAX_STEPS: usize = 20_000;
        self.heal();
        self.conditions.drop_probability = 0.0;
        self.conditions.delay_probability = 0.0;
        for id in self.ids() {
            if self.role(id) == Some(Role::Failed) || self.is_stopping(id) {
                self.crash(id);
            }
            self.start(id);
        }
        let mut marker = None;
        for _ in 0..MAX_STEPS {
            self.step()?;
            let outcome = marker.and_then(|request| self.outcomes.get(&request));
            match (marker, outcome) {
                (None, _) | (_, Some(AnswerOutcome::NotLeader { .. } | AnswerOutcome::Unknown)) => {
                    marker = match self.leader() {
                        Some(leader) => Some(self.propose(leader, b"marker")?),
                        None => None,
                    };
                }
                (_, Some(AnswerOutcome::Committed { index })) if self.all_applied(*index) => {
                    return self.check_all();
                }
                _ => {}
            }
        }
        let reports: Vec<_> = self
            .nodes
            .values()
            .filter_map(|node| node.machine.as_ref())
            .map(|machine| machine.report(self.now))
            .collect();
        Err(format!("the replicas did not converge: {reports:#?}"))
    }

    fn is_stopping(&self, id: ids::ReplicaId) -> bool {
        let machine = self.nodes[&id].machine.as_ref();
        machine.is_some_and(|machine| machine.report(self.now).stopping)
    }

    fn all_applied(&self, index: ids::LogIndex) -> bool {
        if let Some((_, voters)) = self.growth {
            let applied = self.nodes.values().map(|node| node.application.applied);
            let machines = self.nodes.values().filter_map(|node| node.machine.as_ref());
            let mut counts = machines.map(|machine| machine.voters().count());
            return applied.min() >= Some(index) && counts.all(|count| count == voters);
        }
        let members = self.nodes.values().map(|node| {
            node.machine
                .as_ref()
                .is_some_and(|m| m.report(self.now).member)
        });
        let applied = self.nodes.values().map(|node| node.application.applied);
        applied.min() >= Some(index) && members.into_iter().all(|member| member)
    }

    fn check_all(&self) -> CheckResult {
        for node in self.nodes.values() {
            self.history.check_application(&node.application)?;
        }
        let highest = self.history.committed.keys().next_back().copied();
        let answered = Some(self.history.answered);
        if answered > highest {
            return Err("an answered command is not among the committed entries".to_string());
        }
        Ok(())
    }
}
