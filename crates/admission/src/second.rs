//! Attempts after the first one of a request, which give way to first attempts.

use std::time::Duration;

/// Utilisation of a region from which it gets no hedges.
const MAX_HEDGE_UTILISATION: f64 = 0.8;

/// Utilisation of a region from which it gets no retries of requests that may have run.
const MAX_RETRY_UTILISATION: f64 = 0.95;

/// An attempt after the first one of a request. One after a rejection is no second attempt, as no server
/// has worked on the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SecondAttempt {
    /// An attempt after one that failed.
    Retry,
    /// An attempt beside one that is late.
    Hedge {
        /// Time for which a server has probably worked on the request.
        running_for: Duration,
    },
}

/// Where a second attempt would run, and how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SecondRoom {
    /// Load of the region as a fraction of its slots; first attempts are refused above 1.
    pub utilisation: f64,
    /// Expected latency of the second attempt.
    pub expected: Duration,
    /// Time that a slow run at a server without the request's object takes.
    pub slow_run: Duration,
}

impl SecondAttempt {
    /// Returns whether the attempt may be sent: there is room beside first attempts, and a hedge is
    /// expected to end before the run beside it, if that is only slow.
    pub fn is_permitted(self, room: &SecondRoom) -> bool {
        match self {
            Self::Retry => room.utilisation < MAX_RETRY_UTILISATION,
            Self::Hedge { running_for } => {
                let left = room.slow_run.checked_sub(running_for);
                let is_sooner = left.is_none_or(|left| room.expected < left);
                room.utilisation < MAX_HEDGE_UTILISATION && is_sooner
            }
        }
    }
}
