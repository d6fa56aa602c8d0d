//! Answer to a request for admission.

use std::time::Duration;

/// Whether a request is within the quota of its organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaDecision {
    /// The request may run.
    Admitted,
    /// The request is refused.
    Refused(QuotaRefusal),
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// The organisation asks for more than its quota, summed over all hosts.
    Rationed,
    /// The organisation suddenly asks for far more at this host than before.
    Surge,
    /// The host has not heard of the quotas recently and keeps to its part of them.
    Isolated,
}

impl std::fmt::Display for RefusalCause {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Rationed => "rationed",
            Self::Surge => "surge",
            Self::Isolated => "isolated",
        })
    }
}

/// Refusal of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaRefusal {
    /// Why the request was refused.
    pub cause: RefusalCause,
    /// Time after which the organisation is expected to have room for the request.
    pub retry_after: Duration,
    /// Quota of the organisation in requests a second.
    pub rate: f64,
    /// Requests a second that this host may admit of it.
    pub share: f64,
    /// Time since the host last heard of the quotas; `None` where it never did.
    pub heard_ago: Option<Duration>,
}
