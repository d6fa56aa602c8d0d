//! Quotas of organisations, and the promise about them.

use std::time::Duration;

use xxhash_rust::xxh3;

/// Identifies an organisation in messages.
pub type OrganisationDigest = u64;

/// Time since the machine was started, which also counts while it is suspended.
pub type BootTime = Duration;

/// Returns the digest of an organisation's name.
pub fn digest(name: &str) -> OrganisationDigest {
    xxh3::xxh3_64(name.as_bytes())
}

/// Requests that an organisation may make at all entry hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests by which the rate may be exceeded at once.
    pub burst: f64,
}

/// The promise: in no window do more requests run than the quota allows and some in addition.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTerms {
    /// Length of the windows.
    pub window: Duration,
    /// Fraction by which the requests of a window may exceed what the quota allows.
    pub overage: f64,
    /// Requests in addition to that fraction.
    pub slack: f64,
}

impl QuotaTerms {
    /// Returns the most requests that may run in a window.
    pub fn bound(&self, limit: QuotaLimit) -> f64 {
        self.allowance(limit) + self.margin(limit)
    }

    /// Returns by how many requests a window may exceed what the quota allows.
    pub fn margin(&self, limit: QuotaLimit) -> f64 {
        self.allowance(limit) * self.overage + self.slack
    }

    fn allowance(&self, limit: QuotaLimit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }
}
