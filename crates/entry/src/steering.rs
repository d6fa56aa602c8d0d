//! The routes and look-ups of this host, made anew as what is in force changes.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use forward::steered::{ServeMode, SteeredRoutes};
use futures_util::future;
use model::ids;
use model::state::ForceState;
use registry::BackendRegistry;
use serde_json::{json, Value};
use steer::lookup::{self, HostTarget};
use steer::{LookupTable, RouteTable, TableBuilder};

use crate::context::EntryContext;
use crate::standing::HostStanding;

/// Longest time between two looks at which hosts are closed.
pub const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// The present routes and look-ups; requests read them without a lock.
#[derive(Debug)]
pub struct HostSteering {
    routes: Arc<SteeredRoutes>,
    lookups: ArcSwap<LookupTable>,
    open: AtomicBool,
}

impl HostSteering {
    /// Creates the steering of a host that has no state yet.
    pub fn new(registry: Arc<BackendRegistry>) -> Self {
        let empty = LookupTable::new(&ForceState::default(), &BTreeSet::new());
        Self {
            routes: Arc::new(SteeredRoutes::new(registry)),
            lookups: ArcSwap::from_pointee(empty),
            open: AtomicBool::new(false),
        }
    }

    /// Returns the routes, which change as what is in force does.
    pub fn routes(&self) -> &Arc<SteeredRoutes> {
        &self.routes
    }

    /// Tells whether requests and look-ups are answered from what is in force, and callers may be
    /// sent here.
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Acquire)
    }

    /// Returns the routing table in force.
    pub fn table(&self) -> Arc<RouteTable> {
        self.routes.table()
    }

    /// Returns the entry hosts for a caller of a zone, in order.
    pub fn hosts_by_zone(&self, zone: &str, caller: Option<IpAddr>) -> Vec<Arc<HostTarget>> {
        let hash = caller.map_or(0, lookup::caller_hash);
        self.lookups.load().by_zone(zone, hash)
    }

    /// Returns the entry hosts for a caller of an address, in order.
    pub fn hosts_by_address(&self, caller: IpAddr) -> Vec<Arc<HostTarget>> {
        self.lookups.load().by_address(caller)
    }

    /// Returns the routes for a state dump.
    pub fn report(&self, now: Instant) -> Value {
        let routes = self.table();
        let demand: Vec<_> = routes
            .demand(now)
            .into_iter()
            .map(
                |place| json!({ "service": place.service, "zone": place.zone, "rate": place.rate }),
            )
            .collect();
        json!({ "revision": routes.revision(), "demand": demand })
    }

    fn set_state(&self, now: Instant, own: (&str, &str), state: &ForceState) {
        let previous = self.table();
        let table = TableBuilder::new(state, own.0, own.1)
            .previous(&previous)
            .build(now);
        self.routes.set_state(state, Arc::new(table));
    }
}

/// Tells the request path whether it may take new work.
fn serve_mode(standing: HostStanding) -> ServeMode {
    match standing {
        HostStanding::Starting => ServeMode::Starting,
        HostStanding::Serving | HostStanding::Detached | HostStanding::Stopping => {
            ServeMode::Serving
        }
        HostStanding::CutOff => ServeMode::CutOff,
    }
}

/// Follows what is in force and which hosts are closed, for as long as the process runs.
pub async fn run(context: Arc<EntryContext>) {
    let mut versions = context.holder.subscribe();
    let mut follower = SteeringFollower::default();
    loop {
        versions.mark_unchanged();
        follower.step(&context);
        let changed = std::pin::pin!(versions.changed());
        let timer = std::pin::pin!(context.clock.sleep(REFRESH_INTERVAL));
        future::select(changed, timer).await;
    }
}

/// What the routes and look-ups were last made from.
#[derive(Debug, Default)]
struct SteeringFollower {
    state: Option<Arc<ForceState>>,
    closed: BTreeSet<ids::HostName>,
}

impl SteeringFollower {
    /// Makes anew what no longer fits what is in force or which hosts are closed.
    fn step(&mut self, context: &EntryContext) {
        let now = context.now();
        let state = Arc::clone(&context.holder.view().state);
        let standing = context.standing();
        let closed = closed_hosts(context, now, &state, standing);
        context.registry.tick(now);
        let known = self.state.as_ref();
        let is_new = !known.is_some_and(|known| Arc::ptr_eq(known, &state));
        if is_new {
            let own = (&*context.settings.name, &*context.settings.zone);
            context.registry.set_state(now, &state);
            context.keepers.set_state(now, &state);
            context.steering.set_state(now, own, &state);
        }
        context.steering.routes.set_mode(serve_mode(standing));
        let lookups = &context.steering.lookups;
        if is_new {
            lookups.store(Arc::new(LookupTable::new(&state, &closed)));
        } else if closed != self.closed {
            let next = lookups.load().with_hosts(&state, &closed);
            lookups.store(Arc::new(next));
        }
        context
            .steering
            .open
            .store(standing.is_open(), Ordering::Release);
        self.state = Some(state);
        self.closed = closed;
    }
}

/// Returns the hosts that callers should not be sent to, this one among them where it is closed.
fn closed_hosts(
    context: &EntryContext,
    now: Instant,
    state: &ForceState,
    standing: HostStanding,
) -> BTreeSet<ids::HostName> {
    let mut closed = context.peers().closed(now, state);
    if !standing.is_open() {
        closed.insert(context.settings.name.clone());
    }
    closed
}
