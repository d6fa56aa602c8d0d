//! State machine of one replica: its state and the dispatch of events.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::bootstrap::BootstrapState;
use crate::config::QuorumConfig;
use crate::entry::{HardState, LogEntry, LogSnapshot, RecoveredState};
use crate::event::{AnswerOutcome, Effect, Event, Role};
use crate::fault::InjectedFault;
use crate::ids;
use crate::leadership::Leadership;
use crate::log::ReplicatedLog;
use crate::membership::VoterSet;
use crate::message::{Message, MessageBody};
use crate::progress::PeerProgress;
use crate::writes::{SyncRequirement, WriteQueue};

/// Minimum election timeouts for which an election is postponed: others start theirs within two.
const POSTPONED_TIMEOUTS: u32 = 3;

/// Raft state machine of one replica.
#[derive(Debug)]
pub struct QuorumMachine {
    pub(crate) config: QuorumConfig,
    pub(crate) incarnation: ids::Incarnation,
    pub(crate) hard: HardState,
    pub(crate) role: Role,
    pub(crate) leader: Option<ids::ReplicaId>,
    pub(crate) log: ReplicatedLog,
    pub(crate) snapshot: LogSnapshot,
    /// Voters as of the last log entry, committed or not.
    pub(crate) voters: VoterSet,
    pub(crate) commit: ids::LogIndex,
    pub(crate) applied: ids::LogIndex,
    /// Bytes of the commands that were applied after the latest snapshot.
    bytes_since_snapshot: usize,
    pub(crate) writes: WriteQueue,
    pub(crate) now: Instant,
    /// Time of the latest message from a leader; initially the start time. `None` if no leader's
    /// lease can depend on this replica.
    pub(crate) last_leader_contact: Option<Instant>,
    /// Whether a leader made contact since the start.
    pub(crate) has_heard_leader: bool,
    pub(crate) election_deadline: Instant,
    /// Replicas that granted their votes in the current election, with their incarnations.
    pub(crate) votes: BTreeMap<ids::ReplicaId, ids::Incarnation>,
    pub(crate) leadership: Option<Leadership>,
    pub(crate) bootstrap: BootstrapState,
    /// Replicas that aren't voters, with the time of the latest message from each.
    pub(crate) learners: BTreeMap<ids::ReplicaId, Instant>,
    pub(crate) stopping: bool,
    pub(crate) fault: Option<InjectedFault>,
    random: SmallRng,
    outbox: Vec<(SyncRequirement, Effect)>,
    completed: Vec<Effect>,
    reported_state: (Role, ids::Term, Option<ids::ReplicaId>),
}

impl QuorumMachine {
    /// Number of entries kept before a snapshot, so that followers slightly behind don't need the
    /// snapshot.
    pub const RETAINED_ENTRIES: u64 = 256;
    /// Maximum bytes of commands in the entries that are kept before a snapshot.
    pub const RETAINED_BYTES: usize = 4 << 20;
    /// Bytes of commands after which the next snapshot is due, whatever the number of entries.
    pub const SNAPSHOT_INTERVAL_BYTES: usize = 8 << 20;
    /// Time to the next tick if nothing is scheduled.
    const IDLE: Duration = Duration::from_secs(3600);

    /// Creates the state machine of a replica from its recovered state.
    pub fn new(now: Instant, config: QuorumConfig, recovered: RecoveredState) -> Self {
        let snapshot = recovered.snapshot;
        let mut log = ReplicatedLog::new(snapshot.index, snapshot.term);
        for entry in recovered.entries {
            if entry.index == log.last_index() + 1 {
                log.append(entry);
            }
        }
        let seed = config.seed ^ recovered.incarnation;
        let mut random = SmallRng::seed_from_u64(seed);
        let mut machine = Self {
            incarnation: recovered.incarnation,
            hard: recovered.hard,
            role: Role::Learner,
            leader: None,
            voters: VoterSet::default(),
            commit: snapshot.index,
            applied: snapshot.index,
            bytes_since_snapshot: 0,
            writes: WriteQueue::new(log.last_index()),
            now,
            last_leader_contact: Some(now),
            has_heard_leader: false,
            election_deadline: now,
            votes: BTreeMap::new(),
            leadership: None,
            bootstrap: BootstrapState::new(now, random.random()),
            learners: BTreeMap::new(),
            stopping: false,
            fault: None,
            random,
            outbox: Vec::new(),
            completed: Vec::new(),
            reported_state: (Role::Learner, recovered.hard.term, None),
            config,
            log,
            snapshot,
        };
        machine.recompute_voters();
        machine.follow_membership();
        machine.reported_state.0 = machine.role;
        machine.start_election_timer();
        machine
    }

