//! Voters as of a replica's own log, and whether this replica is one of them.
//!
//! The latest membership entry of the log counts, committed or not. An admission counts toward a
//! quorum only once it is settled, that is, known to be committed: otherwise a new voter could help
//! to commit its own admission, and the former voters could still elect a leader without it.

use std::collections::BTreeMap;

use crate::entry::{EntryPayload, LogEntry, LogSnapshot};
use crate::event::Role;
use crate::fault::InjectedFault;
use crate::ids;
use crate::machine::QuorumMachine;

/// Admission of one voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct VoterAdmission {
    pub(crate) incarnation: ids::Incarnation,
    /// Index of the entry that admits the incarnation, or of the snapshot that contains it.
    pub(crate) index: ids::LogIndex,
}

/// Voters as of a log entry.
#[derive(Debug, Clone, Default)]
pub(crate) struct VoterSet {
    admissions: BTreeMap<ids::ReplicaId, VoterAdmission>,
}

impl VoterSet {
    /// Creates the voters as of a snapshot.
    pub(crate) fn of_snapshot(snapshot: &LogSnapshot) -> Self {
        let mut set = Self::default();
        for (replica, incarnation) in &snapshot.admitted {
            set.admit(*replica, *incarnation, snapshot.index);
        }
        set
    }

    /// Applies the membership change of the next entry, if it has one.
    pub(crate) fn apply(&mut self, entry: &LogEntry) {
        if let EntryPayload::Replace { old, .. } = &entry.payload {
            self.admissions.remove(old);
        }
        for (replica, incarnation) in entry.payload.admissions() {
            self.admit(replica, incarnation, entry.index);
        }
    }

    /// Admits an incarnation at `index`; an incarnation that is a voter already keeps its admission.
    fn admit(
        &mut self,
        replica: ids::ReplicaId,
        incarnation: ids::Incarnation,
        index: ids::LogIndex,
    ) {
        let admission = VoterAdmission { incarnation, index };
        let current = self.admissions.entry(replica).or_insert(admission);
        if current.incarnation != incarnation {
            *current = admission;
        }
    }

    /// Returns the admission of a voter's incarnation.
    pub(crate) fn admission(
        &self,
        replica: ids::ReplicaId,
        incarnation: ids::Incarnation,
    ) -> Option<VoterAdmission> {
        let admission = self.admissions.get(&replica).copied();
        admission.filter(|admission| admission.incarnation == incarnation)
    }

    /// Returns whether any incarnation of the replica is a voter.
    pub(crate) fn contains(&self, replica: ids::ReplicaId) -> bool {
        self.admissions.contains_key(&replica)
    }

    /// Returns the ids of the voters.
    pub(crate) fn ids(&self) -> impl Iterator<Item = ids::ReplicaId> + '_ {
        self.admissions.keys().copied()
    }

    /// Returns the voters with their incarnations.
    pub(crate) fn incarnations(&self) -> BTreeMap<ids::ReplicaId, ids::Incarnation> {
        let admissions = self.admissions.iter();
        admissions.map(|(id, a)| (*id, a.incarnation)).collect()
    }

    /// Returns the number of voters.
    pub(crate) fn len(&self) -> usize {
        self.admissions.len()
    }
}

impl QuorumMachine {
    /// Returns whether this replica is a voter: the voters as of the end of its own log contain its
    /// incarnation, and that admission is settled.
    pub(crate) fn is_voter(&self) -> bool {
        let admission = self.voters.admission(self.config.id, self.incarnation);
        admission.is_some_and(|admission| self.is_settled(admission))
            || self.fault == Some(InjectedFault::BlankVotes)
            || self.fault == Some(InjectedFault::ReplacedVotes) && self.is_bootstrap_voter()
    }

    /// Returns whether the bootstrap entry admits this replica's incarnation.
    fn is_bootstrap_voter(&self) -> bool {
        let own = (self.config.id, self.incarnation);
        let first = self.log.get(Self::FIRST_INDEX);
        first.is_some_and(|entry| entry.payload.admissions().contains(&own))
    }

    /// Returns whether this replica knows that an admission is committed.
    pub(crate) fn is_settled(&self, admission: VoterAdmission) -> bool {
        admission.index <= self.commit.max(self.hard.settled_membership)
    }

    /// Records that the membership entries up to `index` are committed.
    pub(crate) fn settle_membership(&mut self, index: ids::LogIndex) {
        if index > self.hard.settled_membership {
            self.hard.settled_membership = index;
            self.writes.mark_hard_state_changed();
        }
    }

    /// Computes the voters anew after entries were removed or a snapshot was installed.
    pub(crate) fn recompute_voters(&mut self) {
        self.voters = self.voters_at(self.log.last_index());
    }

    /// Returns the voters as of `index`, which must not be before the snapshot.
    pub(crate) fn voters_at(&self, index: ids::LogIndex) -> VoterSet {
        let mut voters = VoterSet::of_snapshot(&self.snapshot);
        for position in self.snapshot.index + 1..=index {
            if let Some(entry) = self.log.get(position) {
                voters.apply(entry);
            }
        }
        voters
    }

    /// Turns a learner that became a voter into a follower, and a replica that is no longer a voter
    /// into a learner.
    pub(crate) fn follow_membership(&mut self) {
        let is_voter = self.is_voter();
        match self.role {
            Role::Learner if is_voter => {
                self.role = Role::Follower;
                self.reset_election_timer();
            }
            Role::Follower | Role::PreCandidate | Role::Candidate | Role::Leader if !is_voter => {
                self.clear_leadership();
                self.role = Role::Learner;
            }
            _ => {}
        }
    }
}
