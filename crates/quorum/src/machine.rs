//! The machine of one replica: what it holds, and where each event goes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::config::QuorumConfig;
use crate::entry::{EntryPayload, HardState, LogEntry, LogSnapshot, RecoveredState};
use crate::event::{AnswerOutcome, Effect, Event, Role};
use crate::fault::PlantedFault;
use crate::formation::FormationState;
use crate::ids;
use crate::leadership::Leadership;
use crate::log::ReplicatedLog;
use crate::message::{Message, MessageBody};
use crate::progress::PeerProgress;
use crate::writes::{SyncNeed, WriteQueue};

/// One replica of the log.
#[derive(Debug)]
pub struct QuorumMachine {
    pub(crate) config: QuorumConfig,
    pub(crate) incarnation: ids::Incarnation,
    pub(crate) hard: HardState,
    pub(crate) role: Role,
    pub(crate) leader: Option<ids::ReplicaId>,
    pub(crate) log: ReplicatedLog,
    pub(crate) snapshot: LogSnapshot,
    /// Admitted incarnations as of the last entry, committed or not.
    pub(crate) members: BTreeMap<ids::ReplicaId, ids::Incarnation>,
    pub(crate) commit: ids::LogIndex,
    pub(crate) applied: ids::LogIndex,
    pub(crate) writes: WriteQueue,
    pub(crate) now: Instant,
    /// When a leader was last heard, or the start; none where no lease can rest on this replica.
    pub(crate) heard_at: Option<Instant>,
    pub(crate) election_at: Instant,
    pub(crate) votes: BTreeSet<ids::ReplicaId>,
    pub(crate) leadership: Option<Leadership>,
    pub(crate) formation: FormationState,
    /// Replicas that aren't voters and when each was last heard.
    pub(crate) joiners: BTreeMap<ids::ReplicaId, Instant>,
    pub(crate) stopping: bool,
    pub(crate) fault: Option<PlantedFault>,
    random: SmallRng,
    outbox: Vec<(SyncNeed, Effect)>,
    done: Vec<Effect>,
    told: (Role, ids::Term, Option<ids::ReplicaId>),
}

impl QuorumMachine {
    /// Entries kept behind a snapshot for followers that lag a little.
    pub const RETAINED_ENTRIES: u64 = 256;
    /// Time to the next tick where the machine waits for nothing.
    const IDLE: Duration = Duration::from_secs(3600);

