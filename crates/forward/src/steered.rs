//! Selection of backend servers by the current state and their announcements.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use guard::{
    ClassShedder, HedgeBudget, RequestClass, RequestDeadline, RetryBudget, WaitLimit, WaitPermit,
};
use http::StatusCode;
use model::ids;
use model::outcome::RefusalReason;
use model::spec::ServiceClass;
use model::state::{self, ForceState};
use registry::{BackendEntry, BackendKey, BackendRegistry};
use steer::{PlacePermit, RouteDecision, RoutePlan};
use strum::FromRepr;

use crate::permit::{AttemptPermit, ReservedCapacity, SteeredCapacity};
use crate::refusal::RequestRefusal;
use crate::routes::RouteQuery;

/// Retry-after time of a request to a host that does not serve.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Delay before a request that waits for a slot of a backend server asks again.
const SLOT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Retry-after time of a request that finds no backend server with free capacity.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Age of a backend server's last answer up to which its latency is compared with deadlines. After
/// a longer time requests are sent in any case, which measures the latency again.
const MAX_LATENCY_AGE: Duration = Duration::from_secs(1);

/// Whether this entry host serves requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, FromRepr)]
#[repr(u8)]
pub enum ServeMode {
    /// The host has no confirmed state yet.
    Starting,
    /// The host serves.
    Serving,
    /// The host is partitioned from the control replicas and from the other entry hosts.
    CutOff,
}

/// Routes by the current state and the announcements of backend servers.
#[derive(Debug)]
pub struct SteeredRoutes {
    registry: Arc<BackendRegistry>,
    current: ArcSwap<CurrentRoutes>,
    wait_limit: Arc<WaitLimit>,
    mode: AtomicU8,
}

/// Routing table of the current state and the guards of its services.
#[derive(Debug, Default)]
struct CurrentRoutes {
    table: Arc<steer::RouteTable>,
    guards: HashMap<ids::ServiceName, Arc<ServiceGuard>>,
}

/// Class, budgets and load shedding of one service.
#[derive(Debug)]
struct ServiceGuard {
    class: ServiceClass,
    retries: RetryBudget,
    hedges: HedgeBudget,
    shedder: ClassShedder,
}

impl ServiceGuard {
    fn new(class: ServiceClass) -> Self {
        Self {
            class,
            retries: RetryBudget::default(),
            hedges: HedgeBudget::default(),
            shedder: ClassShedder::default(),
        }
    }
}

impl SteeredRoutes {
    /// Creates routes that refuse all requests until [`set_state`](Self::set_state) and
    /// [`set_mode`](Self::set_mode) were called.
    pub fn new(registry: Arc<BackendRegistry>) -> Self {
        Self {
            registry,
            current: ArcSwap::default(),
            wait_limit: Arc::default(),
            mode: AtomicU8::new(ServeMode::Starting as u8),
        }
    }

    /// Sets the current state and the routing table built from it. The budgets of a service are
    /// kept if its class is the same.
    pub fn set_state(&self, state: &ForceState, table: Arc<steer::RouteTable>) {
        let old = self.current.load();
        let guards = state::live(&state.services)
            .map(|(name, spec)| {
                let kept = old.guards.get(name).filter(|old| old.class == spec.class);
                let guard = kept.cloned();
                let guard = guard.unwrap_or_else(|| Arc::new(ServiceGuard::new(spec.class)));
                (name.to_string(), guard)
            })
            .collect();
        self.current
            .store(Arc::new(CurrentRoutes { table, guards }));
    }

    /// Sets whether this entry host serves requests.
    pub fn set_mode(&self, mode: ServeMode) {
        self.mode.store(mode as u8, Ordering::Release);
    }

    /// Returns whether this entry host serves requests.
    pub fn mode(&self) -> ServeMode {
        let mode = self.mode.load(Ordering::Acquire);
        ServeMode::from_repr(mode).unwrap_or(ServeMode::Starting)
    }

    /// Returns the routing table of the current state.
    pub fn table(&self) -> Arc<steer::RouteTable> {
        self.current.load().table.clone()
    }

    /// Returns the registry of announced backend servers.
    pub fn registry(&self) -> &Arc<BackendRegistry> {
        &self.registry
    }

