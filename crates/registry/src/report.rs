//! What is reported of a backend server and what its attempts tell.

use std::time::{Duration, Instant};

/// Answer of a backend server's health endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthReport {
    /// Moment to which the report applies, not the one at which it arrived.
    pub at: Instant,
    /// Whether the server says that it is healthy.
    pub healthy: bool,
}

/// Answer of a backend server's load endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Moment to which the report applies, not the one at which it arrived.
    pub at: Instant,
    /// Part of its slots in use, from 0 to 1; more where requests queue.
    pub utilisation: f64,
}

/// How one attempt at a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendOutcome {
    /// It answered wholly.
    Answered {
        /// Time from sending to the whole answer.
        latency: Duration,
    },
    /// It refused in the documented form, without having run the request.
    Shed {
        /// Time after which it wants to be asked again, if it said so.
        retry_after: Option<Duration>,
    },
    /// It gave no whole answer in time.
    TimedOut,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke, or the answer was cut or malformed.
    Broken,
}
