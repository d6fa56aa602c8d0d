//! Replicas, their disks and the network between them, in time that the test advances.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use quorum::config::QuorumConfig;
use quorum::entry::{EntryPayload, HardState, LogEntry};
use quorum::event::{AnswerOutcome, Effect, Event, Role};
use quorum::fault::PlantedFault;
use quorum::ids;
use quorum::machine::QuorumMachine;
use quorum::message::{Message, MessageBody};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::disk::FakeDisk;
use super::ledger::{GlobalLedger, TestApplication};

pub struct TestNode {
    /// None while the process is down.
    pub machine: Option<QuorumMachine>,
    pub disk: FakeDisk,
    pub application: TestApplication,
    /// Since when nothing reaches the replica and nothing leaves it.
    pub cut_at: Option<Instant>,
    /// Until when the process stands still.
    pub frozen_until: Option<Instant>,
}

struct OpenRequest {
    command: Vec<u8>,
    /// Highest answered entry when a read was asked.
    seen: ids::LogIndex,
}

/// Odds and times of the network.
#[derive(Debug, Clone, Copy)]
pub struct NetworkOdds {
    pub drop: f64,
    pub duplicate: f64,
    /// Odds that a message takes up to `late`.
    pub delay: f64,
    pub late: Duration,
    pub sync: Duration,
}

pub struct TestWorld {
    pub now: Instant,
    pub nodes: BTreeMap<ids::ReplicaId, TestNode>,
    pub ledger: GlobalLedger,
    pub odds: NetworkOdds,
    /// Most entries in a message; drawn at each start where not set.
    pub batch: Option<usize>,
    pub random: SmallRng,
    pub blocked: BTreeSet<(ids::ReplicaId, ids::ReplicaId)>,
    pub outcomes: BTreeMap<ids::RequestId, AnswerOutcome>,
    /// Replicas of the first set-up and number of voters, where the others join later.
    pub growth: Option<(u64, usize)>,
    /// Whether the first set-up is over, so that a blank replica is one that joins.
    pub formed: bool,
    fault: Option<PlantedFault>,
    network: BTreeMap<(Instant, u64), (ids::ReplicaId, ids::ReplicaId, Message)>,
    requests: BTreeMap<ids::RequestId, OpenRequest>,
    sequence: u64,
}

pub type Checked = Result<(), String>;

impl TestWorld {
    pub const LATENCY: Duration = Duration::from_millis(20);

    pub fn new(replicas: u64, seed: u64, fault: Option<PlantedFault>) -> Self {
        let odds = NetworkOdds {
            drop: 0.0,
            duplicate: 0.0,
            delay: 0.0,
            late: Duration::ZERO,
            sync: Duration::from_millis(5),
        };
        let mut world = Self {
            now: Instant::now(),
            nodes: BTreeMap::new(),
            ledger: GlobalLedger::default(),
            odds,
            batch: None,
            random: SmallRng::seed_from_u64(seed),
            blocked: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            growth: None,
            formed: false,
            fault,
            network: BTreeMap::new(),
            requests: BTreeMap::new(),
            sequence: 0,
        };
        for id in 1..=replicas {
            let node = TestNode {
                machine: None,
                disk: FakeDisk::new(world.random.random()),
                application: TestApplication::default(),
                cut_at: None,
                frozen_until: None,
            };
            world.nodes.insert(id, node);
        }
        world
    }

    /// Puts the first entry on all disks, as after the first set-up.
    pub fn form(&mut self) {
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
                member: true,
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
            config.voters = voters;
            config.may_found = id <= founders && !self.formed;
        }
        config.seed = self.random.random();
        let batch = self.random.random_range(1..=4);
        config.batch = self.batch.unwrap_or(batch);
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

