//! Leader election: pre-vote, votes, and the start and end of a leadership.

use std::collections::{BTreeMap, BTreeSet};

use crate::entry::{EntryPayload, HardState, LogEntry};
use crate::event::{AnswerOutcome, Role};
use crate::fault::InjectedFault;
use crate::ids;
use crate::leadership::Leadership;
use crate::machine::QuorumMachine;
use crate::message::{Message, MessageBody};
use crate::writes::SyncRequirement;

impl QuorumMachine {
    /// Starts a pre-vote when the election timeout has expired.
    pub(crate) fn tick_election(&mut self) {
        if self.now < self.election_deadline {
            return;
        }
        self.reset_election_timer();
        self.leader = None;
        if !self.is_voter() || self.is_blank() || self.stopping {
            return;
        }
        self.role = Role::PreCandidate;
        self.votes = self.own_vote();
        self.request_votes(true, false);
        self.check_votes();
    }

    /// Starts an election in a new term. `handed_over` states that the current leader asked for it.
    fn campaign(&mut self, handed_over: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.hard.term += 1;
        self.record_vote(self.config.id);
        self.reset_election_timer();
        self.votes = self.own_vote();
        self.request_votes(false, handed_over);
    }

    fn own_vote(&self) -> BTreeMap<ids::ReplicaId, ids::Incarnation> {
        BTreeMap::from([(self.config.id, self.incarnation)])
    }

    fn request_votes(&mut self, pre: bool, handed_over: bool) {
        let term = self.hard.term + u64::from(pre);
        let body = MessageBody::VoteRequest {
            pre,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            handed_over,
        };
        for peer in self.vote_targets() {
            self.send_in(term, SyncRequirement::HardState, peer, body.clone());
        }
    }

    /// Returns the replicas that get vote requests: the peers, and the voters that others reported. A
    /// leader that this replica's log doesn't know thereby learns of this replica.
    fn vote_targets(&self) -> BTreeSet<ids::ReplicaId> {
        let mut targets: BTreeSet<_> = self.peers().into_iter().collect();
        targets.extend(self.bootstrap.discovered_voters());
        targets.remove(&self.config.id);
        targets
    }

