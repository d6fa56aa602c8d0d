//! Routing and look-up tables of this host, which are rebuilt when the current state changes.

use std::collections::BTreeSet;
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
use steer::{LookupTable, RouteTable, TableBuilder};

use crate::context::EntryContext;
use crate::standing::HostStanding;

/// Longest time between two updates of the closed hosts and of the status of this host.
pub const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Current routing and look-up tables, which requests read without a lock.
#[derive(Debug)]
pub struct HostSteering {
    routes: Arc<SteeredRoutes>,
    lookups: ArcSwap<LookupTable>,
    /// Whether the tables are built and callers may be sent to this host.
    open: AtomicBool,
}

impl HostSteering {
    /// Creates empty tables, for a host that has no state yet.
    pub fn new(registry: Arc<BackendRegistry>) -> Self {
        let empty = LookupTable::new(&ForceState::default(), &BTreeSet::new());
        Self {
            routes: Arc::new(SteeredRoutes::new(registry)),
            lookups: ArcSwap::from_pointee(empty),
            open: AtomicBool::new(false),
        }
    }

    /// Returns the routes, which follow the current state.
    pub fn routes(&self) -> &Arc<SteeredRoutes> {
        &self.routes
    }

    /// Returns whether the tables are built from a confirmed state and callers may be sent to this
    /// host.
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Acquire)
    }

    /// Returns the current routing table.
    pub fn table(&self) -> Arc<RouteTable> {
        self.routes.table()
    }

    /// Returns the current look-up table.
    pub fn lookups(&self) -> Arc<LookupTable> {
        self.lookups.load_full()
    }

    /// Returns the revision and the demand of the routing table for a state dump.
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

    /// Replaces the routing table; `own` is the name and the zone of this host.
    fn set_state(&self, now: Instant, own: (&str, &str), state: &ForceState) {
        let previous = self.table();
        let table = TableBuilder::new(state, own.0, own.1)
            .previous(&previous)
            .build(now);
        self.routes.set_state(state, Arc::new(table));
    }
}

/// Returns the mode of the request path for the status of the host.
fn serve_mode(standing: HostStanding) -> ServeMode {
    match standing {
        HostStanding::Starting => ServeMode::Starting,
        HostStanding::Serving | HostStanding::Detached | HostStanding::Stopping => {
            ServeMode::Serving
        }
        HostStanding::CutOff => ServeMode::CutOff,
    }
}

/// Follows the current state and the closed hosts, until the process ends.
pub async fn run(context: Arc<EntryContext>) {
    let mut versions = context.holder.subscribe();
    let mut updater = TableUpdater::default();
    loop {
        versions.mark_unchanged();
        updater.update(&context);
        let changed = std::pin::pin!(versions.changed());
        let timer = std::pin::pin!(context.clock.sleep(REFRESH_INTERVAL));
        future::select(changed, timer).await;
    }
}

/// Rebuilds the tables when their input changes, and holds the input of the last build.
#[derive(Debug, Default)]
struct TableUpdater {
    state: Option<Arc<ForceState>>,
    closed: BTreeSet<ids::HostName>,
}

impl TableUpdater {
    /// Rebuilds the tables whose input has changed, and updates the registry and the request path.
    fn update(&mut self, context: &EntryContext) {
        let now = context.now();
        let state = Arc::clone(&context.holder.view().state);
        let standing = context.standing();
        let closed = closed_hosts(context, now, &state, standing);
        context.registry.tick(now);
        let previous = self.state.as_ref();
        let is_new = !previous.is_some_and(|previous| Arc::ptr_eq(previous, &state));
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

/// Returns the hosts to which callers should not be sent, including this one if it is not open.
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
