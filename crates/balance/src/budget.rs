//! The bound on second attempts, kept by each entry host on its own.
//!
//! The bound holds for the sum over all entry hosts. Each host earns second attempts by its own
//! requests and holds its part of the slack at most, so the sum holds without any contact.

/// Share of the permitted ratio that is used; the rest is for requests that are counted late.
const RATIO_USED: f64 = 0.8;

/// Share of the slack that all hosts together may hold.
const SLACK_USED: f64 = 0.6;

/// Second attempts to one service that this host may still send. At first there is none: a host that
/// starts again must not have its part twice.
#[derive(Debug, Clone, Default)]
pub struct AttemptBudget {
    tokens: f64,
}

impl AttemptBudget {
    /// Earns a part of an attempt by a request.
    pub fn deposit(&mut self, ratio: f64, slack: f64, hosts: usize) {
        let most = (slack * SLACK_USED / hosts.max(1) as f64).max(1.0);
        self.tokens = (self.tokens + ratio * RATIO_USED).min(most);
    }

    /// Takes one attempt where it is there.
    pub fn try_withdraw(&mut self) -> bool {
        let there = self.tokens >= 1.0;
        if there {
            self.tokens -= 1.0;
        }
        there
    }
}
