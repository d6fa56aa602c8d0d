//! What is asked of the table and what is decided.

use std::time::Duration;

use guard::RequestClass;
use model::ids;
use model::outcome::RefusalReason;

use crate::plan::{PlacePermit, RoutePlan};

/// What is asked for one request.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// Service that the request names.
    pub service: &'a str,
    /// Priority class of the request.
    pub class: RequestClass,
    /// Bytes of the request's body as far as they are known.
    pub bytes_hint: u64,
}

/// What is decided for one request.
#[derive(Debug)]
pub enum RouteDecision {
    /// A place has room: the permit holds it, the plan gives further places.
    Go {
        /// Room at the first place that has it.
        permit: PlacePermit,
        /// Further places, in order.
        plan: RoutePlan,
    },
    /// No place has room; the request is not run.
    Refuse(RouteRefusal),
}

/// Why no place may take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteRefusal {
    /// Reason.
    pub reason: RefusalReason,
    /// Time until a place may have room again.
    pub retry_after: Duration,
}

/// Rate of requests that this host would send to a place.
#[derive(Debug, Clone, PartialEq)]
pub struct PlaceDemand {
    /// Service.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Requests a second.
    pub rate: f64,
}

/// A lease of the leading control replica on a part of a place's cap.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareGrant<'a> {
    /// Service.
    pub service: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// Requests a second, above the host's floor.
    pub rate: f64,
    /// Time for which the lease holds from now on: its time to live less the time since the
    /// request for it was sent.
    pub ttl: Duration,
    /// Revision from which the lease was computed.
    pub revision: ids::Revision,
}