    /// Starts the selection of backend servers for one request.
    ///
    /// # Errors
    ///
    /// Refuses the request if its service is unknown or this entry host does not serve.
    pub fn start(self: &Arc<Self>, query: RouteQuery) -> Result<SteeredSession, RequestRefusal> {
        let message = match self.mode() {
            ServeMode::Serving => None,
            ServeMode::Starting => Some("this entry host has no confirmed state yet"),
            ServeMode::CutOff => Some("this entry host is cut off; ask another one"),
        };
        if let Some(message) = message {
            let reason = RefusalReason::NotReady;
            return Err(RequestRefusal::unavailable(
                reason,
                NOT_READY_RETRY_AFTER,
                message,
            ));
        }
        let current = self.current.load_full();
        let Some(guard) = current.guards.get(&query.service).cloned() else {
            return Err(RequestRefusal::unknown_service());
        };
        guard.retries.deposit();
        guard.hedges.deposit();
        Ok(SteeredSession {
            class: RequestClass::of(guard.class, query.idempotent),
            registry: self.registry.clone(),
            wait_limit: self.wait_limit.clone(),
            wait_permit: None,
            capacity_after: None,
            current,
            guard,
            query,
            plan: PlanStep::NotStarted,
            tried: Vec::new(),
            last_refusal: None,
        })
    }
}

/// Selection by the current state for the attempts of one request.
#[derive(Debug)]
pub struct SteeredSession {
    registry: Arc<BackendRegistry>,
    wait_limit: Arc<WaitLimit>,
    /// Permit to wait for capacity, once the request has waited.
    wait_permit: Option<WaitPermit>,
    /// Time after which capacity may be free, set if the last refusal was for lack of capacity.
    capacity_after: Option<Duration>,
    current: Arc<CurrentRoutes>,
    guard: Arc<ServiceGuard>,
    query: RouteQuery,
    class: RequestClass,
    plan: PlanStep,
    tried: Vec<BackendKey>,
    /// Refusal by the backend servers of a place whose limits admitted the request.
    last_refusal: Option<RequestRefusal>,
}

/// Progress through the places of the service.
#[derive(Debug)]
enum PlanStep {
    /// No place was asked yet.
    NotStarted,
    /// Places were asked; the next attempt starts with this availability zone again.
    Started(Box<RoutePlan>, ids::ZoneName),
}

impl SteeredSession {
    /// Selects a backend server that no earlier attempt of the request used, and reserves capacity
    /// on it.
    ///
    /// # Errors
    ///
    /// Refuses the request if the caps of places, the headroom of regions and links, or the limits
    /// of backend servers leave no capacity.
    pub fn next_permit(&mut self, now: Instant) -> Result<AttemptPermit, RequestRefusal> {
        self.capacity_after = None;
        let mut place_permit = self.first_place_permit(now)?;
        loop {
            match self.reserve_backend(now, place_permit) {
                Ok(permit) => {
                    self.wait_permit = None;
                    return Ok(permit);
                }
                Err(refusal) if self.last_refusal.is_none() => self.last_refusal = Some(refusal),
                Err(refusal) if refusal.reason != RefusalReason::NoBackend => {
                    self.last_refusal = Some(refusal);
                }
                Err(_) => {}
            }
            place_permit = self.next_place_permit(now)?;
        }
    }

    /// Returns the delay before a request that was refused for lack of capacity asks again, or
    /// `None` if it does not wait.
    ///
    /// Caps limit every window of 100 ms, so the next window may have capacity for the excess of a
    /// random burst in this one.
    pub fn capacity_wait(&mut self, now: Instant) -> Option<Duration> {
        let capacity_after = self.capacity_after.filter(|_| self.tried.is_empty())?;
        if self.wait_permit.is_none() {
            let remaining = self.query.deadline.saturating_duration_since(now);
            let deadline = RequestDeadline::after(now, remaining);
            self.wait_permit = self.wait_limit.try_start(now, self.class, deadline);
        }
        let delay = self
            .wait_permit
            .as_ref()?
            .retry_delay(now, capacity_after)?;
        self.plan = PlanStep::NotStarted;
        self.last_refusal = None;
        Some(delay)
    }

    /// Withdraws one retry from the retry budget of the service. Returns whether it was granted.
    pub fn try_withdraw_retry(&mut self) -> bool {
        self.guard.retries.try_withdraw()
    }

    /// Withdraws one hedge from the hedge budget of the service. Returns whether it was granted.
    /// Bulk requests can wait and are never hedged.
    pub fn try_withdraw_hedge(&mut self) -> bool {
        self.class != RequestClass::Bulk && self.guard.hedges.try_withdraw()
    }

    /// Reserves capacity at the first place, or again at the place of the previous attempt.
    fn first_place_permit(&mut self, now: Instant) -> Result<PlacePermit, RequestRefusal> {
        if let PlanStep::Started(plan, zone) = &mut self.plan {
            if let Some(permit) = plan.permit_in_zone(now, zone) {
                return Ok(permit);
            }
            return self.next_place_permit(now);
        }
        let query = steer::RouteQuery {
            service: &self.query.service,
            class: self.class,
            bytes_hint: self.query.body_bytes,
        };
        match self.current.table.route(now, &query) {
            RouteDecision::Admit { permit, plan } => {
                self.plan = PlanStep::Started(Box::new(plan), permit.zone().clone());
                Ok(permit)
            }
            RouteDecision::Refuse(refusal) => {
                self.capacity_after = Some(refusal.retry_after);
                Err(self.refuse(&refusal))
            }
        }
    }

