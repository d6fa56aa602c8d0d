//! What all parts of the process share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use clock::TimeSource;
use feed::holder::StateHolder;
use model::state;
use registry::BackendRegistry;
use telemetry::metrics::MetricRegistry;

use crate::keepers::HostKeepers;
use crate::links::PeerLinks;
use crate::peers::PeerTable;
use crate::settings::EntrySettings;
use crate::standing::{HostStanding, StandingFacts};
use crate::steering::HostSteering;

/// What all parts of the process share.
#[derive(Debug)]
pub struct EntryContext {
    /// Checked settings.
    pub settings: EntrySettings,
    /// Source of the time.
    pub clock: TimeSource,
    /// What is in force.
    pub holder: Arc<StateHolder>,
    /// Announced backend servers.
    pub registry: Arc<BackendRegistry>,
    /// Routes and look-ups.
    pub steering: HostSteering,
    /// Idempotency keys that this host keeps.
    pub keepers: HostKeepers,
    /// Connections to other entry hosts.
    pub links: PeerLinks,
    /// Metrics of the process.
    pub metrics: MetricRegistry,
    /// Number that grows with each start of the process.
    pub incarnation: u64,
    /// Answered and refused exchanges with other entry hosts.
    pub exchanges: ExchangeCounts,
    peers: Mutex<PeerTable>,
    stopping: AtomicBool,
}

/// Counts of exchanges with other entry hosts.
#[derive(Debug, Default)]
pub struct ExchangeCounts {
    /// Exchanges that were answered.
    pub answered: AtomicU64,
    /// Exchanges without an answer in time.
    pub failed: AtomicU64,
}

impl EntryContext {
    /// Creates what a process with these settings shares.
    pub fn new(settings: EntrySettings, clock: TimeSource, metrics: MetricRegistry) -> Self {
        let peers = PeerTable::new(clock.now(), settings.name.clone());
        let registry = Arc::new(BackendRegistry::new());
        let keepers = HostKeepers::new(clock.now());
        let links = PeerLinks::new(settings.token.clone());
        Self {
            settings,
            clock,
            holder: Arc::default(),
            steering: HostSteering::new(Arc::clone(&registry)),
            registry,
            keepers,
            links,
            metrics,
            incarnation: start_number(),
            exchanges: ExchangeCounts::default(),
            peers: Mutex::new(peers),
            stopping: AtomicBool::new(false),
        }
    }

    /// Tells whether the host may take new work now.
    pub fn standing(&self) -> HostStanding {
        let now = self.clock.now();
        let view = self.holder.view();
        let mut facts = StandingFacts {
            confirmed: view.confirmed,
            beat_age: view.heartbeat_age(now),
            hosts: 0,
            heard: 0,
            stopping: self.is_stopping(),
        };
        if !facts.is_fresh() {
            facts.hosts = state::live(&view.state.hosts).count();
            facts.heard = self.peers().heard(now, &view.state);
        }
        facts.standing()
    }

    /// Returns the table of the other entry hosts.
    pub fn peers(&self) -> MutexGuard<'_, PeerTable> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns the present moment.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }
}

/// Returns a number that grows with each start, from the time of day.
fn start_number() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}
