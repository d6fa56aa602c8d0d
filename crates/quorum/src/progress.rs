//! Replication progress of one peer, as known to the leader.

use std::time::Instant;

use crate::ids;

/// Replication progress of a peer's incarnation that answered last.
#[derive(Debug, Clone)]
pub(crate) struct PeerProgress {
    /// Incarnation that answered last.
    pub(crate) incarnation: Option<ids::Incarnation>,
    /// Index of the last entry up to which that incarnation was a voter by its own log, if it is
    /// one.
    pub(crate) voter_index: Option<ids::LogIndex>,
    /// First heartbeat round that started after the incarnation was first seen. An answer to this
    /// or a later round proves that the incarnation is still running.
    pub(crate) first_valid_round: u64,
    /// Index of the last entry that the peer has synced.
    pub(crate) match_index: ids::LogIndex,
    /// Index of the next entry to send.
    pub(crate) next_index: ids::LogIndex,
    /// Latest heartbeat round that the peer answered.
    pub(crate) acked_round: u64,
    /// When the peer last answered this leader.
    pub(crate) last_contact: Option<Instant>,
    /// Time until which a sent snapshot is assumed to be in transit.
    pub(crate) snapshot_deadline: Option<Instant>,
}

impl PeerProgress {
    /// Creates the progress of a peer that hasn't answered yet.
    pub(crate) fn new(next_index: ids::LogIndex) -> Self {
        Self {
            incarnation: None,
            voter_index: None,
            first_valid_round: 0,
            match_index: 0,
            next_index,
            acked_round: 0,
            last_contact: None,
            snapshot_deadline: None,
        }
    }

    /// Records the peer's incarnation, and resets the progress if it changed. `round` is the current
    /// heartbeat round.
    pub(crate) fn track(&mut self, incarnation: ids::Incarnation, round: u64) {
        if self.incarnation != Some(incarnation) {
            *self = Self::new(self.next_index);
            self.incarnation = Some(incarnation);
            self.first_valid_round = round + 1;
        }
    }

    /// Records whether the peer is a voter by its own log, which agrees with the leader's log up to
    /// `index`.
    pub(crate) fn record_voter(&mut self, is_voter: bool, index: ids::LogIndex) {
        let known = self.voter_index.unwrap_or(0);
        self.voter_index = is_voter.then_some(known.max(index));
    }

    /// Records that the peer has synced all entries up to `index`.
    pub(crate) fn advance(&mut self, index: ids::LogIndex) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        if index > 0 {
            self.snapshot_deadline = None;
        }
    }

    /// Resumes sending after `index`, but not before an entry that the peer has synced.
    pub(crate) fn rewind(&mut self, index: ids::LogIndex) {
        self.next_index = self.next_index.min(index + 1).max(self.match_index + 1);
    }
}
