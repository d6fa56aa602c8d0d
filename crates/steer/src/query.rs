//! Inputs and results of routing decisions.

use std::time::Duration;

use guard::RequestClass;
use model::ids;
use model::outcome::RefusalReason;

use crate::plan::{PlacePermit, RoutePlan};

/// Properties of a request that affect its routing.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// Service that the request names.
    pub service: &'a str,
    /// Priority class of the request.
    pub class: RequestClass,
    /// Size of the request's body in bytes, as far as it is known.
    pub bytes_hint: u64,
}

/// Result of routing one request.
#[derive(Debug)]
pub enum RouteDecision {
    /// A place has capacity: the permit reserves it, and the plan holds the remaining places.
    Admit {
        /// Reserved capacity at the first place that has any.
        permit: PlacePermit,
        /// Remaining places, in order.
        plan: RoutePlan,
    },
    /// No place has capacity; the request is not run.
    Refuse(RouteRefusal),
}

/// Reason why no place may serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteRefusal {
    /// Reason for the caller and the metrics.
    pub reason: RefusalReason,
    /// Time until a place may have capacity again.
    pub retry_after: Duration,
}

/// Rate of requests that this host tries to send to a place, admitted or not.
#[derive(Debug, Clone, PartialEq)]
pub struct PlaceDemand {
    /// Service.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Requests a second.
    pub rate: f64,
}

/// A lease on a part of a place's cap, granted by the leading control replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareLease<'a> {
    /// Service.
    pub service: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// Requests a second, on top of the host's fixed share.
    pub rate: f64,
    /// Remaining time of the lease: its time to live minus the time since the request for it was
    /// sent.
    pub ttl: Duration,
    /// Revision from which the lease was computed.
    pub revision: ids::Revision,
}
