//! Backend servers by what is in force and who announced themselves.

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

use crate::lease::{LeaseHold, RouteLease, SteeredHold};
use crate::refusal::RequestRefusal;
use crate::routes::RouteQuery;

/// Time after which to come back to a host that may not serve.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);
/// Pause of a request that waits for room at a backend server.
const SLOT_PAUSE: Duration = Duration::from_millis(10);
/// Time after which to come back where no backend server has room.
const NO_ROOM_RETRY: Duration = Duration::from_millis(500);

/// Age of the last answer up to which the usual latency counts against a deadline; beyond it,
/// requests go through and measure it anew.
const LATENCY_AGE: Duration = Duration::from_secs(1);

/// Whether this host may serve requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, FromRepr)]
#[repr(u8)]
pub enum ServeMode {
    /// It has no confirmed state yet.
    Starting,
    /// It serves.
    Serving,
    /// It is cut off from control and from its peers.
    CutOff,
}

/// Routes by what is in force and who announced themselves.
#[derive(Debug)]
pub struct SteeredRoutes {
    registry: Arc<BackendRegistry>,
    force: ArcSwap<ForceRoutes>,
    room: Arc<WaitLimit>,
    mode: AtomicU8,
}

/// The routing table in force and what guards each service.
#[derive(Debug, Default)]
struct ForceRoutes {
    table: Arc<steer::RouteTable>,
    guards: HashMap<ids::ServiceName, Arc<ServiceGuard>>,
}

/// Budgets and class of one service.
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
    /// Creates routes that refuse everything until a state is in force and the mode is set.
    pub fn new(registry: Arc<BackendRegistry>) -> Self {
        Self {
            registry,
            force: ArcSwap::default(),
            room: Arc::default(),
            mode: AtomicU8::new(ServeMode::Starting as u8),
        }
    }

    /// Takes what is in force and the routing table made from it.
    pub fn set_state(&self, state: &ForceState, table: Arc<steer::RouteTable>) {
        let old = self.force.load();
        let guards = state::live(&state.services)
            .map(|(name, spec)| {
                let kept = old.guards.get(name).filter(|old| old.class == spec.class);
                let guard = kept.cloned();
                let guard = guard.unwrap_or_else(|| Arc::new(ServiceGuard::new(spec.class)));
                (name.to_string(), guard)
            })
            .collect();
        self.force.store(Arc::new(ForceRoutes { table, guards }));
    }

    /// Sets whether this host may serve requests.
    pub fn set_mode(&self, mode: ServeMode) {
        self.mode.store(mode as u8, Ordering::Release);
    }

    /// Returns whether this host may serve requests.
    pub fn mode(&self) -> ServeMode {
        let mode = self.mode.load(Ordering::Acquire);
        ServeMode::from_repr(mode).unwrap_or(ServeMode::Starting)
    }

    /// Returns the routing table in force.
    pub fn table(&self) -> Arc<steer::RouteTable> {
        self.force.load().table.clone()
    }

    /// Returns the backend servers that announced themselves.
    pub fn registry(&self) -> &Arc<BackendRegistry> {
        &self.registry
    }

    /// Starts the choices for one request.
    ///
    /// # Errors
    ///
    /// Refuses where the service is not in force, or this host may not serve.
    pub fn start(self: &Arc<Self>, query: RouteQuery) -> Result<SteeredSession, RequestRefusal> {
        let message = match self.mode() {
            ServeMode::Serving => None,
            ServeMode::Starting => Some("this entry host has no confirmed state yet"),
            ServeMode::CutOff => Some("this entry host is cut off; ask another one"),
        };
        if let Some(message) = message {
            let reason = RefusalReason::NotReady;
            return Err(RequestRefusal::no_room(reason, NOT_READY_RETRY, message));
        }
        let force = self.force.load_full();
        let Some(guard) = force.guards.get(&query.service).cloned() else {
            return Err(RequestRefusal::unknown_service());
        };
        guard.retries.deposit();
        guard.hedges.deposit();
        Ok(SteeredSession {
            class: RequestClass::of(guard.class, query.idempotent),
            registry: self.registry.clone(),
            room: self.room.clone(),
            wait: None,
            room_after: None,
            force,
            guard,
            query,
            plan: PlanStep::First,
            tried: Vec::new(),
            last: None,
        })
    }
}

