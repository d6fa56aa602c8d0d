//! Limits and timeouts of the request path.

use std::time::Duration;

/// Limits and timeouts of the request path.
#[derive(Debug, Clone)]
pub struct ForwardSettings {
    /// Maximum number of open connections of callers.
    pub max_connections: usize,
    /// Maximum number of concurrent runs under an idempotency key, including those whose caller
    /// disconnected.
    pub max_claimed_runs: usize,
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of headers of a request or response.
    pub max_headers: usize,
    /// Time in which a complete request head must arrive. It also limits how long a connection of
    /// a caller stays idle.
    pub head_timeout: Duration,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Size in bytes up to which a request body is read in full before it is forwarded, and up to
    /// which a response body is read in full before it is returned. Longer bodies are streamed.
    pub max_buffered_body_bytes: usize,
    /// Maximum number of bytes that all buffered request bodies occupy together.
    pub max_buffered_bytes: u64,
    /// Maximum size in bytes of a response body that is kept under an idempotency key.
    pub max_kept_answer_bytes: usize,
    /// Time to the deadline of a request that has no deadline header.
    pub default_deadline: Duration,
    /// Longest time to the deadline of a request; a later deadline is shortened to it.
    pub max_deadline: Duration,
    /// Timeout for opening a connection to a backend server.
    pub connect_timeout: Duration,
    /// Longest time that a connection to a backend server stays open without a request.
    pub max_idle: Duration,
    /// Longest idle time of a connection on which a non-idempotent request is sent. It is short
    /// because a write on a connection that the backend server closes may or may not have run.
    pub max_idle_non_idempotent: Duration,
    /// Maximum number of connections to one backend server.
    pub max_backend_connections: usize,
    /// Time without a response after which an idempotent request is hedged, used while no latency
    /// of the backend server is known.
    pub default_hedge_delay: Duration,
    /// Maximum number of attempts of one request, not counting hedges.
    pub max_attempts: usize,
}

impl Default for ForwardSettings {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_claimed_runs: 4096,
            max_head_bytes: 16 << 10,
            max_headers: 64,
            head_timeout: Duration::from_secs(30),
            max_body_bytes: 64 << 20,
            max_buffered_body_bytes: 256 << 10,
            max_buffered_bytes: 64 << 20,
            max_kept_answer_bytes: 64 << 10,
            default_deadline: Duration::from_secs(15),
            max_deadline: Duration::from_secs(120),
            connect_timeout: Duration::from_secs(1),
            max_idle: Duration::from_secs(20),
            max_idle_non_idempotent: Duration::from_millis(100),
            max_backend_connections: 32,
            default_hedge_delay: Duration::from_millis(250),
            max_attempts: 3,
        }
    }
}
