//! Reports of a backend server, and outcomes of attempts at it.

use std::time::{Duration, Instant};

/// Answer of a backend server's health endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthReport {
    /// Time to which the report applies, which is earlier than its arrival.
    pub at: Instant,
    /// Whether the server reports that it is healthy.
    pub healthy: bool,
}

/// Answer of a backend server's load endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Time to which the report applies, which is earlier than its arrival.
    pub at: Instant,
    /// Ratio of in-flight and queued requests to slots; above 1 if requests are queued.
    pub utilisation: f64,
}

/// Outcome of one attempt at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendOutcome {
    /// The server answered completely.
    Answered {
        /// Time from the start of the attempt to the end of the answer.
        latency: Duration,
    },
    /// The server shed the request in the documented form, without running it.
    Shed {
        /// Time after which the server accepts requests again, if the answer says so.
        retry_after: Option<Duration>,
    },
    /// The server gave no complete answer in time.
    TimedOut,
    /// The connection to the server could not be established.
    ConnectFailed,
    /// The connection broke, or the answer was incomplete or malformed.
    Broken,
}
