//! Replication as the leader does it.

use crate::entry::{EntryPayload, LogEntry};
use crate::event::{AnswerOutcome, Role};
use crate::fault::PlantedFault;
use crate::ids;
use crate::leadership::OpenProposal;
use crate::machine::QuorumMachine;
use crate::message::{Message, MessageBody};
use crate::progress::PeerProgress;
use crate::writes::SyncNeed;

impl QuorumMachine {
    /// Bytes of commands in one message, after which no further entry is put into it.
    const BATCH_BYTES: usize = 1 << 20;
    /// Most batches on their way to one replica.
    const WINDOW_BATCHES: u64 = 4;

    /// Takes a proposal into the log.
    pub(crate) fn propose(&mut self, request: ids::RequestId, command: Vec<u8>) {
        let leader = self.leader.filter(|leader| *leader != self.config.id);
        let leased = self.has_lease(self.now)
            || self.fault == Some(PlantedFault::ProposeWithoutLease) && self.leadership.is_some();
        if !leased {
            return self.answer(request, AnswerOutcome::NotLeader { leader });
        }
        let index = self.append_own(EntryPayload::Command(command));
        if let Some(leadership) = self.leadership.as_mut() {
            let proposal = OpenProposal { index, request };
            leadership.proposals.push_back(proposal);
        }
        if self.fault == Some(PlantedFault::AnswerBeforeCommit) {
            self.answer(request, AnswerOutcome::Committed { index });
        }
        self.send_entries();
    }

    /// Appends an entry of the present term and returns its index.
    fn append_own(&mut self, payload: EntryPayload) -> ids::LogIndex {
        let index = self.log.last_index() + 1;
        self.append(LogEntry {
            term: self.hard.term,
            index,
            payload,
        });
        index
    }

