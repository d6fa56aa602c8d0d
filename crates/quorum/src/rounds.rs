//! Rounds of heartbeats, by which a leader knows that a quorum still follows it.

use std::collections::VecDeque;
use std::time::Instant;

/// Numbers the rounds of a leader and remembers when each was sent.
#[derive(Debug)]
pub(crate) struct RoundBook {
    current: u64,
    confirmed: u64,
    confirmed_at: Instant,
    open: VecDeque<(u64, Instant)>,
}

impl RoundBook {
    /// Creates a book without rounds; check-quorum counts from `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            current: 0,
            confirmed: 0,
            confirmed_at: now,
            open: VecDeque::new(),
        }
    }

    /// Returns the latest round.
    pub(crate) fn current(&self) -> u64 {
        self.current
    }

    /// Returns the latest round that a quorum answered; 0 before the first.
    pub(crate) fn confirmed(&self) -> u64 {
        self.confirmed
    }

    /// Returns when the latest confirmed round was sent.
    pub(crate) fn confirmed_at(&self) -> Instant {
        self.confirmed_at
    }

    /// Starts a round.
    pub(crate) fn start(&mut self, now: Instant) {
        self.current += 1;
        self.open.push_back((self.current, now));
    }

    /// Notes that a quorum answered a round.
    pub(crate) fn confirm(&mut self, round: u64) {
        while let Some((open, sent_at)) = self.open.front().copied() {
            if open > round {
                return;
            }
            self.confirmed = open;
            self.confirmed_at = sent_at;
            self.open.pop_front();
        }
    }
}
