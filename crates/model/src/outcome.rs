//! Outcomes and refusal reasons of callers' requests, and the HTTP headers that carry them.

use strum::{Display, EnumString, IntoStaticStr};

/// Response header with the outcome of a refused or failed request, a [`RequestOutcome`].
pub const OUTCOME_HEADER: &str = "wisteria-outcome";

/// Response header with the reason of a refusal or failure, a [`RefusalReason`].
pub const REASON_HEADER: &str = "wisteria-reason";

/// Request header with the time left until the request's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "wisteria-deadline-ms";

/// Request header with the idempotency key of a request that must run at most once.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header with the id of a request; the response repeats it.
pub const REQUEST_ID_HEADER: &str = "request-id";

/// Response header of a backend server that shed a request without running it.
///
/// Only the value `not-run` together with status 503 counts as not run.
pub const SHED_HEADER: &str = "wisteria-shed";

/// Whether a request without a response from a backend server may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestOutcome {
    /// No backend server ran the request; a retry is safe.
    NotRun,
    /// A backend server may have run the request.
    Unknown,
}

/// Why a request was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// The entry host has no confirmed state, or reaches neither the control replicas nor most
    /// entry hosts.
    NotReady,
    /// The entry host is stopping.
    Stopping,
    /// The state in force has no such service.
    UnknownService,
    /// No backend server of the service is available.
    NoBackend,
    /// Every place that could serve the request is at its cap.
    CapReached,
    /// The regions or links that the request would use have no spare capacity.
    NoHeadroom,
    /// The backend servers or the entry host are at their limits.
    Overloaded,
    /// The request can't be answered before its deadline.
    DeadlineExceeded,
    /// A request with the same idempotency key is in progress.
    KeyInProgress,
    /// The idempotency key was used for a different request, or the response to its first use is
    /// unknown.
    KeyUsed,
    /// Too few keepers of idempotency keys are reachable to claim the key.
    KeyUnconfirmed,
    /// The request is malformed.
    BadRequest,
    /// The backend server's response was truncated, malformed or missing.
    BackendFailed,
}
