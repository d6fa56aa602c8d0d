//! The retry budget, which each entry host keeps on its own.
//!
//! The limit applies to the sum over all entry hosts. Each host earns retries by its own requests
//! and holds at most its part of the slack, so the sum stays within the limit without any
//! communication between hosts.

/// Fraction of the permitted retry ratio that is used; the rest covers requests that are counted
/// late.
const RATIO_FRACTION: f64 = 0.8;

/// Fraction of the slack that all hosts together may hold.
const SLACK_FRACTION: f64 = 0.6;

/// Token bucket of the retries that this host may still send to one service.
///
/// The budget starts empty, so that a host that restarts doesn't get its part of the slack twice.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Adds the fraction of a retry that one request earns, up to this host's part of the slack.
    ///
    /// `ratio`, in retries per request, and `slack`, in retries, are the limits for all `hosts`
    /// together.
    pub fn deposit(&mut self, ratio: f64, slack: f64, hosts: usize) {
        let max_tokens = (slack * SLACK_FRACTION / hosts.max(1) as f64).max(1.0);
        self.tokens = (self.tokens + ratio * RATIO_FRACTION).min(max_tokens);
    }

    /// Withdraws one retry, and returns whether the budget held one.
    pub fn try_withdraw(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// Returns a withdrawn retry that wasn't sent.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }
}
