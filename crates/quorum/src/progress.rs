//! What a leader knows of one other replica.

use std::time::Instant;

use crate::ids;

/// How far a replica has got, under the incarnation that last answered.
#[derive(Debug, Clone)]
pub(crate) struct PeerProgress {
    /// Incarnation that last answered.
    pub(crate) incarnation: Option<ids::Incarnation>,
    /// Whether that incarnation knows that it is admitted.
    pub(crate) member: bool,
    /// Round from which on an answer shows that the incarnation is alive.
    pub(crate) since_round: u64,
    /// Last entry that it has synced.
    pub(crate) matched: ids::LogIndex,
    /// Next entry to send.
    pub(crate) next: ids::LogIndex,
    /// Latest round that it answered.
    pub(crate) round: u64,
    /// When it last answered this leader.
    pub(crate) heard_at: Option<Instant>,
    /// Until when a snapshot is taken to be on its way.
    pub(crate) snapshot_until: Option<Instant>,
}

impl PeerProgress {
    /// Creates the progress of a replica that hasn't answered yet.
    pub(crate) fn new(next: ids::LogIndex) -> Self {
        Self {
            incarnation: None,
            member: false,
            since_round: 0,
            matched: 0,
            next,
            round: 0,
            heard_at: None,
            snapshot_until: None,
        }
    }

    /// Starts anew where another incarnation answers.
    pub(crate) fn track(&mut self, incarnation: ids::Incarnation, member: bool, round: u64) {
        if self.incarnation != Some(incarnation) {
            *self = Self::new(self.next);
            self.incarnation = Some(incarnation);
            self.since_round = round + 1;
        }
        self.member = member;
    }

    /// Notes an answer that the replica has synced all up to an entry.
    pub(crate) fn advance(&mut self, index: ids::LogIndex) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        if index > 0 {
            self.snapshot_until = None;
        }
    }

    /// Goes back to the entry after the one that the replica named.
    pub(crate) fn go_back(&mut self, index: ids::LogIndex) {
        self.next = self.next.min(index + 1).max(self.matched + 1);
    }
}
