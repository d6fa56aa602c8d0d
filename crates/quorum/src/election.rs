//! Elections: pre-vote, votes, and the way into and out of the leadership.

use crate::entry::{EntryPayload, HardState, LogEntry};
use crate::event::{AnswerOutcome, Role};
use crate::fault::PlantedFault;
use crate::ids;
use crate::leadership::Leadership;
use crate::machine::QuorumMachine;
use crate::message::{Message, MessageBody};
use crate::writes::SyncNeed;

impl QuorumMachine {
    /// Asks whether this replica would be elected, once no leader was heard for long enough.
    pub(crate) fn tick_election(&mut self) {
        if self.now < self.election_at {
            return;
        }
        // One that led before its start goes on asking until the others are up too.
        if self.heard_at.is_none() && self.hard.leader == Some(self.config.id) {
            self.arm_election_soon();
        } else {
            self.arm_election();
        }
        self.leader = None;
        if !self.is_member() || self.is_blank() || self.stopping {
            return;
        }
        self.role = Role::PreCandidate;
        self.votes.clear();
        self.votes.insert(self.config.id);
        self.ask_votes(true, false);
        self.count_votes();
    }

    /// Stands for election in a new term.
    fn campaign(&mut self, handed_over: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.hard.term += 1;
        self.cast_vote(self.config.id);
        self.arm_election();
        self.votes.clear();
        self.votes.insert(self.config.id);
        self.ask_votes(false, handed_over);
    }

    fn ask_votes(&mut self, pre: bool, handed_over: bool) {
        let term = self.hard.term + u64::from(pre);
        let body = MessageBody::VoteRequest {
            pre,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            handed_over,
        };
        for peer in self.peers() {
            self.send_in(term, SyncNeed::HardState, peer, body.clone());
        }
    }

    /// Goes on once a quorum has given its votes, this replica's own synced.
    pub(crate) fn count_votes(&mut self) {
        if self.votes.len() < self.quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(false),
            Role::Candidate if self.writes.is_hard_synced() => self.lead(),
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
        if !self.is_member() || !message.member {
            return;
        }
        let complete = (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        self.note_former_leader(from, message.term, complete);
        let leased = self.heard_leader() && !handed_over;
        if !pre && message.term > self.hard.term {
            if leased {
                return;
            }
            self.follow(message.term, None);
        }
        let current = if pre {
            message.term > self.hard.term && !leased
        } else {
            message.term == self.hard.term && self.hard.vote.is_none_or(|vote| vote == from)
        };
        let granted = current && complete;
        if granted && !pre {
            self.vote_for(from);
        }
        let term = if granted {
            message.term
        } else {
            self.hard.term
        };
        let hasty = self.fault == Some(PlantedFault::VoteBeforeSync);
        let need = if hasty {
            SyncNeed::Nothing
        } else {
            SyncNeed::HardState
        };
        self.send_in(term, need, from, MessageBody::VoteReply { pre, granted });
    }

    /// Notes that the lease which rests on this replica is over, where its own leader asks for
    /// votes in a later term: it leads that term never again. Where its log lacks entries another
    /// is to stand.
    fn note_former_leader(&mut self, from: ids::ReplicaId, term: ids::Term, complete: bool) {
        let hasty = self.fault == Some(PlantedFault::LeaseEndedByAnyone);
        let former = self.hard.leader == Some(from) || hasty;
        if !former || term <= self.hard.term || self.leadership.is_some() {
            return;
        }
        if self.heard_at.take().is_some() && !complete {
            self.arm_election_soon();
        }
    }

    fn vote_for(&mut self, candidate: ids::ReplicaId) {
        if self.hard.vote.is_none() {
            self.cast_vote(candidate);
        }
        self.arm_election();
    }

    fn cast_vote(&mut self, candidate: ids::ReplicaId) {
        self.hard.vote = Some(candidate);
        self.hard.leader = Some(candidate);
        self.writes.change_hard();
    }

    /// Returns whether a leader was heard so recently that no other may be elected.
    fn heard_leader(&self) -> bool {
        let heard_at = match &self.leadership {
            Some(leadership) => Some(leadership.rounds.confirmed_at()),
            None => self.heard_at,
        };
        heard_at.is_some_and(|heard_at| self.now < heard_at + self.config.election)
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
                self.follow(message.term, None);
            }
            return;
        }
        let role = if pre {
            Role::PreCandidate
        } else {
            Role::Candidate
        };
        let asked = self.hard.term + u64::from(pre);
        if self.role != role || message.term != asked || !self.counts(from, message) {
            return;
        }
        self.votes.insert(from);
        self.count_votes();
    }

    /// Returns whether the sender votes and acknowledges as an admitted incarnation.
    fn counts(&self, from: ids::ReplicaId, message: &Message) -> bool {
        let admitted = self.members.get(&from) == Some(&message.incarnation);
        let blank_counts = self.fault == Some(PlantedFault::BlankVotes);
        message.member && (admitted || blank_counts)
    }

    /// Takes the lead of the term.
    fn lead(&mut self) {
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

    /// Follows a term, and its leader where it is known.
    pub(crate) fn follow(&mut self, term: ids::Term, leader: Option<ids::ReplicaId>) {
        if term > self.hard.term {
            let member = self.hard.member;
            self.hard = HardState {
                term,
                vote: None,
                leader: None,
                member,
            };
            self.writes.change_hard();
        }
        self.leader = leader;
        let was_follower = matches!(self.role, Role::Learner | Role::Follower);
        self.role = if self.is_member() {
            Role::Follower
        } else {
            Role::Learner
        };
        if !was_follower {
            self.arm_election();
        }
        self.end_leadership();
    }

    /// Answers all that a leader still owes.
    pub(crate) fn end_leadership(&mut self) {
        let Some(mut leadership) = self.leadership.take() else {
            return;
        };
        for proposal in leadership.proposals {
            self.answer(proposal.request, AnswerOutcome::Unknown);
        }
        let leader = self.leader.filter(|leader| *leader != self.config.id);
        for request in leadership.reads.take_all() {
            self.answer(request, AnswerOutcome::NotLeader { leader });
        }
    }

    /// Stands for election at once where the leader of the term asked for it.
    pub(crate) fn on_hand_over(&mut self, from: ids::ReplicaId, term: ids::Term) {
        let asked = term == self.hard.term && self.leader == Some(from);
        if asked && self.role == Role::Follower && !self.stopping {
            self.campaign(true);
            self.count_votes();
        }
    }
}