    /// Moves from pre-vote to election, or from election to leadership, once a quorum granted its
    /// votes. A candidate's own vote must be synced first.
    pub(crate) fn check_votes(&mut self) {
        let votes = self.votes.iter();
        let counted = votes.filter(|(id, incarnation)| self.counts_vote(**id, **incarnation));
        if counted.count() < self.quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(false),
            Role::Candidate if self.writes.is_hard_state_synced() => self.become_leader(),
            _ => {}
        }
    }

    pub(crate) fn on_vote_request(&mut self, from: ids::ReplicaId, message: &Message) {
        let MessageBody::VoteRequest {
            pre,
            last_index,
            last_term,
            handed_over,
        } = message.body
        else {
            return;
        };
        if !self.is_voter() || !message.member {
            return;
        }
        if self.hard.settled_membership > Self::FIRST_INDEX {
            self.send_settled(from);
        }
        self.send_members(from);
        let up_to_date = (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        self.release_former_lease(from, message.term, up_to_date);
        let lease_protected = self.has_recent_leader_contact() && !handed_over;
        if !pre && message.term > self.hard.term {
            if lease_protected {
                return;
            }
            self.become_follower(message.term, None);
        }
        let eligible = if pre {
            message.term > self.hard.term && !lease_protected
        } else {
            message.term == self.hard.term && self.hard.vote.is_none_or(|vote| vote == from)
        };
        let granted = eligible && up_to_date;
        if granted && !pre {
            self.grant_vote(from);
        }
        let term = if granted {
            message.term
        } else {
            self.hard.term
        };
        let skips_sync = self.fault == Some(InjectedFault::VoteBeforeSync);
        let requirement = if skips_sync {
            SyncRequirement::Nothing
        } else {
            SyncRequirement::HardState
        };
        self.send_in(
            term,
            requirement,
            from,
            MessageBody::VoteReply { pre, granted },
        );
    }

    /// Drops the lease that this replica granted to its leader when that leader asks for votes in a
    /// later term: it will not lead the old term again. If the leader's log is behind this
    /// replica's log, this replica starts an election soon, as it can't grant the vote.
    fn release_former_lease(&mut self, from: ids::ReplicaId, term: ids::Term, up_to_date: bool) {
        let by_anyone = self.fault == Some(InjectedFault::LeaseEndedByAnyone);
        let former = self.hard.leader == Some(from) || by_anyone;
        if !former || term <= self.hard.term || self.leadership.is_some() {
            return;
        }
        if self.last_leader_contact.take().is_some() && !up_to_date {
            self.reset_election_timer_soon();
        }
    }

    fn grant_vote(&mut self, candidate: ids::ReplicaId) {
        if self.hard.vote.is_none() {
            self.record_vote(candidate);
        }
        self.reset_election_timer();
    }

    fn record_vote(&mut self, candidate: ids::ReplicaId) {
        self.hard.vote = Some(candidate);
        self.hard.leader = Some(candidate);
        self.writes.mark_hard_state_changed();
    }

    /// Returns whether a message from a leader, or on the leader the answers of a quorum, arrived
    /// within the minimum election timeout. If so, this replica must not help to elect another
    /// leader.
    fn has_recent_leader_contact(&self) -> bool {
        let last_contact = match &self.leadership {
            Some(leadership) => Some(leadership.rounds.confirmed_at()),
            None => self.last_leader_contact,
        };
        last_contact.is_some_and(|time| self.now < time + self.config.min_election_timeout)
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        from: ids::ReplicaId,
        message: &Message,
        pre: bool,
        granted: bool,
    ) {
        if !granted {
            if message.term > self.hard.term {
                self.become_follower(message.term, None);
            }
            return;
        }
        let role = if pre {
            Role::PreCandidate
        } else {
            Role::Candidate
        };
        let requested_term = self.hard.term + u64::from(pre);
        if self.role != role || message.term != requested_term || !message.member {
            return;
        }
        self.votes.insert(from, message.incarnation);
        self.check_votes();
    }

    /// Returns whether the vote of an incarnation counts: the voters by this replica's own log
    /// contain it, and its admission is settled.
    fn counts_vote(&self, replica: ids::ReplicaId, incarnation: ids::Incarnation) -> bool {
        if replica == self.config.id {
            return self.is_voter();
        }
        let admission = self.voters.admission(replica, incarnation);
        admission.is_some_and(|admission| self.is_settled(admission))
            || self.fault == Some(InjectedFault::BlankVotes)
    }

    /// Becomes the leader of the current term.
    fn become_leader(&mut self) {
        let first_index = self.log.last_index() + 1;
        let peers = self.peers();
        self.role = Role::Leader;
        self.leader = Some(self.config.id);
        self.leadership = Some(Leadership::new(self.now, &peers, first_index));
        self.append(LogEntry {
            term: self.hard.term,
            index: first_index,
            payload: EntryPayload::Empty,
        });
        self.start_round();
    }

    /// Becomes a follower, or a learner if not a voter, in `term` and under `leader` if it is
    /// known.
    pub(crate) fn become_follower(&mut self, term: ids::Term, leader: Option<ids::ReplicaId>) {
        if term > self.hard.term {
            let settled_membership = self.hard.settled_membership;
            self.hard = HardState {
                term,
                vote: None,
                leader: None,
                settled_membership,
            };
            self.writes.mark_hard_state_changed();
        }
        self.leader = leader;
        let was_follower = matches!(self.role, Role::Learner | Role::Follower);
        self.role = if self.is_voter() {
            Role::Follower
        } else {
            Role::Learner
        };
        if !was_follower {
            self.reset_election_timer();
        }
        self.clear_leadership();
    }

    /// Discards the leader state and answers its pending proposals and reads.
    pub(crate) fn clear_leadership(&mut self) {
        let Some(mut leadership) = self.leadership.take() else {
            return;
        };
        for proposal in leadership.proposals {
            self.answer(proposal.request, AnswerOutcome::Unknown);
        }
        let leader = self.leader.filter(|leader| *leader != self.config.id);
        for request in leadership.reads.drain_all() {
            self.answer(request, AnswerOutcome::NotLeader { leader });
        }
    }

    /// Starts an election at once if the leader of the current term transfers its leadership to
    /// this replica.
    pub(crate) fn on_transfer_request(&mut self, from: ids::ReplicaId, term: ids::Term) {
        let asked = term == self.hard.term && self.leader == Some(from);
        if asked && self.role == Role::Follower && !self.stopping {
            self.campaign(true);
            self.check_votes();
        }
    }
}