    /// Sends heartbeats when they are due, and steps down without a quorum.
    pub(crate) fn tick_leader(&mut self) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let silent = self.now >= leadership.rounds.confirmed_at() + self.config.election;
        let handed = leadership
            .transfer
            .is_some_and(|transfer| self.now >= transfer.until);
        if silent || handed {
            return self.follow(self.hard.term, None);
        }
        if self.now >= leadership.heartbeat_at {
            self.start_round();
            self.urge_transfer();
        }
    }

    /// Starts a round: a message to each other replica, with entries where it lacks some.
    pub(crate) fn start_round(&mut self) {
        let now = self.now;
        let heartbeat = self.config.heartbeat;
        if let Some(leadership) = self.leadership.as_mut() {
            leadership.rounds.start(now);
            leadership.heartbeat_at = now + heartbeat;
        }
        for peer in self.peers() {
            self.send_append(peer, true);
        }
        self.advance_rounds();
    }

    /// Sends entries to those that lack some.
    fn send_entries(&mut self) {
        for peer in self.peers() {
            self.send_append(peer, false);
        }
    }

    fn send_append(&mut self, peer: ids::ReplicaId, heartbeat: bool) {
        let batch = self.config.batch;
        let Some(leadership) = self.leadership.as_mut() else {
            return;
        };
        let round = leadership.rounds.current();
        let Some(progress) = leadership.peers.get_mut(&peer) else {
            return;
        };
        let waits = progress
            .snapshot_until
            .is_some_and(|until| self.now < until);
        if progress.next <= self.log.base_index() && !waits {
            progress.next = self.snapshot.index + 1;
            progress.snapshot_until = Some(self.now + self.config.election);
            let snapshot = self.snapshot.clone();
            let body = MessageBody::Snapshot { snapshot, round };
            return self.send(SyncNeed::HardState, peer, body);
        }
        let mut entries = Vec::new();
        let window = Self::WINDOW_BATCHES * batch as u64;
        if !waits && progress.next <= progress.matched + window.max(1) {
            entries = self.log.batch(progress.next, batch, Self::BATCH_BYTES);
        }
        if entries.is_empty() && !heartbeat {
            return;
        }
        let prev_index = if waits { 0 } else { progress.next - 1 };
        progress.next += entries.len() as u64;
        let body = MessageBody::Append {
            prev_index,
            prev_term: self.log.term_at(prev_index).unwrap_or_default(),
            entries,
            commit: self.commit,
            round,
        };
        self.send(SyncNeed::HardState, peer, body);
    }

    pub(crate) fn on_append_reply(&mut self, from: ids::ReplicaId, message: &Message) {
        let MessageBody::AppendReply {
            matched,
            index,
            round,
        } = message.body
        else {
            return;
        };
        if message.term > self.hard.term {
            return self.follow(message.term, None);
        }
        if message.term < self.hard.term || self.role != Role::Leader {
            return;
        }
        let now = self.now;
        let Some(leadership) = self.leadership.as_mut() else {
            return;
        };
        let current = leadership.rounds.current();
        let Some(progress) = leadership.peers.get_mut(&from) else {
            return;
        };
        progress.track(message.incarnation, message.member, current);
        progress.heard_at = Some(now);
        progress.round = progress.round.max(round);
        if matched {
            progress.advance(index);
        } else if progress.snapshot_until.is_none_or(|until| now >= until) {
            progress.go_back(index);
        }
        self.send_append(from, false);
        self.advance_rounds();
        self.advance_commit();
        self.admit(from, round);
        self.urge_transfer();
    }

    /// Returns whether the incarnation that last answered is admitted and knows it.
    pub(crate) fn is_counted(&self, peer: ids::ReplicaId, progress: &PeerProgress) -> bool {
        let blank_counts = self.fault == Some(PlantedFault::BlankVotes);
        let admitted = self.members.get(&peer).copied();
        let known = progress.incarnation.is_some();
        known && progress.member && (progress.incarnation == admitted || blank_counts)
    }

    /// Returns the highest value that a quorum has reached, this replica included.
    fn reached(&self, own: u64, value: impl Fn(&PeerProgress) -> u64) -> u64 {
        let mut values = vec![own];
        if let Some(leadership) = &self.leadership {
            let counted = leadership
                .peers
                .iter()
                .filter(|(peer, progress)| self.is_counted(**peer, progress))
                .map(|(_, progress)| value(progress));
            values.extend(counted);
        }
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Notes which round a quorum has answered.
    fn advance_rounds(&mut self) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let current = leadership.rounds.current();
        let round = self.reached(current, |progress| progress.round);
        if let Some(leadership) = self.leadership.as_mut() {
            leadership.rounds.confirm(round);
        }
        self.answer_reads();
    }

    /// Commits what a quorum has synced, from the present term on.
    pub(crate) fn advance_commit(&mut self) {
        let index = self.reached(self.writes.synced(), |progress| progress.matched);
        let own_term = self.log.term_at(index) == Some(self.hard.term)
            || self.fault == Some(PlantedFault::CommitEarlierTerm);
        if index > self.commit && own_term {
            self.commit_to(index);
            self.answer_reads();
        }
    }

    /// Answers the proposals that are applied.
    pub(crate) fn answer_applied(&mut self) {
        let applied = self.applied;
        let Some(leadership) = self.leadership.as_mut() else {
            return;
        };
        let mut answered = Vec::new();
        while let Some(proposal) = leadership.proposals.front().copied() {
            if proposal.index > applied {
                break;
            }
            answered.push(proposal);
            leadership.proposals.pop_front();
        }
        if self.fault == Some(PlantedFault::AnswerBeforeCommit) {
            return;
        }
        for OpenProposal { index, request } in answered {
            self.answer(request, AnswerOutcome::Committed { index });
        }
    }

    /// Proposes to admit a replica that lost its disk, once it has all that is committed.
    fn admit(&mut self, replica: ids::ReplicaId, round: u64) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let Some(progress) = leadership.peers.get(&replica) else {
            return;
        };
        let Some(incarnation) = progress.incarnation else {
            return;
        };
        let alive = round >= progress.since_round;
        let caught_up = progress.matched >= self.commit && self.commit >= leadership.first_index;
        let known = self.members.get(&replica) == Some(&incarnation);
        if known || !alive || !caught_up || self.is_admitting() {
            return;
        }
        let Some(payload) = self.admission(replica, incarnation) else {
            return;
        };
        self.append_own(payload);
        self.send_entries();
    }

    /// Returns the entry by which a replica that has caught up becomes a voter, where there is
    /// room for it.
    fn admission(
        &self,
        replica: ids::ReplicaId,
        incarnation: ids::Incarnation,
    ) -> Option<EntryPayload> {
        let room = self.members.len() < self.config.voters;
        if room || self.members.contains_key(&replica) {
            return Some(EntryPayload::Admit {
                replica,
                incarnation,
            });
        }
        let old = self.silent_voter()?;
        Some(EntryPayload::Replace {
            old,
            replica,
            incarnation,
        })
    }

    /// Returns a voter that hasn't answered this leader for long.
    fn silent_voter(&self) -> Option<ids::ReplicaId> {
        let leadership = self.leadership.as_ref()?;
        let limit = self.config.silence_limit;
        let heard_at = |voter: &ids::ReplicaId| {
            let progress = leadership.peers.get(voter);
            progress
                .and_then(|progress| progress.heard_at)
                .unwrap_or(leadership.since)
        };
        let others = self
            .members
            .keys()
            .filter(|voter| **voter != self.config.id);
        let oldest = others.min_by_key(|voter| heard_at(voter))?;
        (self.now >= heard_at(oldest) + limit).then_some(*oldest)
    }

    /// Returns whether an admission is in the log and not committed.
    fn is_admitting(&self) -> bool {
        let open = self.commit + 1..=self.log.last_index();
        open.filter_map(|index| self.log.get(index))
            .any(|entry| !entry.payload.admissions().is_empty())
    }
}