    /// Injects a fault, so that a test can prove that its checks detect it.
    #[doc(hidden)]
    #[must_use]
    pub fn with_fault(mut self, fault: InjectedFault) -> Self {
        self.fault = Some(fault);
        self
    }

    /// Handles an event and returns the effects that the daemon must execute in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        if self.role == Role::Failed {
            return self.reject(event);
        }
        let mut effects = Vec::new();
        match event {
            Event::Tick => self.tick(),
            Event::Receive { from, message } => self.receive(from, message),
            Event::Propose { request, command } => self.propose(request, command),
            Event::Read { request } => self.read(request),
            Event::Persisted { token } => {
                effects = self.writes.on_persisted(token);
                self.on_synced();
            }
            Event::StorageFailed => self.on_storage_failed(),
            Event::SnapshotTaken { index, data } => self.compact(index, data),
            Event::DiscoveredPeers(peers) => self.on_members(&peers),
            Event::TransferLeadership => self.transfer_leadership(),
        }
        self.follow_membership();
        self.collect_effects(effects)
    }

    /// Returns when the next [`Event::Tick`] is due.
    pub fn deadline(&self) -> Instant {
        let idle = self.now + Self::IDLE;
        let role_deadline = match self.role {
            Role::Failed => idle,
            Role::Learner => idle.min(self.election_deadline),
            Role::Follower | Role::PreCandidate | Role::Candidate => self.election_deadline,
            Role::Leader => self
                .leadership
                .as_ref()
                .map_or(idle, |l| l.next_heartbeat_at),
        };
        if self.role != Role::Failed && self.sends_greetings() {
            return role_deadline.min(self.bootstrap.next_greeting_at());
        }
        role_deadline
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the latest term seen.
    pub fn term(&self) -> ids::Term {
        self.hard.term
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<ids::ReplicaId> {
        self.leader
    }

    /// Returns the index of the last entry that is known to be committed.
    pub fn commit_index(&self) -> ids::LogIndex {
        self.commit
    }

    /// Returns the index of the last entry that was passed to the application.
    pub fn applied_index(&self) -> ids::LogIndex {
        self.applied
    }

    /// Returns whether the application should take a snapshot: since the latest one, `max_entries`
    /// entries or [`Self::SNAPSHOT_INTERVAL_BYTES`] of commands were applied.
    pub fn needs_snapshot(&self, max_entries: u64) -> bool {
        self.applied >= self.snapshot.index + max_entries
            || self.bytes_since_snapshot >= Self::SNAPSHOT_INTERVAL_BYTES
    }

    /// Returns whether this replica is the leader and holds a valid lease at `now`. A leader that
    /// transfers its leadership has no lease.
    pub fn has_lease(&self, now: Instant) -> bool {
        let Some(leadership) = &self.leadership else {
            return false;
        };
        leadership.transfer.is_none()
            && leadership.rounds.confirmed() > 0
            && now < leadership.rounds.confirmed_at() + self.config.lease_duration
    }

    /// Returns the size of a majority of the voters.
    pub(crate) fn quorum(&self) -> usize {
        let voters = match self.voters.len() {
            0 => self.config.replicas.len(),
            count => count,
        };
        voters / 2 + 1
    }

    /// Returns the voters as of the last log entry, committed or not.
    pub fn voters(&self) -> impl Iterator<Item = ids::ReplicaId> + '_ {
        self.voters.ids()
    }

    /// Returns whether this replica has no log and no snapshot.
    pub(crate) fn is_blank(&self) -> bool {
        self.log.last_index() == 0
    }

    /// Returns the other replicas that receive vote requests and entries: the voters, and the
    /// learners that sent a message within twice `silence_limit`.
    pub(crate) fn peers(&self) -> Vec<ids::ReplicaId> {
        let learner_timeout = self.config.silence_limit * 2;
        let learners = self.learners.iter();
        let learners = learners.filter(|(_, contact)| self.now < **contact + learner_timeout);
        let mut peers: BTreeSet<_> = learners.map(|(learner, _)| *learner).collect();
        peers.extend(self.voters.ids());
        if self.voters.len() == 0 {
            peers.extend(self.config.replicas.iter());
        }
        peers.remove(&self.config.id);
        peers.into_iter().collect()
    }

    /// Returns the replicas that this one sends greetings to.
    pub(crate) fn greeting_targets(&self) -> Vec<ids::ReplicaId> {
        let mut targets: BTreeSet<_> = self.config.replicas.iter().copied().collect();
        targets.extend(self.voters.ids());
        targets.extend(self.bootstrap.discovered_voters());
        targets.remove(&self.config.id);
        targets.into_iter().collect()
    }

    /// Starts replication to a learner if this replica is the leader.
    fn track_learner(&mut self, learner: ids::ReplicaId) {
        let next = self.log.last_index() + 1;
        if let Some(leadership) = self.leadership.as_mut() {
            let peers = &mut leadership.peers;
            peers
                .entry(learner)
                .or_insert_with(|| PeerProgress::new(next));
        }
    }

    /// Resets the election timer to a random time of one to two minimum election timeouts. Before the
    /// first contact of a leader since the start there is probably none, so the time is short.
    pub(crate) fn reset_election_timer(&mut self) {
        if self.has_heard_leader {
            self.set_election_timer(self.config.min_election_timeout);
        } else {
            self.reset_election_timer_soon();
        }
    }

    /// Resets the election timer to a random time of one to two heartbeat intervals, which leaves
    /// just enough time for messages to arrive.
    pub(crate) fn reset_election_timer_soon(&mut self) {
        self.set_election_timer(self.config.heartbeat_interval);
    }

    fn set_election_timer(&mut self, min_timeout: Duration) {
        let jitter = self.random.random_range(0.0..1.0);
        self.election_deadline = self.now + min_timeout.mul_f64(1.0 + jitter);
    }

    /// Sets the election timer at start. A replica that was the latest leader knows that its own
    /// lease has ended with its former process, and that no other leader's lease depends on it. Any
    /// other waits for the end of the lease that its former process may have granted, and starts an
    /// election soon afterwards: a leader would have made contact by then.
    fn start_election_timer(&mut self) {
        if self.hard.leader == Some(self.config.id) {
            self.last_leader_contact = None;
            return self.reset_election_timer_soon();
        }
        let jitter = self.random.random_range(0.0..2.0);
        let after_lease = self.config.heartbeat_interval.mul_f64(jitter);
        self.election_deadline = self.now + self.config.min_election_timeout + after_lease;
    }

    /// Lets the other voters be elected first, as this replica's disk has failed and may fail again at the next
    /// write. Must be called before the first event.
    pub fn postpone_election(&mut self) {
        self.election_deadline = self.now + self.config.min_election_timeout * POSTPONED_TIMEOUTS;
    }

    /// Draws a nonce for greetings.
    pub(crate) fn draw_nonce(&mut self) -> u64 {
        self.random.random()
    }

    /// Queues a message in the current term.
    pub(crate) fn send(
        &mut self,
        requirement: SyncRequirement,
        to: ids::ReplicaId,
        body: MessageBody,
    ) {
        self.send_in(self.hard.term, requirement, to, body);
    }

    /// Queues a message in the given term.
    pub(crate) fn send_in(
        &mut self,
        term: ids::Term,
        requirement: SyncRequirement,
        to: ids::ReplicaId,
        body: MessageBody,
    ) {
        let message = Message {
            term,
            incarnation: self.incarnation,
            member: self.is_voter(),
            body,
        };
        self.outbox
            .push((requirement, Effect::Send { to, message }));
    }

    /// Queues the answer to a proposal or read.
    pub(crate) fn answer(&mut self, request: ids::RequestId, outcome: AnswerOutcome) {
        self.completed.push(Effect::Answer { request, outcome });
    }

    /// Appends an entry to the log in memory; its write is issued at the end of the event.
    pub(crate) fn append(&mut self, entry: LogEntry) {
        self.voters.apply(&entry);
        self.log.append(entry);
    }

    /// Removes the entries from index `from` on.
    pub(crate) fn truncate(&mut self, from: ids::LogIndex) {
        self.log.truncate(from);
        self.writes.truncate(from);
        self.recompute_voters();
    }

    /// Raises the commit index to `index` and applies the entries that became committed.
    pub(crate) fn commit_to(&mut self, index: ids::LogIndex) {
        self.commit = self.commit.max(index.min(self.log.last_index()));
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else {
                return;
            };
            self.applied = entry.index;
            self.bytes_since_snapshot += entry.payload.command_len();
            if entry.payload.is_membership() {
                self.settle_membership(entry.index);
            }
            self.completed.push(Effect::Apply(entry));
            self.answer_applied();
        }
    }

    /// Installs a snapshot. The log is discarded if it doesn't agree with the snapshot.
    pub(crate) fn restore(&mut self, snapshot: LogSnapshot) {
        let index = snapshot.index;
        let agrees = self.log.term_at(index) == Some(snapshot.term);
        if agrees {
            self.log.compact(index);
        } else {
            self.log = ReplicatedLog::new(index, snapshot.term);
        }
        self.writes.queue_snapshot(snapshot.clone(), !agrees);
        self.snapshot = snapshot.clone();
        self.commit = index;
        self.applied = index;
        self.bytes_since_snapshot = 0;
        self.recompute_voters();
        self.completed.push(Effect::Restore(snapshot));
    }

    /// Stores a snapshot of the application and compacts the log before it, up to the entries that
    /// are retained.
    fn compact(&mut self, index: ids::LogIndex, data: Vec<u8>) {
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        if index <= self.snapshot.index || index > self.applied {
            return;
        }
        let admitted = self.voters_at(index).incarnations();
        let admitted = admitted.into_iter().collect();
        self.snapshot = LogSnapshot {
            index,
            term,
            admitted,
            data,
        };
        self.bytes_since_snapshot = self.log.command_bytes(index, self.applied, usize::MAX);
        self.writes.queue_snapshot(self.snapshot.clone(), false);
        let base = self
            .log
            .retention_base(index, Self::RETAINED_ENTRIES, Self::RETAINED_BYTES);
        self.log.compact(base);
    }

    fn tick(&mut self) {
        if self.sends_greetings() {
            self.tick_bootstrap();
        }
        match self.role {
            Role::Leader => self.tick_leader(),
            Role::Failed => {}
            Role::Learner | Role::Follower | Role::PreCandidate | Role::Candidate => {
                self.tick_election();
            }
        }
    }

    fn receive(&mut self, from: ids::ReplicaId, message: Message) {
        if from == self.config.id {
            return;
        }
        if !self.voters.contains(from) {
            self.learners.insert(from, self.now);
            self.track_learner(from);
        }
        match message.body {
            MessageBody::Greeting { .. } => self.on_greeting(from, &message),
            MessageBody::Members { members } => self.on_members(&members),
            MessageBody::Settled { index, term } => self.on_settled(index, term),
            MessageBody::Bootstrap { .. } => self.on_bootstrap(from, message),
            MessageBody::VoteRequest { .. } => self.on_vote_request(from, &message),
            MessageBody::VoteReply { pre, granted } => {
                self.on_vote_reply(from, &message, pre, granted);
            }
            MessageBody::Append { .. } | MessageBody::Snapshot { .. } => {
                self.on_leader_message(from, message);
            }
            MessageBody::AppendReply { .. } => self.on_append_reply(from, &message),
            MessageBody::HandOver => self.on_transfer_request(from, message.term),
        }
    }

    /// Resumes what waited for this replica's own write: a commit or an election.
    fn on_synced(&mut self) {
        match self.role {
            Role::Leader => self.advance_commit(),
            Role::Candidate => self.check_votes(),
            Role::Learner | Role::Follower | Role::PreCandidate | Role::Failed => {}
        }
    }

    /// Stops for good after the disk failed.
    fn on_storage_failed(&mut self) {
        self.clear_leadership();
        self.role = Role::Failed;
        self.leader = None;
        self.writes.clear();
        self.outbox.clear();
    }

    /// Rejects the requests that reach a replica with a failed disk.
    fn reject(&mut self, event: Event) -> Vec<Effect> {
        let outcome = AnswerOutcome::NotLeader { leader: None };
        match event {
            Event::Propose { request, .. } | Event::Read { request } => {
                vec![Effect::Answer { request, outcome }]
            }
            _ => Vec::new(),
        }
    }

    /// Collects the effects of one event in order: `released` messages, the write, new messages,
    /// applied entries and answers, and the role change.
    fn collect_effects(&mut self, released: Vec<Effect>) -> Vec<Effect> {
        let mut effects = released;
        if self.role != Role::Failed {
            let group = self.role == Role::Leader;
            let write = self.writes.next_write(&self.log, self.hard, group);
            effects.extend(write.map(Effect::Persist));
        }
        for (requirement, effect) in self.outbox.drain(..) {
            effects.extend(self.writes.release_or_hold(requirement, effect));
        }
        effects.append(&mut self.completed);
        let state = (self.role, self.hard.term, self.leader);
        if state != self.reported_state {
            self.reported_state = state;
            let (role, term, leader) = state;
            effects.push(Effect::RoleChanged { role, term, leader });
        }
        effects
    }
}
