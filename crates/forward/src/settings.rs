//! Bounds and times of the request path.

use std::time::Duration;

/// Bounds and times of the request path.
#[derive(Debug, Clone)]
pub struct ForwardSettings {
    /// Most connections of callers at once.
    pub max_connections: usize,
    /// Most runs under an idempotency key at once, also those whose caller left.
    pub max_claimed_runs: usize,
    /// Most bytes of a request's head.
    pub max_head_bytes: usize,
    /// Most headers of a request or an answer.
    pub max_headers: usize,
    /// Longest wait for a whole request head, which also ends idle connections of callers.
    pub head_timeout: Duration,
    /// Most bytes of a request's body.
    pub max_body_bytes: u64,
    /// Bodies up to this many bytes are held whole before they are passed on.
    pub hold_bytes: usize,
    /// Most bytes of request bodies that are held at once.
    pub max_held_bytes: u64,
    /// Most bytes of an answer that is kept under an idempotency key.
    pub kept_answer_bytes: usize,
    /// Time that a request may take when its caller names none.
    pub default_deadline: Duration,
    /// Longest time that a request may take.
    pub max_deadline: Duration,
    /// Longest wait for a new connection to a backend server.
    pub connect_timeout: Duration,
    /// Longest time that a connection to a backend server stays open without a request.
    pub idle_limit: Duration,
    /// Non-idempotent work uses an open connection only this long after its last answer.
    pub fresh_limit: Duration,
    /// Most connections to one backend server.
    pub max_backend_connections: usize,
    /// Time without an answer after which an idempotent request is hedged.
    pub hedge_delay: Duration,
    /// Most attempts of one request.
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
            hold_bytes: 256 << 10,
            max_held_bytes: 64 << 20,
            kept_answer_bytes: 64 << 10,
            default_deadline: Duration::from_secs(15),
            max_deadline: Duration::from_secs(120),
            connect_timeout: Duration::from_secs(1),
            idle_limit: Duration::from_secs(20),
            fresh_limit: Duration::from_millis(100),
            max_backend_connections: 32,
            hedge_delay: Duration::from_millis(250),
            max_attempts: 3,
        }
    }
}
