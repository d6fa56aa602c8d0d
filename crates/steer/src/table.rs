//! The immutable table and the routing of one request.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::ids;
use model::outcome::RefusalReason;

use crate::link::LinkGauge;
use crate::place::PlaceGauge;
use crate::plan::{AnswerSize, RoutePlan, ServiceRoute};
use crate::query::{PlaceDemand, RouteDecision, RouteQuery, RouteRefusal, ShareGrant};
use crate::region::RegionGauge;

/// Names a place.
pub(crate) type PlaceName = (ids::ServiceName, ids::ZoneName);

/// Time after which to come back for a service that is not in force.
const UNKNOWN_RETRY: Duration = Duration::from_secs(5);

/// The routes of all services from one entry host; immutable but for the gauges it shares with
/// the tables before and after it.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use guard::RequestClass;
/// use model::{raw::RawTicket, state::ForceState, ticket::ChangeTicket};
/// use steer::{RouteDecision, RouteQuery, TableBuilder};
///
/// let raw = RawTicket::from_toml(r#"
///     number = 1
///     [region.altiplano]
///     zones = ["altiplano-a"]
///     cap = 1000.0
///     [host.entry-1]
///     zone = "altiplano-a"
///     callers = "10.0.0.1:80"
///     peers = "10.0.0.1:81"
///     [service.ascent-lookup]
///     class = "read"
///     shift = 100.0
///     places.altiplano-a.cap = 500.0
/// "#).unwrap();
/// let mut state = ForceState::default();
/// state.apply(&ChangeTicket::try_from(raw).unwrap());
///
/// let now = Instant::now();
/// let table = TableBuilder::new(&state, "entry-1", "altiplano-a").build(now);
/// let query = RouteQuery { service: "ascent-lookup", class: RequestClass::Read, bytes_hint: 0 };
/// let RouteDecision::Go { permit, .. } = table.route(now, &query) else { panic!() };
/// assert_eq!(permit.zone(), "altiplano-a");
/// ```
#[derive(Debug, Default)]
pub struct RouteTable {
    pub(crate) revision: ids::Revision,
    /// Whether the host is in force.
    pub(crate) is_seated: bool,
    /// When the host has its fixed parts, or nothing for a table of no state.
    pub(crate) settles_at: Option<Instant>,
    pub(crate) services: HashMap<ids::ServiceName, Arc<ServiceRoute>>,
    pub(crate) places: BTreeMap<PlaceName, Arc<PlaceGauge>>,
    pub(crate) regions: BTreeMap<ids::RegionName, Arc<RegionGauge>>,
    pub(crate) links: BTreeMap<ids::RegionName, Arc<LinkGauge>>,
    pub(crate) answers: BTreeMap<ids::ServiceName, Arc<AnswerSize>>,
}

impl RouteTable {
    /// Decides which place takes a request and takes room there.
    pub fn route(&self, now: Instant, query: &RouteQuery<'_>) -> RouteDecision {
        let Some(route) = self.services.get(query.service) else {
            return RouteDecision::Refuse(RouteRefusal {
                reason: RefusalReason::UnknownService,
                retry_after: UNKNOWN_RETRY,
            });
        };
        let mut plan = RoutePlan::new(Arc::clone(route), query.class, query.bytes_hint);
        match plan.next_permit(now) {
            Some(permit) => RouteDecision::Go { permit, plan },
            None => RouteDecision::Refuse(plan.refusal()),
        }
    }

    /// Takes a lease on a part of a place's cap.
    pub fn grant(&self, now: Instant, grant: &ShareGrant<'_>) {
        if let Some(place) = self.place(grant.service, grant.zone) {
            place
                .change_share(|share| share.with_lease(now, grant.rate, grant.ttl, grant.revision));
        }
    }

    /// Takes the measured pressure of a place: the part of its backend servers' limits in use.
    pub fn report_pressure(&self, now: Instant, service: &str, zone: &str, pressure: f64) {
        if let Some(place) = self.place(service, zone) {
            place.damper().report(now, pressure);
        }
    }

    /// Returns the rates that this host would send to each place, for its request of leases.
    pub fn demand(&self, now: Instant) -> Vec<PlaceDemand> {
        let in_force = self.places.values().filter(|place| {
            let share = place.share();
            !share.is_retiring() && share.cap() > 0.0
        });
        in_force
            .map(|place| PlaceDemand {
                service: place.service.clone(),
                zone: place.zone.clone(),
                rate: place.demand(now),
            })
            .collect()
    }

    /// Returns the revision from which the table was made.
    pub fn revision(&self) -> ids::Revision {
        self.revision
    }

    /// Tells whether the host is in force and has its fixed parts of caps and links; callers are
    /// better sent elsewhere before.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.is_seated && self.settles_at.is_some_and(|at| at <= now)
    }

    /// Returns the gauges of a place.
    pub fn place(&self, service: &str, zone: &str) -> Option<&Arc<PlaceGauge>> {
        self.places.get(&(service.to_string(), zone.to_string()))
    }

    /// Iterates over the gauges of all places, for dumps and metrics.
    pub fn places(&self) -> impl Iterator<Item = &Arc<PlaceGauge>> {
        self.places.values()
    }

    /// Iterates over the gauges of all regions, for dumps and metrics.
    pub fn regions(&self) -> impl Iterator<Item = &Arc<RegionGauge>> {
        self.regions.values()
    }

    /// Iterates over the gauges of this region's links, for dumps and metrics.
    pub fn links(&self) -> impl Iterator<Item = &Arc<LinkGauge>> {
        self.links.values()
    }

    /// Returns the zones of a service in the order in which this host uses them.
    pub fn order(&self, service: &str) -> Vec<ids::ZoneName> {
        let Some(route) = self.services.get(service) else {
            return Vec::new();
        };
        let zones = route.places.iter();
        zones.map(|place| place.place.zone.clone()).collect()
    }
}
