//! Replication on the side of the leader.

use crate::entry::{EntryPayload, LogEntry};
use crate::event::{AnswerOutcome, Role};
use crate::fault::InjectedFault;
use crate::ids;
use crate::leadership::PendingProposal;
use crate::machine::QuorumMachine;
use crate::message::{Message, MessageBody};
use crate::progress::PeerProgress;
use crate::writes::SyncRequirement;

impl QuorumMachine {
    /// Maximum bytes of commands in one message, except for a single larger command.
    const MAX_BATCH_BYTES: usize = 1 << 20;
    /// Maximum number of batches in flight to one peer.
    const MAX_BATCHES_IN_FLIGHT: u64 = 4;
    /// Bytes of commands in flight to one peer from which no further batch is sent.
    const MAX_BYTES_IN_FLIGHT: usize = 4 << 20;

    /// Appends a proposal to the log, or rejects it if this replica has no lease.
    pub(crate) fn propose(&mut self, request: ids::RequestId, command: Vec<u8>) {
        let leader = self.leader.filter(|leader| *leader != self.config.id);
        let may_propose = self.has_lease(self.now)
            || self.fault == Some(InjectedFault::ProposeWithoutLease) && self.leadership.is_some();
        if !may_propose {
            return self.answer(request, AnswerOutcome::NotLeader { leader });
        }
        let index = self.append_in_current_term(EntryPayload::Command(command));
        if let Some(leadership) = self.leadership.as_mut() {
            let proposal = PendingProposal { index, request };
            leadership.proposals.push_back(proposal);
        }
        if self.fault == Some(InjectedFault::AnswerBeforeCommit) {
            self.answer(request, AnswerOutcome::Committed { index });
        }
        self.send_entries();
    }

    /// Appends an entry in the current term and returns its index.
    fn append_in_current_term(&mut self, payload: EntryPayload) -> ids::LogIndex {
        let index = self.log.last_index() + 1;
        self.append(LogEntry {
            term: self.hard.term,
            index,
            payload,
        });
        index
    }