    /// Reserves capacity at the next place of the plan.
    fn next_place_permit(&mut self, now: Instant) -> Result<PlacePermit, RequestRefusal> {
        let PlanStep::Started(plan, zone) = &mut self.plan else {
            return Err(RequestRefusal::unknown_service());
        };
        if let Some(permit) = plan.next_permit(now) {
            zone.clone_from(permit.zone());
            return Ok(permit);
        }
        let refusal = plan.refusal();
        if self.last_refusal.is_none() {
            self.capacity_after = Some(refusal.retry_after);
        }
        Err(self
            .last_refusal
            .take()
            .unwrap_or_else(|| self.refuse(&refusal)))
    }

    /// Reserves capacity on a backend server of a place. Cancels the permit of the place if no
    /// backend server can take the request.
    fn reserve_backend(
        &mut self,
        now: Instant,
        permit: PlacePermit,
    ) -> Result<AttemptPermit, RequestRefusal> {
        let candidates = self.registry.candidates(&self.query.service, permit.zone());
        if candidates.is_empty() {
            permit.cancel(now);
            let message = "no backend server of the service is available";
            return Err(self.unavailable(RefusalReason::NoBackend, FULL_RETRY_AFTER, message));
        }
        let full = "backend servers are at their limits";
        if let Err(retry_after) = self
            .guard
            .shedder
            .admit(self.class, utilisation(&candidates))
        {
            permit.cancel(now);
            return Err(self.unavailable(RefusalReason::Overloaded, retry_after, full));
        }
        let selected = registry::pick_backend(now, &candidates, self.query.seed, &self.tried);
        let Some((entry, slot)) = selected else {
            permit.cancel(now);
            self.capacity_after = Some(SLOT_RETRY_DELAY);
            return Err(self.unavailable(RefusalReason::Overloaded, FULL_RETRY_AFTER, full));
        };
        if self.would_miss_deadline(now, &entry) {
            let latency = entry.gauge.latency();
            permit.cancel(now);
            let message = "the request can't be answered before its deadline";
            return Err(self.unavailable(RefusalReason::DeadlineExceeded, latency, message));
        }
        self.tried.push(entry.key);
        let address = entry.announcement.address;
        let capacity = SteeredCapacity::new(self.registry.clone(), entry, permit, slot);
        let reserved = ReservedCapacity::Steered(Box::new(capacity));
        Ok(AttemptPermit::new(
            now,
            address,
            self.query.deadline,
            reserved,
        ))
    }

    /// Returns whether the recent latency of a backend server exceeds the time to the deadline.
    fn would_miss_deadline(&self, now: Instant, entry: &BackendEntry) -> bool {
        let remaining = self.query.deadline.saturating_duration_since(now);
        let since = entry.gauge.since_answer(now);
        since.is_some_and(|since| since <= MAX_LATENCY_AGE) && entry.gauge.latency() > remaining
    }

    /// Creates the refusal of a request that no place admitted.
    fn refuse(&self, refusal: &steer::RouteRefusal) -> RequestRefusal {
        let message = match refusal.reason {
            RefusalReason::UnknownService => return RequestRefusal::unknown_service(),
            RefusalReason::CapReached => "every place that could take it is at its cap",
            RefusalReason::NoHeadroom => "the regions or links that it would use have no room",
            _ => "no place of the service may take it",
        };
        self.unavailable(refusal.reason, refusal.retry_after, message)
    }

    /// Creates a refusal whose retry-after time is between one and two times `retry_after`, so that
    /// refused callers do not all retry at the same time.
    fn unavailable(
        &self,
        reason: RefusalReason,
        retry_after: Duration,
        message: &'static str,
    ) -> RequestRefusal {
        let spread = (self.query.seed % 1000) as f64 / 1000.0;
        RequestRefusal {
            status: StatusCode::SERVICE_UNAVAILABLE,
            ..RequestRefusal::unavailable(reason, retry_after.mul_f64(1.0 + spread), message)
        }
    }
}

/// Returns the utilisation of a place: the in-flight requests of its backend servers divided by the
/// sum of their limits.
fn utilisation(candidates: &[Arc<BackendEntry>]) -> f64 {
    let sum = |value: fn(&BackendEntry) -> f64| -> f64 {
        candidates.iter().map(|entry| value(entry)).sum()
    };
    let in_flight = sum(|entry| f64::from(entry.gauge.limit().in_flight()));
    let limit = sum(|entry| entry.gauge.limit().limit().floor());
    in_flight / limit.max(1.0)
}
