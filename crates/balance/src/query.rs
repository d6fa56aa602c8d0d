//! What is asked of the balancer, and what it answers.

use std::time::Duration;

use fleet::ids;
use fleet::server::ServerRecord;

use crate::server::{AttemptEnd, ReportedLoad};

slotmap::new_key_type! {
    /// One life of a backend server.
    pub struct ServerKey;
}

/// Factor by which a request that finds a free slot may take longer than usual.
const ALONE_SPREAD: f64 = 1.3;

/// What is known of a request when its backend server is chosen.
#[derive(Debug, Clone)]
pub struct ServerQuery<'a> {
    /// Service that it goes to.
    pub service: &'a str,
    /// Digest of the object that it is about, where the route is sticky.
    pub object: Option<u64>,
    /// Time until it must be answered.
    pub left: Duration,
    /// Time within which its answer is wanted, counted from now.
    pub wanted: Duration,
    /// Regions that may serve it; none where any may.
    pub homes: &'a [ids::RegionName],
    /// Backend servers that it was sent to before.
    pub tried: &'a [ServerKey],
}

/// A backend server that was chosen; the request counts towards its load until its end is told.
#[derive(Debug, Clone)]
pub struct ChosenServer {
    /// Recognises it.
    pub key: ServerKey,
    /// What it announced.
    pub record: ServerRecord,
    /// Load that it was taken to have.
    pub load: f64,
    /// What was expected of the request.
    pub forecast: TimeForecast,
}

/// How likely a backend server is to have an object warm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumCount)]
#[strum(serialize_all = "kebab-case")]
pub enum ObjectAffinity {
    /// This host had an answer about it there a short time ago, or there is no object.
    Warm,
    /// All hosts send requests for it there first.
    Owner,
    /// All hosts send requests for it there when its owner is busy.
    Relief,
    /// Requests for it go there by exception only.
    Strange,
}

/// Time that a request was taken to need at a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimeForecast {
    /// How likely its object is to be warm.
    pub affinity: ObjectAffinity,
    /// Seconds behind other requests.
    pub wait: f64,
    /// Seconds of its own, at the usual pace.
    pub own: f64,
    /// Seconds on the way.
    pub round: f64,
    /// The backend server's pace, as a multiple of the usual time.
    pub pace: f64,
}

impl TimeForecast {
    /// Returns the seconds until the answer.
    pub fn seconds(&self) -> f64 {
        (self.own + self.wait) * self.pace + self.round
    }

    /// Returns the seconds until the answer where the request finds a free slot and is among the
    /// slower ones.
    pub(crate) fn alone(&self) -> f64 {
        self.own * self.pace * ALONE_SPREAD + self.round
    }

    /// Returns the time until the answer.
    pub fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.seconds())
    }
}

/// Why there is no backend server for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalCause {
    /// The service has no backend server that may be used.
    NoServer,
    /// All that may be used have more than they can answer in time.
    Full,
}

/// The backend server that would have answered a refused request first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SoonestServer {
    /// Load that it was taken to have.
    pub load: f64,
    /// What was expected of the request.
    pub forecast: TimeForecast,
    /// Seconds within which it must have been expected to answer.
    pub limit: f64,
}

/// A refusal before anything was sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadRefusal {
    /// Why.
    pub cause: RefusalCause,
    /// When room is expected.
    pub come_back: Duration,
    /// Backend servers that might have been used.
    pub candidates: usize,
    /// What was expected of the soonest of them.
    pub soonest: Option<SoonestServer>,
    /// Share of the requests for the service that leaves the region.
    pub spill: f64,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy)]
pub struct AttemptReport {
    /// How it ended.
    pub end: AttemptEnd,
    /// Time that it took.
    pub took: Duration,
    /// Load that its answer reports.
    pub load: Option<ReportedLoad>,
    /// Object that it was about.
    pub object: Option<u64>,
    /// What was expected of it.
    pub forecast: TimeForecast,
}