    /// Sends heartbeats when they are due. Steps down if no quorum answered within the election
    /// timeout, or if a leader transfer has timed out.
    pub(crate) fn tick_leader(&mut self) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let quorum_lost =
            self.now >= leadership.rounds.confirmed_at() + self.config.min_election_timeout;
        let transfer_expired = leadership
            .transfer
            .is_some_and(|transfer| self.now >= transfer.deadline);
        if quorum_lost || transfer_expired {
            return self.become_follower(self.hard.term, None);
        }
        if self.now >= leadership.next_heartbeat_at {
            self.start_round();
            self.send_transfer_request();
        }
    }

    /// Starts a heartbeat round: sends a message to every peer, with the entries that it lacks.
    pub(crate) fn start_round(&mut self) {
        let now = self.now;
        let heartbeat = self.config.heartbeat_interval;
        if let Some(leadership) = self.leadership.as_mut() {
            leadership.rounds.start(now);
            leadership.next_heartbeat_at = now + heartbeat;
        }
        for peer in self.peers() {
            self.send_append(peer, true);
        }
        self.advance_rounds();
    }

    /// Sends entries to the peers that lack some.
    fn send_entries(&mut self) {
        for peer in self.peers() {
            self.send_append(peer, false);
        }
    }

    fn send_append(&mut self, peer: ids::ReplicaId, heartbeat: bool) {
        let batch = self.config.max_batch_entries;
        let Some(leadership) = self.leadership.as_mut() else {
            return;
        };
        let round = leadership.rounds.current();
        let Some(progress) = leadership.peers.get_mut(&peer) else {
            return;
        };
        let snapshot_in_flight = progress
            .snapshot_deadline
            .is_some_and(|until| self.now < until);
        if progress.next_index <= self.log.base_index() && !snapshot_in_flight {
            progress.next_index = self.snapshot.index + 1;
            progress.snapshot_deadline = Some(self.now + self.config.min_election_timeout);
            let snapshot = self.snapshot.clone();
            let body = MessageBody::Snapshot { snapshot, round };
            return self.send(SyncRequirement::HardState, peer, body);
        }
        let mut entries = Vec::new();
        let window = Self::MAX_BATCHES_IN_FLIGHT * batch as u64;
        let in_flight = self.log.command_bytes(
            progress.match_index.max(self.log.base_index()),
            progress.next_index - 1,
            Self::MAX_BYTES_IN_FLIGHT,
        );
        let has_room = progress.next_index <= progress.match_index + window.max(1)
            && in_flight < Self::MAX_BYTES_IN_FLIGHT;
        if !snapshot_in_flight && has_room {
            entries = self
                .log
                .batch(progress.next_index, batch, Self::MAX_BATCH_BYTES);
        }
        if entries.is_empty() && !heartbeat {
            return;
        }
        let prev_index = if snapshot_in_flight {
            0
        } else {
            progress.next_index - 1
        };
        progress.next_index += entries.len() as u64;
        let body = MessageBody::Append {
            prev_index,
            prev_term: self.log.term_at(prev_index).unwrap_or_default(),
            entries,
            commit: self.commit,
            round,
        };
        self.send(SyncRequirement::HardState, peer, body);
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
            return self.become_follower(message.term, None);
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
        progress.track(message.incarnation, current);
        progress.record_voter(message.member, if matched { index } else { 0 });
        progress.last_contact = Some(now);
        progress.acked_round = progress.acked_round.max(round);
        if matched {
            progress.advance(index);
        } else if progress.snapshot_deadline.is_none_or(|until| now >= until) {
            progress.rewind(index);
        }
        self.send_append(from, false);
        self.advance_rounds();
        self.advance_commit();
        self.propose_admission(from, round);
        self.send_transfer_request();
    }

    /// Returns whether the peer's acknowledgements count toward a quorum: the incarnation that
    /// answered last is a voter by its own log and by the leader's, and one of both knows that its
    /// admission is committed.
    pub(crate) fn counts_toward_quorum(
        &self,
        peer: ids::ReplicaId,
        progress: &PeerProgress,
    ) -> bool {
        let (Some(incarnation), Some(voter_index)) = (progress.incarnation, progress.voter_index)
        else {
            return false;
        };
        let admission = self.voters.admission(peer, incarnation);
        admission
            .is_some_and(|admission| self.is_settled(admission) || voter_index >= admission.index)
            || self.fault == Some(InjectedFault::BlankVotes)
    }

    /// Returns the highest value that a quorum of voters has reached. `own` is this replica's value
    /// and `value` returns a peer's value.
    fn quorum_value(&self, own: u64, value: impl Fn(&PeerProgress) -> u64) -> u64 {
        let mut values = Vec::new();
        if self.is_voter() {
            values.push(own);
        }
        if let Some(leadership) = &self.leadership {
            let counted = leadership
                .peers
                .iter()
                .filter(|(peer, progress)| self.counts_toward_quorum(**peer, progress))
                .map(|(_, progress)| value(progress));
            values.extend(counted);
        }
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Updates the latest heartbeat round that a quorum answered.
    fn advance_rounds(&mut self) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let current = leadership.rounds.current();
        let round = self.quorum_value(current, |progress| progress.acked_round);
        if let Some(leadership) = self.leadership.as_mut() {
            leadership.rounds.confirm(round);
        }
        self.answer_reads();
    }

    /// Commits the entries that a quorum has synced, if the last of them is of the current term.
    pub(crate) fn advance_commit(&mut self) {
        let index = self.quorum_value(self.writes.synced(), |progress| progress.match_index);
        let own_term = self.log.term_at(index) == Some(self.hard.term)
            || self.fault == Some(InjectedFault::CommitEarlierTerm);
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
        if self.fault == Some(InjectedFault::AnswerBeforeCommit) {
            return;
        }
        for PendingProposal { index, request } in answered {
            self.answer(request, AnswerOutcome::Committed { index });
        }
    }

    /// Proposes to admit `replica` as a voter, once its current incarnation has all committed
    /// entries. `round` is the heartbeat round that the replica just answered.
    fn propose_admission(&mut self, replica: ids::ReplicaId, round: u64) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let Some(progress) = leadership.peers.get(&replica) else {
            return;
        };
        let Some(incarnation) = progress.incarnation else {
            return;
        };
        let is_running = round >= progress.first_valid_round;
        let caught_up =
            progress.match_index >= self.commit && self.commit >= leadership.first_index;
        let already_admitted = self.voters.admission(replica, incarnation).is_some();
        if already_admitted || !is_running || !caught_up || self.has_pending_admission() {
            return;
        }
        let Some(payload) = self.admission_payload(replica, incarnation) else {
            return;
        };
        self.append_in_current_term(payload);
        self.send_entries();
    }

    /// Returns the entry that makes a replica a voter, or `None` if there is no room for another
    /// voter.
    fn admission_payload(
        &self,
        replica: ids::ReplicaId,
        incarnation: ids::Incarnation,
    ) -> Option<EntryPayload> {
        let has_room = self.voters.len() < self.config.target_voters;
        if has_room || self.voters.contains(replica) {
            return Some(EntryPayload::Admit {
                replica,
                incarnation,
            });
        }
        let old = self.longest_silent_voter()?;
        Some(EntryPayload::Replace {
            old,
            replica,
            incarnation,
        })
    }

    /// Returns the voter that has been silent for longest, if that exceeds `silence_limit`.
    fn longest_silent_voter(&self) -> Option<ids::ReplicaId> {
        let leadership = self.leadership.as_ref()?;
        let limit = self.config.silence_limit;
        let last_contact = |voter: &ids::ReplicaId| {
            let progress = leadership.peers.get(voter);
            progress
                .and_then(|progress| progress.last_contact)
                .unwrap_or(leadership.elected_at)
        };
        let others = self.voters.ids().filter(|voter| *voter != self.config.id);
        let oldest = others.min_by_key(last_contact)?;
        (self.now >= last_contact(&oldest) + limit).then_some(oldest)
    }

    /// Returns whether the log holds an uncommitted admission; only one may be pending at a time.
    fn has_pending_admission(&self) -> bool {
        let open = self.commit + 1..=self.log.last_index();
        open.filter_map(|index| self.log.get(index))
            .any(|entry| entry.payload.is_membership())
    }
}