    pub fn crash(&mut self, id: ids::ReplicaId) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let kept = self.random.random_range(0..=node.disk.unsynced.len());
        node.machine = None;
        node.frozen_until = None;
        node.disk.crash(kept);
    }

    /// Takes the disk of a replica that is down away and gives it a blank one.
    pub fn lose_disk(&mut self, id: ids::ReplicaId) {
        self.crash(id);
        let incarnation = self.random.random();
        if let Some(node) = self.nodes.get_mut(&id) {
            node.disk = FakeDisk::new(incarnation);
        }
    }

    /// Keeps the messages of a replica that are on their way in the network for longer.
    pub fn hold_back(&mut self, id: ids::ReplicaId, time: Duration) {
        let from_it = |letter: &(ids::ReplicaId, ids::ReplicaId, Message)| letter.0 == id;
        let (held, others) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|(_, letter)| from_it(letter));
        self.network = others;
        let held: BTreeMap<_, _> = held;
        for ((at, number), letter) in held {
            self.network.insert((at + time, number), letter);
        }
    }

    /// Blocks all messages between two halves of the replicas.
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

    /// Returns whether losing one disk leaves all others admitted and with their disks.
    pub fn may_lose_disk(&self, id: ids::ReplicaId) -> bool {
        if self.growth.is_some() {
            return self.formed && self.may_lose_voter(id);
        }
        let others = self.nodes.iter().filter(|(other, _)| **other != id);
        let mut members = others.map(|(_, node)| node.disk.durable.hard.member);
        members.all(std::convert::identity)
    }

    /// Returns whether all voters but one would be left with their disks, by what stands on any
    /// disk and in any memory.
    fn may_lose_voter(&self, id: ids::ReplicaId) -> bool {
        let mut voters = BTreeSet::new();
        for node in self.nodes.values() {
            let durable = &node.disk.durable;
            let mut members: BTreeMap<_, _> = durable.snapshot.admitted.iter().copied().collect();
            for entry in &durable.entries {
                entry.payload.change_members(&mut members);
            }
            voters.extend(members.into_keys());
            voters.extend(node.machine.iter().flat_map(QuorumMachine::voters));
        }
        voters.remove(&id);
        let mut voters = voters.iter();
        voters.all(|voter| self.nodes[voter].disk.durable.hard.member)
    }

    pub fn cut(&mut self, id: ids::ReplicaId) {
        for other in self.ids() {
            self.blocked.insert((id, other));
            self.blocked.insert((other, id));
        }
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(&id) {
            node.cut_at.get_or_insert(now);
        }
    }

    /// Stops a process for a while; a read is the first thing that it does afterwards.
    pub fn freeze(&mut self, id: ids::ReplicaId, time: Duration) {
        let until = self.now + time;
        if let Some(node) = self.nodes.get_mut(&id) {
            node.frozen_until = Some(until);
        }
    }

    fn thaw(&mut self) -> Checked {
        let now = self.now;
        for id in self.ids() {
            let node = self.nodes.get_mut(&id).unwrap();
            if node.frozen_until.is_some_and(|until| until <= now) {
                node.frozen_until = None;
                self.read(id)?;
                self.propose(id, b"thawed")?;
            }
        }
        Ok(())
    }

    pub fn heal(&mut self) {
        self.blocked.clear();
        for node in self.nodes.values_mut() {
            node.cut_at = None;
        }
    }

    /// Returns whether a write of term and vote is on its way to the disk.
    pub fn is_writing_vote(&self, id: ids::ReplicaId) -> bool {
        let mut writes = self.nodes[&id].disk.unsynced.iter();
        writes.any(|(_, write)| write.hard.is_some())
    }

    pub fn role(&self, id: ids::ReplicaId) -> Option<Role> {
        let machine = self.nodes.get(&id)?.machine.as_ref()?;
        Some(machine.role())
    }

    /// Returns the leader of the highest term, among the running replicas.
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

    /// Returns whether the process runs and isn't frozen.
    pub fn is_awake(&self, id: ids::ReplicaId) -> bool {
        let node = &self.nodes[&id];
        node.machine.is_some() && node.frozen_until.is_none()
    }

    pub fn propose(
        &mut self,
        id: ids::ReplicaId,
        command: &[u8],
    ) -> Result<ids::RequestId, String> {
        let request = self.open(command);
        let command = command.to_vec();
        let late = self.is_past_lease(id);
        self.handle(id, Event::Propose { request, command })?;
        let refused = matches!(
            self.outcomes.get(&request),
            None | Some(AnswerOutcome::NotLeader { .. })
        );
        let accepted = !refused || !self.outcomes.contains_key(&request);
        if late && accepted && self.role(id).is_some() {
            return Err(format!("cut-off {id} accepted a proposal"));
        }
        Ok(request)
    }

    pub fn read(&mut self, id: ids::ReplicaId) -> Result<ids::RequestId, String> {
        let request = self.open(&[]);
        self.handle(id, Event::Read { request })?;
        Ok(request)
    }

    fn open(&mut self, command: &[u8]) -> ids::RequestId {
        self.sequence += 1;
        let request = OpenRequest {
            command: command.to_vec(),
            seen: self.ledger.answered,
        };
        self.requests.insert(self.sequence, request);
        self.sequence
    }

    /// A replica acts by its lease without asking the others, so no two may hold one.
    fn check_one_lease(&self) -> Checked {
        let now = self.now;
        let holds = |node: &TestNode| node.machine.as_ref().is_some_and(|m| m.has_lease(now));
        let holders = self.nodes.iter().filter(|(_, node)| holds(node));
        let holders: Vec<_> = holders.map(|(id, _)| *id).collect();
        if holders.len() > 1 {
            return Err(format!("{holders:?} hold the lease at once"));
        }
        Ok(())
    }

    fn is_past_lease(&self, id: ids::ReplicaId) -> bool {
        let lease = QuorumConfig::new(id, Vec::new()).lease;
        let cut_at = self.nodes.get(&id).and_then(|node| node.cut_at);
        cut_at.is_some_and(|at| self.now >= at + lease)
    }

    pub fn snapshot(&mut self, id: ids::ReplicaId) -> Checked {
        let Some(node) = self.nodes.get(&id) else {
            return Ok(());
        };
        let index = node.application.applied;
        let data = node.application.data();
        self.handle(id, Event::SnapshotTaken { index, data })
    }

    pub fn handle(&mut self, id: ids::ReplicaId, event: Event) -> Checked {
        let now = self.now;
        let node = self.nodes.get_mut(&id);
        let Some(machine) = node.and_then(|node| node.machine.as_mut()) else {
            return Ok(());
        };
        let effects = machine.handle(now, event);
        let (role, term) = (machine.role(), machine.term());
        let late = self.is_past_lease(id);
        if role == Role::Leader {
            let incarnation = self.nodes[&id].disk.durable.incarnation;
            self.ledger.note_leader(term, id, incarnation)?;
            let machine = self.nodes[&id].machine.as_ref();
            if late && machine.is_some_and(|machine| machine.has_lease(now)) {
                return Err(format!("cut-off {id} still holds the lease"));
            }
            self.check_one_lease()?;
        }
        for effect in effects {
            self.carry_out(id, effect)?;
        }
        Ok(())
    }

    fn carry_out(&mut self, id: ids::ReplicaId, effect: Effect) -> Checked {
        let sync = self.odds.sync.mul_f64(self.random.random());
        let now = self.now;
        let node = self.nodes.get_mut(&id).unwrap();
        match effect {
            Effect::Send { to, message } => self.transmit(id, to, message),
            Effect::Persist(write) => {
                let last = node.disk.unsynced.back().map(|(at, _)| *at);
                let at = last.map_or(now + sync, |last| last.max(now + sync));
                node.disk.unsynced.push_back((at, write));
            }
            Effect::Apply(entry) => {
                node.application.apply(&entry)?;
                self.ledger.note_applied(&entry)?;
            }
            Effect::Restore(snapshot) => {
                node.application.restore(&snapshot)?;
                self.ledger.check(&self.nodes[&id].application)?;
            }
            Effect::Answer { request, outcome } => {
                let applied = node.application.applied;
                self.note_answer(request, outcome, applied)?;
            }
            Effect::RoleChanged { .. } => {}
        }
        Ok(())
    }

    fn note_answer(
        &mut self,
        request: ids::RequestId,
        outcome: AnswerOutcome,
        applied: ids::LogIndex,
    ) -> Checked {
        let Some(open) = self.requests.remove(&request) else {
            return Err(format!("request {request} answered twice"));
        };
        match &outcome {
            AnswerOutcome::Committed { index } => {
                self.ledger.note_answered(*index, &open.command)?;
            }
            AnswerOutcome::Confirmed if applied < open.seen => {
                return Err(format!("read saw {applied}, not {}", open.seen));
            }
            _ => {}
        }
        self.outcomes.insert(request, outcome);
        Ok(())
    }

    fn transmit(&mut self, from: ids::ReplicaId, to: ids::ReplicaId, message: Message) {
        let copies = 1 + u64::from(self.random.random_bool(self.odds.duplicate));
        for _ in 0..copies {
            if self.random.random_bool(self.odds.drop) {
                continue;
            }
            let late = self.random.random_bool(self.odds.delay);
            let longest = if late { self.odds.late } else { Self::LATENCY };
            let at = self.now + longest.mul_f64(self.random.random());
            self.sequence += 1;
            let letter = (from, to, message.clone());
            self.network.insert((at, self.sequence), letter);
        }
    }

    /// Returns the most bytes of commands in a message that is on its way.
    pub fn largest_message(&self) -> usize {
        let sizes = self
            .network
            .values()
            .map(|(_, _, message)| match &message.body {
                MessageBody::Append { entries, .. } => {
                    entries.iter().map(|entry| entry.payload.bytes()).sum()
                }
                _ => 0,
            });
        sizes.max().unwrap_or(0)
    }

    /// Goes on to the next thing that happens by itself.
    pub fn step(&mut self) -> Checked {
        const LONGEST: Duration = Duration::from_secs(1);
        self.step_until(self.now + LONGEST)
    }

    fn step_until(&mut self, end: Instant) -> Checked {
        let mail = self.network.keys().next().map(|(at, _)| *at);
        let disk = self.earliest(|node| node.disk.due());
        let tick = self.earliest(|node| node.machine.as_ref().map(QuorumMachine::deadline));
        let first = [mail, disk.map(|d| d.0), tick.map(|t| t.0)];
        let at = first.into_iter().flatten().min();
        let Some(at) = at.filter(|at| *at <= end) else {
            self.now = end;
            return self.thaw();
        };
        self.now = self.now.max(at);
        self.thaw()?;
        if let Some((_, id)) = disk.filter(|(due, _)| *due == at) {
            let node = self.nodes.get_mut(&id).unwrap();
            let Some(token) = node.disk.sync_next() else {
                return Ok(());
            };
            return self.handle(id, Event::Persisted { token });
        }
        if mail == Some(at) {
            let Some(((_, number), (from, to, message))) = self.network.pop_first() else {
                return Ok(());
            };
            if let Some(until) = self.nodes[&to].frozen_until {
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
            .filter_map(|(id, node)| Some((Some(time(node)?).max(node.frozen_until)?, *id)));
        times.min()
    }

    pub fn run_for(&mut self, time: Duration) -> Checked {
        let end = self.now + time;
        while self.now < end {
            self.step_until(end)?;
        }
        Ok(())
    }

    /// Heals all, then waits until a new command is applied everywhere.
    pub fn converge(&mut self) -> Checked {
        const MOST_STEPS: usize = 20_000;
        self.heal();
        self.odds.drop = 0.0;
        self.odds.delay = 0.0;
        for id in self.ids() {
            if self.role(id) == Some(Role::Failed) || self.is_stopping(id) {
                self.crash(id);
            }
            self.start(id);
        }
        let mut marker = None;
        for _ in 0..MOST_STEPS {
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
        Err(format!("the replicas don't converge: {reports:#?}"))
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

    fn check_all(&self) -> Checked {
        for node in self.nodes.values() {
            self.ledger.check(&node.application)?;
        }
        let highest = self.ledger.committed.keys().next_back().copied();
        let answered = Some(self.ledger.answered);
        if answered > highest {
            return Err("an answered command is not committed".to_string());
        }
        Ok(())
    }
}
