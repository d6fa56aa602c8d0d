//! Shared context of the parts of an entry host.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use clock::TimeSource;
use feed::holder::StateHolder;
use model::state;
use registry::BackendRegistry;
use telemetry::metrics::MetricRegistry;

use crate::channels::PeerChannels;
use crate::keepers::HostKeepers;
use crate::peers::PeerTable;
use crate::settings::EntrySettings;
use crate::standing::{HostStanding, StandingFacts};
use crate::steering::HostSteering;

/// Shared context of the parts of an entry host.
#[derive(Debug)]
pub struct EntryContext {
    /// Validated settings.
    pub settings: EntrySettings,
    /// Clock of the process.
    pub clock: TimeSource,
    /// Current state, after all accepted tickets.
    pub holder: Arc<StateHolder>,
    /// Registry of announced backend servers.
    pub registry: Arc<BackendRegistry>,
    /// Routing and look-up tables.
    pub steering: HostSteering,
    /// Claim records that this host keeps, and the keepers of all keys.
    pub keepers: HostKeepers,
    /// Connections to other entry hosts.
    pub channels: PeerChannels,
    /// Metrics of the process.
    pub metrics: MetricRegistry,
    /// Incarnation of the process, which increases with each start.
    pub incarnation: u64,
    /// Counts of the exchanges that this host started.
    pub exchanges: ExchangeCounts,
    peers: Mutex<PeerTable>,
    stopping: AtomicBool,
}

/// Counts of the exchanges with other entry hosts.
#[derive(Debug, Default)]
pub struct ExchangeCounts {
    /// Number of answered exchanges.
    pub answered: AtomicU64,
    /// Number of failed exchanges.
    pub failed: AtomicU64,
}

impl EntryContext {
    /// Creates the context of a process.
    pub fn new(settings: EntrySettings, clock: TimeSource, metrics: MetricRegistry) -> Self {
        let peers = PeerTable::new(clock.now(), settings.name.clone());
        let registry = Arc::new(BackendRegistry::new());
        let keepers = HostKeepers::new(clock.now());
        let channels = PeerChannels::new(settings.token.clone());
        Self {
            settings,
            clock,
            holder: Arc::default(),
            steering: HostSteering::new(Arc::clone(&registry)),
            registry,
            keepers,
            channels,
            metrics,
            incarnation: new_incarnation(),
            exchanges: ExchangeCounts::default(),
            peers: Mutex::new(peers),
            stopping: AtomicBool::new(false),
        }
    }

    /// Returns whether the host accepts new requests now, and why.
    pub fn standing(&self) -> HostStanding {
        let now = self.clock.now();
        let view = self.holder.view();
        let mut facts = StandingFacts {
            confirmed: view.confirmed,
            heartbeat_age: view.heartbeat_age(now),
            host_count: 0,
            reachable_peers: 0,
            stopping: self.is_stopping(),
        };
        // The status of a host with a fresh heartbeat doesn't depend on its peers.
        if !facts.is_fresh() {
            facts.host_count = state::live(&view.state.hosts).count();
            facts.reachable_peers = self.peers().count_reachable(now, &view.state);
        }
        facts.standing()
    }

    /// Returns the table of the other entry hosts.
    pub fn peers(&self) -> MutexGuard<'_, PeerTable> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the graceful shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Begins the graceful shutdown.
    pub fn begin_shutdown(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }
}

/// Returns the microseconds since the Unix epoch, as a number that increases with each start.
fn new_incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}
