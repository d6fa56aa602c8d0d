//! Immutable routing table and routing of one request.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::ids;
use model::outcome::RefusalReason;

use crate::link::LinkLimiter;
use crate::place::PlaceLimiter;
use crate::plan::{AnswerSize, RoutePlan, ServiceRoute};
use crate::query::{PlaceDemand, RouteDecision, RouteQuery, RouteRefusal, ShareLease};
use crate::region::RegionLimiter;

/// Key of a place: its service and availability zone.
pub(crate) type PlaceKey = (ids::ServiceName, ids::ZoneName);

/// Retry time in refusals of requests to a service that is not in force.
const UNKNOWN_RETRY: Duration = Duration::from_secs(5);

/// Routes from one entry host to all services.
///
/// The table is immutable except for the limiters, which successive tables share.
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
/// let RouteDecision::Admit { permit, .. } = table.route(now, &query) else { panic!() };
/// assert_eq!(permit.zone(), "altiplano-a");
/// ```
#[derive(Debug, Default)]
pub struct RouteTable {
    pub(crate) revision: ids::Revision,
    /// Whether the state in force names this host.
    pub(crate) is_host_in_force: bool,
    /// Time from which the host has its fixed shares; `None` for an empty table.
    pub(crate) ready_at: Option<Instant>,
    pub(crate) services: HashMap<ids::ServiceName, Arc<ServiceRoute>>,
    pub(crate) places: BTreeMap<PlaceKey, Arc<PlaceLimiter>>,
    pub(crate) regions: BTreeMap<ids::RegionName, Arc<RegionLimiter>>,
    pub(crate) links: BTreeMap<ids::RegionName, Arc<LinkLimiter>>,
    pub(crate) answer_sizes: BTreeMap<ids::ServiceName, Arc<AnswerSize>>,
}

impl RouteTable {
    /// Chooses the place that serves a request and reserves capacity there.
    pub fn route(&self, now: Instant, query: &RouteQuery<'_>) -> RouteDecision {
        let Some(route) = self.services.get(query.service) else {
            return RouteDecision::Refuse(RouteRefusal {
                reason: RefusalReason::UnknownService,
                retry_after: UNKNOWN_RETRY,
            });
        };
        let mut plan = RoutePlan::new(Arc::clone(route), query.class, query.bytes_hint);
        match plan.next_permit(now) {
            Some(permit) => RouteDecision::Admit { permit, plan },
            None => RouteDecision::Refuse(plan.refusal()),
        }
    }

    /// Applies a lease on a part of a place's cap; a lease of an unknown place is ignored.
    pub fn apply_lease(&self, now: Instant, lease: &ShareLease<'_>) {
        if let Some(place) = self.place(lease.service, lease.zone) {
            place
                .change_share(|share| share.with_lease(now, lease.rate, lease.ttl, lease.revision));
        }
    }

    /// Records the measured pressure of a place: the utilisation of its backend servers' limits.
    pub fn record_pressure(&self, now: Instant, service: &str, zone: &str, pressure: f64) {
        if let Some(place) = self.place(service, zone) {
            place.spill_controller().record_pressure(now, pressure);
        }
    }

    /// Returns the demand of this host for each place, for its next lease request.
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

    /// Returns the revision of the state that the table was built from.
    pub fn revision(&self) -> ids::Revision {
        self.revision
    }

    /// Returns whether the host is in force and has its fixed shares of caps and links. Before
    /// that, callers should use other hosts.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.is_host_in_force && self.ready_at.is_some_and(|at| at <= now)
    }

    /// Returns the limiter of a place.
    pub fn place(&self, service: &str, zone: &str) -> Option<&Arc<PlaceLimiter>> {
        self.places.get(&(service.to_string(), zone.to_string()))
    }

    /// Iterates over the limiters of all places, for dumps and metrics.
    pub fn places(&self) -> impl Iterator<Item = &Arc<PlaceLimiter>> {
        self.places.values()
    }

    /// Iterates over the limiters of all regions, for dumps and metrics.
    pub fn regions(&self) -> impl Iterator<Item = &Arc<RegionLimiter>> {
        self.regions.values()
    }

    /// Iterates over the limiters of this region's links, for dumps and metrics.
    pub fn links(&self) -> impl Iterator<Item = &Arc<LinkLimiter>> {
        self.links.values()
    }

    /// Returns the zones of a service in the order in which this host uses them.
    pub fn zone_order(&self, service: &str) -> Vec<ids::ZoneName> {
        let Some(route) = self.services.get(service) else {
            return Vec::new();
        };
        let zones = route.places.iter();
        zones.map(|place| place.place.zone.clone()).collect()
    }
}
