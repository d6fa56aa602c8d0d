//! Heartbeat rounds, by which a leader knows that a quorum still follows it.

use std::collections::VecDeque;
use std::time::Instant;

/// Numbers the heartbeat rounds of a leader and records when each was started.
#[derive(Debug)]
pub(crate) struct HeartbeatRounds {
    current: u64,
    confirmed: u64,
    confirmed_at: Instant,
    unconfirmed: VecDeque<(u64, Instant)>,
}

impl HeartbeatRounds {
    /// Creates the state before the first round. The leader's check for a quorum counts from `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            current: 0,
            confirmed: 0,
            confirmed_at: now,
            unconfirmed: VecDeque::new(),
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

    /// Returns when the latest confirmed round was started.
    pub(crate) fn confirmed_at(&self) -> Instant {
        self.confirmed_at
    }

    /// Starts a round.
    pub(crate) fn start(&mut self, now: Instant) {
        self.current += 1;
        self.unconfirmed.push_back((self.current, now));
    }

    /// Records that a quorum answered all rounds up to `round`.
    pub(crate) fn confirm(&mut self, round: u64) {
        while let Some((first, started_at)) = self.unconfirmed.front().copied() {
            if first > round {
                return;
            }
            self.confirmed = first;
            self.confirmed_at = started_at;
            self.unconfirmed.pop_front();
        }
    }
}
