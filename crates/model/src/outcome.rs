//! What became of a caller's request, and the headers that say it.

use strum::{Display, EnumString, IntoStaticStr};

/// Header that names the outcome of a refused or failed request.
pub const OUTCOME_HEADER: &str = "wisteria-outcome";

/// Header that names the reason of a refusal or failure, a [`RefusalReason`].
pub const REASON_HEADER: &str = "wisteria-reason";

/// Header with the time that a request may still take, in milliseconds.
pub const DEADLINE_HEADER: &str = "wisteria-deadline-ms";

/// Header that a caller sets on a request that must run at most once.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header that identifies one request; the answer repeats it.
pub const REQUEST_ID_HEADER: &str = "request-id";

/// Header by which a backend server says that it did not run a request: value `not-run`, with
/// status 503. Only this form counts as not run.
pub const SHED_HEADER: &str = "wisteria-shed";

/// What is known of a request that got no answer from a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestOutcome {
    /// No backend server ran it; it is safe to send again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Why a request was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// The entry host has no confirmed state, or is cut off.
    NotReady,
    /// The entry host is stopping.
    Stopping,
    /// No such service is in force.
    UnknownService,
    /// No backend server of the service is available.
    NoBackend,
    /// Every place that could take it is at its cap.
    CapReached,
    /// The region or link that it would use has no room.
    NoHeadroom,
    /// Backend servers are at their limits.
    Overloaded,
    /// It can't be answered before its deadline.
    DeadlineExceeded,
    /// The same idempotency key is running now.
    KeyInProgress,
    /// The same idempotency key was used for another request, or its answer is not known.
    KeyUsed,
    /// Too few keepers of idempotency keys are in reach.
    KeyUnconfirmed,
    /// The request is malformed.
    BadRequest,
    /// The backend server's answer was cut, malformed or never came.
    BackendFailed,
}