    /// Creates the machine of a replica from what it found on its disk.
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
            members: BTreeMap::new(),
            commit: snapshot.index,
            applied: snapshot.index,
            writes: WriteQueue::new(log.last_index()),
            now,
            heard_at: Some(now),
            election_at: now,
            votes: BTreeSet::new(),
            leadership: None,
            formation: FormationState::new(now, random.random()),
            joiners: BTreeMap::new(),
            stopping: false,
            fault: None,
            random,
            outbox: Vec::new(),
            done: Vec::new(),
            told: (Role::Learner, recovered.hard.term, None),
            config,
            log,
            snapshot,
        };
        machine.recount_members();
        let admitted = machine.snapshot.admitted.clone();
        machine.hard.member |= admitted.contains(&(machine.config.id, machine.incarnation));
        if machine.is_member() {
            machine.role = Role::Follower;
        }
        machine.told.0 = machine.role;
        machine.arm_first_election();
        machine
    }

    /// Plants a known fault, by which tests show that they would find it.
    #[doc(hidden)]
    #[must_use]
    pub fn with_fault(mut self, fault: PlantedFault) -> Self {
        self.fault = Some(fault);
        self
    }

    /// Takes an event and returns what the daemon must do, in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        if self.role == Role::Failed {
            return self.refuse(event);
        }
        let mut effects = Vec::new();
        match event {
            Event::Tick => self.tick(),
            Event::Receive { from, message } => self.receive(from, message),
            Event::Propose { request, command } => self.propose(request, command),
            Event::Read { request } => self.read(request),
            Event::Persisted { token } => {
                effects = self.writes.note_persisted(token);
                self.after_sync();
            }
            Event::StorageFailed => self.fail(),
            Event::SnapshotTaken { index, data } => self.compact(index, data),
            Event::Contacts(contacts) => self.on_members(&contacts),
            Event::HandOver => self.hand_over(),
        }
        self.finish(effects)
    }

    /// Returns when the next [`Event::Tick`] is wanted.
    pub fn deadline(&self) -> Instant {
        let idle = self.now + Self::IDLE;
        let role_deadline = match self.role {
            Role::Failed => idle,
            Role::Learner => idle.min(self.election_at),
            Role::Follower | Role::PreCandidate | Role::Candidate => self.election_at,
            Role::Leader => self.leadership.as_ref().map_or(idle, |l| l.heartbeat_at),
        };
        if self.role != Role::Failed && self.is_greeting() {
            return role_deadline.min(self.formation.greeting_at());
        }
        role_deadline
    }

    /// Returns the part that the replica plays.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the latest term seen.
    pub fn term(&self) -> ids::Term {
        self.hard.term
    }

    /// Returns the leader of the term, where it is known.
    pub fn leader(&self) -> Option<ids::ReplicaId> {
        self.leader
    }

    /// Returns the last entry that is known to be committed.
    pub fn commit_index(&self) -> ids::LogIndex {
        self.commit
    }

    /// Returns the last entry that was given to the application.
    pub fn applied_index(&self) -> ids::LogIndex {
        self.applied
    }

    /// Returns whether the replica leads and a quorum answered it within the lease.
    pub fn has_lease(&self, now: Instant) -> bool {
        let Some(leadership) = &self.leadership else {
            return false;
        };
        leadership.transfer.is_none()
            && leadership.rounds.confirmed() > 0
            && now < leadership.rounds.confirmed_at() + self.config.lease
    }

    /// Returns the fewest replicas of which any two sets share one.
    pub(crate) fn quorum(&self) -> usize {
        let voters = match self.members.len() {
            0 => self.config.replicas.len(),
            count => count,
        };
        voters / 2 + 1
    }

    /// Returns the voters as of the last entry.
    pub fn voters(&self) -> impl Iterator<Item = ids::ReplicaId> + '_ {
        self.members.keys().copied()
    }

    /// Returns whether this incarnation is admitted, so that it votes and counts.
    pub(crate) fn is_member(&self) -> bool {
        self.hard.member || self.fault == Some(PlantedFault::BlankVotes)
    }

    /// Returns whether the replica has nothing at all.
    pub(crate) fn is_blank(&self) -> bool {
        self.log.last_index() == 0
    }

    /// Returns the other replicas that votes and entries go to: the voters, and those that join.
    pub(crate) fn peers(&self) -> Vec<ids::ReplicaId> {
        let silent = self.config.silence_limit * 2;
        let joiners = self.joiners.iter();
        let joiners = joiners.filter(|(_, heard_at)| self.now < **heard_at + silent);
        let mut peers: BTreeSet<_> = joiners.map(|(joiner, _)| *joiner).collect();
        peers.extend(self.members.keys());
        if self.members.is_empty() {
            peers.extend(self.config.replicas.iter());
        }
        peers.remove(&self.config.id);
        peers.into_iter().collect()
    }

    /// Returns the replicas that one without a leader greets.
    pub(crate) fn contacts(&self) -> Vec<ids::ReplicaId> {
        let mut contacts: BTreeSet<_> = self.config.replicas.iter().copied().collect();
        contacts.extend(self.members.keys());
        contacts.extend(self.formation.contacts());
        contacts.remove(&self.config.id);
        contacts.into_iter().collect()
    }

    /// Starts to send entries to a replica that joins, where this one leads.
    fn track_joiner(&mut self, joiner: ids::ReplicaId) {
        let next = self.log.last_index() + 1;
        if let Some(leadership) = self.leadership.as_mut() {
            let peers = &mut leadership.peers;
            peers
                .entry(joiner)
                .or_insert_with(|| PeerProgress::new(next));
        }
    }

    /// Moves the time of the next election to a random point.
    pub(crate) fn arm_election(&mut self) {
        self.arm_after(self.config.election);
    }

    /// Moves it to a point that leaves just time for messages to arrive.
    pub(crate) fn arm_election_soon(&mut self) {
        self.arm_after(self.config.heartbeat);
    }

    fn arm_after(&mut self, shortest: Duration) {
        let spread = self.random.random_range(0.0..1.0);
        self.election_at = self.now + shortest.mul_f64(1.0 + spread);
    }

    /// Sets the time of the first election after a start. The leader of the latest term knows that
    /// its own lease is over and that no other can rest on this replica.
    fn arm_first_election(&mut self) {
        if self.hard.leader == Some(self.config.id) {
            self.heard_at = None;
            return self.arm_election_soon();
        }
        self.arm_election();
    }

    /// Draws the number of a greeting.
    pub(crate) fn draw_nonce(&mut self) -> u64 {
        self.random.random()
    }

    /// Queues a message in the present term.
    pub(crate) fn send(&mut self, need: SyncNeed, to: ids::ReplicaId, body: MessageBody) {
        self.send_in(self.hard.term, need, to, body);
    }

    /// Queues a message in a given term.
    pub(crate) fn send_in(
        &mut self,
        term: ids::Term,
        need: SyncNeed,
        to: ids::ReplicaId,
        body: MessageBody,
    ) {
        let message = Message {
            term,
            incarnation: self.incarnation,
            member: self.is_member(),
            body,
        };
        self.outbox.push((need, Effect::Send { to, message }));
    }

    /// Queues the answer to a proposal or read.
    pub(crate) fn answer(&mut self, request: ids::RequestId, outcome: AnswerOutcome) {
        self.done.push(Effect::Answer { request, outcome });
    }

    /// Appends an entry to the log; it is written when the event ends.
    pub(crate) fn append(&mut self, entry: LogEntry) {
        entry.payload.change_members(&mut self.members);
        self.log.append(entry);
    }

    /// Removes the entries from one on.
    pub(crate) fn truncate(&mut self, from: ids::LogIndex) {
        self.log.truncate(from);
        self.writes.truncate(from);
        self.recount_members();
    }

    /// Raises the commit index and applies what became committed.
    pub(crate) fn commit_to(&mut self, index: ids::LogIndex) {
        self.commit = self.commit.max(index.min(self.log.last_index()));
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else {
                return;
            };
            self.applied = entry.index;
            self.note_admission(&entry);
            self.done.push(Effect::Apply(entry));
            self.answer_applied();
        }
    }

    /// Puts a snapshot in place of the state and of the log that it doesn't agree with.
    pub(crate) fn restore(&mut self, snapshot: LogSnapshot) {
        let index = snapshot.index;
        let agrees = self.log.term_at(index) == Some(snapshot.term);
        if agrees {
            self.log.compact(index);
        } else {
            self.log = ReplicatedLog::new(index, snapshot.term);
        }
        self.writes.put_snapshot(snapshot.clone(), !agrees);
        self.snapshot = snapshot.clone();
        self.commit = index;
        self.applied = index;
        self.recount_members();
        let own = (self.config.id, self.incarnation);
        if snapshot.admitted.contains(&own) {
            self.become_member();
        } else if !snapshot.admitted.iter().any(|(voter, _)| *voter == own.0) {
            // The entry that replaced this one is behind the snapshot.
            self.leave_members();
        }
        self.done.push(Effect::Restore(snapshot));
    }

    /// Notes that this incarnation is admitted, from a committed entry.
    pub(crate) fn become_member(&mut self) {
        if self.hard.member {
            return;
        }
        self.hard.member = true;
        self.writes.change_hard();
        if self.role == Role::Learner {
            self.role = Role::Follower;
            self.arm_election();
        }
    }

    fn note_admission(&mut self, entry: &LogEntry) {
        let own = (self.config.id, self.incarnation);
        if entry.payload.admissions().contains(&own) {
            self.become_member();
        }
        if matches!(entry.payload, EntryPayload::Replace { old, .. } if old == own.0) {
            self.leave_members();
        }
    }

    /// Notes that another replica took this one's place.
    fn leave_members(&mut self) {
        if !self.hard.member {
            return;
        }
        self.hard.member = false;
        self.writes.change_hard();
        if self.role != Role::Learner {
            self.end_leadership();
            self.role = Role::Learner;
        }
    }

    /// Takes a snapshot of the application in and drops the entries far behind it.
    fn compact(&mut self, index: ids::LogIndex, data: Vec<u8>) {
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        if index <= self.snapshot.index || index > self.applied {
            return;
        }
        let admitted = self.members_at(index).into_iter().collect();
        self.snapshot = LogSnapshot {
            index,
            term,
            admitted,
            data,
        };
        self.writes.put_snapshot(self.snapshot.clone(), false);
        self.log
            .compact(index.saturating_sub(Self::RETAINED_ENTRIES));
    }

    fn recount_members(&mut self) {
        self.members = self.members_at(self.log.last_index());
    }

    /// Returns the admitted incarnations as of an entry not before the snapshot.
    pub(crate) fn members_at(
        &self,
        index: ids::LogIndex,
    ) -> BTreeMap<ids::ReplicaId, ids::Incarnation> {
        let mut members: BTreeMap<_, _> = self.snapshot.admitted.iter().copied().collect();
        for place in self.snapshot.index + 1..=index {
            if let Some(entry) = self.log.get(place) {
                entry.payload.change_members(&mut members);
            }
        }
        members
    }

    fn tick(&mut self) {
        if self.is_greeting() {
            self.tick_formation();
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
        if !self.members.contains_key(&from) {
            self.joiners.insert(from, self.now);
            self.track_joiner(from);
        }
        match message.body {
            MessageBody::Greeting { .. } => self.on_greeting(from, &message),
            MessageBody::Members { members } => self.on_members(&members),
            MessageBody::Admitted { incarnation } => self.on_admitted(incarnation),
            MessageBody::VoteRequest { .. } => self.on_vote_request(from, &message),
            MessageBody::VoteReply { pre, granted } => {
                self.on_vote_reply(from, &message, pre, granted);
            }
            MessageBody::Append { .. } | MessageBody::Snapshot { .. } => {
                self.on_leader_message(from, message);
            }
            MessageBody::AppendReply { .. } => self.on_append_reply(from, &message),
            MessageBody::HandOver => self.on_hand_over(from, message.term),
        }
    }

    /// Does what waited for a write of this replica itself.
    fn after_sync(&mut self) {
        match self.role {
            Role::Leader => self.advance_commit(),
            Role::Candidate => self.count_votes(),
            Role::Learner | Role::Follower | Role::PreCandidate | Role::Failed => {}
        }
    }

    /// Stops for good after the disk failed.
    fn fail(&mut self) {
        self.end_leadership();
        self.role = Role::Failed;
        self.leader = None;
        self.writes.abandon();
        self.outbox.clear();
    }

    /// Answers what a replica with a failed disk is still asked.
    fn refuse(&mut self, event: Event) -> Vec<Effect> {
        let outcome = AnswerOutcome::NotLeader { leader: None };
        match event {
            Event::Propose { request, .. } | Event::Read { request } => {
                vec![Effect::Answer { request, outcome }]
            }
            _ => Vec::new(),
        }
    }

    /// Orders what one event brought about: the write, messages, then what is done.
    fn finish(&mut self, released: Vec<Effect>) -> Vec<Effect> {
        let mut effects = released;
        if self.role != Role::Failed {
            let group = self.role == Role::Leader;
            let write = self.writes.take_write(&self.log, self.hard, group);
            effects.extend(write.map(Effect::Persist));
        }
        for (need, effect) in self.outbox.drain(..) {
            effects.extend(self.writes.release_or_hold(need, effect));
        }
        effects.append(&mut self.done);
        let state = (self.role, self.hard.term, self.leader);
        if state != self.told {
            self.told = state;
            let (role, term, leader) = state;
            effects.push(Effect::RoleChanged { role, term, leader });
        }
        effects
    }
}