/// The choices for one request by what is in force.
#[derive(Debug)]
pub struct SteeredSession {
    registry: Arc<BackendRegistry>,
    room: Arc<WaitLimit>,
    /// The request's wait for room, once it has begun.
    wait: Option<WaitPermit>,
    /// Time after which the last refusal may have become room.
    room_after: Option<Duration>,
    force: Arc<ForceRoutes>,
    guard: Arc<ServiceGuard>,
    query: RouteQuery,
    class: RequestClass,
    plan: PlanStep,
    tried: Vec<BackendKey>,
    /// Why a place that the caps allowed had no backend server.
    last: Option<RequestRefusal>,
}

/// How far the plan of places got.
#[derive(Debug)]
enum PlanStep {
    /// Nothing was asked yet.
    First,
    /// Places were given; the next attempt starts at this availability zone again.
    Going(Box<RoutePlan>, ids::ZoneName),
}

impl SteeredSession {
    /// Chooses a backend server that no earlier attempt used, and takes room on it.
    ///
    /// # Errors
    ///
    /// Refuses where caps, headroom, links or limits leave no room.
    pub fn next_lease(&mut self, now: Instant) -> Result<RouteLease, RequestRefusal> {
        self.room_after = None;
        let mut permit = self.first_permit(now)?;
        loop {
            match self.backend(now, permit) {
                Ok(lease) => {
                    self.wait = None;
                    return Ok(lease);
                }
                Err(refusal) if self.last.is_none() => self.last = Some(refusal),
                Err(refusal) if refusal.reason != RefusalReason::NoBackend => {
                    self.last = Some(refusal);
                }
                Err(_) => {}
            }
            permit = self.next_permit(now)?;
        }
    }

    /// Returns how long to pause before a request that was refused for want of room asks again, or
    /// nothing where it is given up.
    ///
    /// Caps hold in every window of 100 ms, so that the next window may have room for what came
    /// by chance in this one.
    pub fn pause_for_room(&mut self, now: Instant) -> Option<Duration> {
        let room_after = self.room_after.filter(|_| self.tried.is_empty())?;
        if self.wait.is_none() {
            let left = self.query.due.saturating_duration_since(now);
            let deadline = RequestDeadline::after(now, left);
            self.wait = self.room.try_start(now, self.class, deadline);
        }
        let pause = self.wait.as_ref()?.retry_delay(now, room_after)?;
        self.plan = PlanStep::First;
        self.last = None;
        Some(pause)
    }

    /// Takes one more attempt out of the budget for retries, if it is there.
    pub fn take_retry(&mut self) -> bool {
        self.guard.retries.try_withdraw()
    }

    /// Takes a second attempt beside a slow one out of the budget for hedges, if it is there; bulk
    /// work can wait and has none.
    pub fn take_hedge(&mut self) -> bool {
        self.class != RequestClass::Bulk && self.guard.hedges.try_withdraw()
    }

    /// Takes room at the first place, or once more at the place of the attempt before.
    fn first_permit(&mut self, now: Instant) -> Result<PlacePermit, RequestRefusal> {
        if let PlanStep::Going(plan, zone) = &mut self.plan {
            if let Some(permit) = plan.permit_in_zone(now, zone) {
                return Ok(permit);
            }
            return self.next_permit(now);
        }
        let query = steer::RouteQuery {
            service: &self.query.service,
            class: self.class,
            bytes_hint: self.query.body_bytes,
        };
        match self.force.table.route(now, &query) {
            RouteDecision::Admit { permit, plan } => {
                self.plan = PlanStep::Going(Box::new(plan), permit.zone().clone());
                Ok(permit)
            }
            RouteDecision::Refuse(refusal) => {
                self.room_after = Some(refusal.retry_after);
                Err(self.refuse(&refusal))
            }
        }
    }

