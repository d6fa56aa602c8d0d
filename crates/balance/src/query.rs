//! Inputs and results of the balancer.

use std::time::Duration;

use admission::rank::Rank;
use admission::second::SecondAttempt;
use fleet::ids;
use fleet::server::ServerRecord;

use crate::limit::SendPermit;
use crate::server::{AttemptEnd, ReportedLoad};

slotmap::new_key_type! {
    /// Key of one incarnation of a backend server.
    pub struct ServerKey;
}

slotmap::new_key_type! {
    /// Key of an availability zone.
    pub(crate) struct ZoneKey;
}

/// Processing time of a slow request, as a multiple of the expected one.
pub(crate) const SLOW_REQUEST_FACTOR: f64 = 1.3;

/// A request that needs a backend server.
#[derive(Debug, Clone)]
pub struct ServerQuery<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Digest of the object that the request is about, if its route is sticky.
    pub object: Option<u64>,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Target latency, counted from now.
    pub target_latency: Duration,
    /// Regions that may serve the request; empty if any may.
    pub home_regions: &'a [ids::RegionName],
    /// Backend servers that earlier attempts were sent to; they aren't chosen again.
    pub tried: &'a [ServerKey],
    /// Rank among the requests of the service; `None` where ranks don't count.
    pub rank: Option<Rank>,
    /// The attempt, if it gives way to first attempts; `None` for a first one, and where ranks don't count.
    pub second: Option<SecondAttempt>,
}

/// The backend server chosen for a request, which counts towards the server's load until
/// [`LoadBalancer::finish`](crate::balancer::LoadBalancer::finish) is called.
#[derive(Debug, Clone)]
pub struct ChosenServer {
    /// Key of the server.
    pub key: ServerKey,
    /// Record that the server announced.
    pub record: ServerRecord,
    /// Estimated load of the server before this request, in requests.
    pub load: f64,
    /// Expected latency of the request.
    pub forecast: LatencyForecast,
    /// Latest figure of the server's machine, in percent of the usual, and its age.
    pub work_percent: Option<(u32, Duration)>,
    /// Permit by the server's limit.
    pub permit: SendPermit,
}

/// How likely a backend server is to hold an object in its cache, from most to least likely.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumCount)]
#[strum(serialize_all = "kebab-case")]
pub enum ObjectAffinity {
    /// The server recently answered a request of this host for the object.
    Warm,
    /// The server is the first choice of all hosts for the object.
    Owner,
    /// The server is the second choice of all hosts for the object, used while its owner is busy.
    Relief,
    /// The server is on the side (this region or the others) that gets requests for the object only
    /// by exception.
    Strange,
    /// The request has no object: its route isn't sticky, or it names none.
    Unnamed,
}

/// Expected latency of a request at a backend server, by its parts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyForecast {
    /// How likely the server is to hold the object in its cache.
    pub affinity: ObjectAffinity,
    /// Seconds in the server's queue.
    pub wait: f64,
    /// Seconds of processing.
    pub processing: f64,
    /// Seconds of network round trip.
    pub round_trip: f64,
    /// Recent latency of the server without the round trip, as a multiple of `wait` plus
    /// `processing`.
    pub slowdown: f64,
}

impl LatencyForecast {
    /// Returns the expected latency in seconds.
    pub fn seconds(&self) -> f64 {
        (self.processing + self.wait) * self.slowdown + self.round_trip
    }

    /// Returns the expected latency in seconds of a request that doesn't queue.
    pub(crate) fn idle(&self) -> f64 {
        self.processing * self.slowdown + self.round_trip
    }

    /// Returns the latency in seconds of a slow request that doesn't queue.
    pub(crate) fn unqueued(&self) -> f64 {
        self.processing * self.slowdown * SLOW_REQUEST_FACTOR + self.round_trip
    }

    /// Returns the expected latency.
    pub fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.seconds())
    }
}

/// Why a request gets no backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalCause {
    /// The service has no candidate.
    NoServer,
    /// The service has no candidate, but a backend server that asked for a rest will be one.
    Resting,
    /// The service has no candidate, but this host's share of a server's limit will permit a request.
    Limited,
    /// The request is held back, as backend servers ended while they ran it.
    Quarantined,
    /// This host reaches no zone with a candidate.
    Unreachable,
    /// No candidate can answer in time, or the chosen one is cold and its rate limit is reached.
    Full,
    /// Candidates can answer in time, but their queues are kept short for more urgent requests.
    Outranked,
    /// The attempt is a retry or hedge that gives way to first attempts, or ends too late to help.
    HeldBack,
}

/// The candidate with the lowest expected latency for a refused request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SoonestServer {
    /// Estimated load of the server, in requests.
    pub load: f64,
    /// Expected latency of the request.
    pub forecast: LatencyForecast,
    /// Highest expected latency, in seconds, with which the request would have been admitted.
    pub limit: f64,
}

/// A refusal; nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadRefusal {
    /// Cause of the refusal.
    pub cause: RefusalCause,
    /// Time after which a retry is expected to find room.
    pub retry_after: Duration,
    /// Number of candidates.
    pub candidates: usize,
    /// The candidate with the lowest expected latency.
    pub soonest: Option<SoonestServer>,
    /// Share of the service's requests that leaves this host's region.
    pub spill: f64,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptReport {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Latency of the attempt.
    pub took: Duration,
    /// Load that the answer reports.
    pub load: Option<ReportedLoad>,
    /// Digest of the object that the request is about.
    pub object: Option<u64>,
    /// Digest of the request.
    pub request: ids::RequestDigest,
    /// Forecast from the choice of the server.
    pub forecast: LatencyForecast,
}