    fn next_permit(&mut self, now: Instant) -> Result<PlacePermit, RequestRefusal> {
        let PlanStep::Going(plan, zone) = &mut self.plan else {
            return Err(RequestRefusal::unknown_service());
        };
        if let Some(permit) = plan.next_permit(now) {
            zone.clone_from(permit.zone());
            return Ok(permit);
        }
        let refusal = plan.refusal();
        if self.last.is_none() {
            self.room_after = Some(refusal.retry_after);
        }
        Err(self.last.take().unwrap_or_else(|| self.refuse(&refusal)))
    }

    /// Chooses a backend server of a place; gives the permit back where none has room.
    fn backend(&mut self, now: Instant, permit: PlacePermit) -> Result<RouteLease, RequestRefusal> {
        let candidates = self.registry.candidates(&self.query.service, permit.zone());
        if candidates.is_empty() {
            permit.cancel(now);
            let message = "no backend server of the service is available";
            return Err(self.no_room(RefusalReason::NoBackend, NO_ROOM_RETRY, message));
        }
        let full = "backend servers are at their limits";
        if let Err(wait) = self
            .guard
            .shedder
            .admit(self.class, utilisation(&candidates))
        {
            permit.cancel(now);
            return Err(self.no_room(RefusalReason::Overloaded, wait, full));
        }
        let picked = registry::pick_backend(now, &candidates, self.query.seed, &self.tried);
        let Some((entry, slot)) = picked else {
            permit.cancel(now);
            self.room_after = Some(SLOT_PAUSE);
            return Err(self.no_room(RefusalReason::Overloaded, NO_ROOM_RETRY, full));
        };
        if self.is_late_at(now, &entry) {
            let usual = entry.gauge.latency();
            permit.cancel(now);
            let message = "the request can't be answered before its deadline";
            return Err(self.no_room(RefusalReason::DeadlineExceeded, usual, message));
        }
        self.tried.push(entry.key);
        let address = entry.announcement.address;
        let hold = SteeredHold::new(self.registry.clone(), entry, permit, slot);
        let hold = LeaseHold::Steered(Box::new(hold));
        Ok(RouteLease::new(now, address, self.query.due, hold))
    }

    /// Tells whether recent answers of a backend server took longer than the request has left.
    fn is_late_at(&self, now: Instant, entry: &BackendEntry) -> bool {
        let left = self.query.due.saturating_duration_since(now);
        let since = entry.gauge.since_answer(now);
        since.is_some_and(|since| since <= LATENCY_AGE) && entry.gauge.latency() > left
    }

    fn refuse(&self, refusal: &steer::RouteRefusal) -> RequestRefusal {
        let message = match refusal.reason {
            RefusalReason::UnknownService => return RequestRefusal::unknown_service(),
            RefusalReason::CapReached => "every place that could take it is at its cap",
            RefusalReason::NoHeadroom => "the regions or links that it would use have no room",
            _ => "no place of the service may take it",
        };
        self.no_room(refusal.reason, refusal.retry_after, message)
    }

    /// Refuses with a time to come back that is spread over as much again.
    fn no_room(
        &self,
        reason: RefusalReason,
        wait: Duration,
        message: &'static str,
    ) -> RequestRefusal {
        let part = (self.query.seed % 1000) as f64 / 1000.0;
        RequestRefusal {
            status: StatusCode::SERVICE_UNAVAILABLE,
            ..RequestRefusal::no_room(reason, wait.mul_f64(1.0 + part), message)
        }
    }
}

/// Returns the part of a place's limits in use.
fn utilisation(candidates: &[Arc<BackendEntry>]) -> f64 {
    let sum = |figure: fn(&BackendEntry) -> f64| -> f64 {
        candidates.iter().map(|entry| figure(entry)).sum()
    };
    let used = sum(|entry| f64::from(entry.gauge.limit().in_flight()));
    let limit = sum(|entry| entry.gauge.limit().limit().floor());
    used / limit.max(1.0)
}
