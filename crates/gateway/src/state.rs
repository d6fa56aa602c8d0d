//! What the host knows: routes, backend servers, and whether it serves.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use balance::balancer::LoadBalancer;
use balance::settings::BalanceSettings;
use director::message::{FollowReply, LoadReading, SpillShare};
use fleet::change::{FleetUpdate, FleetView};
use fleet::ids;
use fleet::site::{RouteSpec, SiteConfig};
use serde::Serialize;

/// Age of the last confirmed state up to which a missing route is known to be missing.
const CURRENT_LIMIT: Duration = Duration::from_millis(2_000);

/// Routes in force.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Number of the configuration; 0 before the first.
    pub version: ids::SiteVersion,
    /// The configuration.
    pub site: SiteConfig,
}

#[derive(Debug, Default)]
struct Knowledge {
    revision: Option<ids::Revision>,
    hosts_digest: u64,
    cold_digest: u64,
    confirmed_at: Option<Instant>,
    replicas: Vec<SocketAddr>,
    seeds: Vec<SocketAddrV4>,
}

/// State of an entry host, for operators.
#[derive(Debug, Serialize)]
pub struct GatewayDump {
    /// Whether it takes clients.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Number of the configuration in force.
    pub version: ids::SiteVersion,
    /// Revision of the state that it follows.
    pub revision: Option<ids::Revision>,
    /// Milliseconds since the state was last confirmed.
    pub confirmed_ago_ms: Option<u128>,
    /// Ready entry hosts that it knows.
    pub hosts: usize,
    /// Load of each backend server, as it is taken to be.
    pub loads: BTreeMap<ids::ServerId, f64>,
}

/// What the tasks of an entry host share.
#[derive(Debug)]
pub struct GatewayState {
    routes: ArcSwap<RouteTable>,
    balancer: Mutex<LoadBalancer>,
    knowledge: Mutex<Knowledge>,
    splits: Mutex<HashMap<String, Vec<f64>>>,
    stopping: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl GatewayState {
    /// Creates the state of a host that knows nothing yet.
    pub fn new(settings: BalanceSettings) -> Arc<Self> {
        Arc::new(Self {
            routes: ArcSwap::default(),
            balancer: Mutex::new(LoadBalancer::new(settings)),
            knowledge: Mutex::default(),
            splits: Mutex::default(),
            stopping: AtomicBool::new(false),
        })
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> Arc<RouteTable> {
        self.routes.load_full()
    }

    /// Locks the balancer; never across a wait.
    pub fn balancer(&self) -> MutexGuard<'_, LoadBalancer> {
        lock(&self.balancer)
    }

    /// Tells whether the host takes clients.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.routes.load().version > 0
    }

    /// Tells whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a planned stop.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Tells whether what the host knows was confirmed a short time ago.
    pub fn is_current(&self, now: Instant) -> bool {
        let confirmed_at = lock(&self.knowledge).confirmed_at;
        confirmed_at.is_some_and(|confirmed_at| now < confirmed_at + CURRENT_LIMIT)
    }

    /// Returns the revision and the digests that a call to a control replica names.
    pub fn known(&self) -> (Option<ids::Revision>, u64, u64) {
        let knowledge = lock(&self.knowledge);
        (
            knowledge.revision,
            knowledge.hosts_digest,
            knowledge.cold_digest,
        )
    }

    /// Returns the shares of requests that leave this region, for the other hosts.
    pub fn spill_shares(&self) -> Vec<SpillShare> {
        let balancer = self.balancer();
        let shares = balancer.spill_shares().map(|(service, share)| SpillShare {
            service: service.clone(),
            share: share as f32,
        });
        shares.collect()
    }

    /// Takes the loads that were reported since the last time, for the other hosts.
    pub fn take_readings(&self) -> Vec<LoadReading> {
        let mut balancer = self.balancer();
        let readings = balancer.take_readings();
        let readings = readings.map(|(place, requests)| LoadReading {
            server_index: place as u32,
            requests,
        });
        readings.collect()
    }

    /// Returns the state for a dump.
    pub fn dump(&self) -> GatewayDump {
        let now = Instant::now();
        let (revision, ..) = self.known();
        let confirmed_at = lock(&self.knowledge).confirmed_at;
        let balancer = self.balancer();
        GatewayDump {
            ready: self.is_ready(),
            stopping: self.is_stopping(),
            version: self.routes.load().version,
            revision,
            confirmed_ago_ms: confirmed_at
                .map(|confirmed_at| now.saturating_duration_since(confirmed_at).as_millis()),
            hosts: balancer.host_count(),
            loads: balancer.loads(now),
        }
    }

    /// Returns the control replicas that are known.
    pub fn replicas(&self) -> Vec<SocketAddr> {
        lock(&self.knowledge).replicas.clone()
    }

    /// Returns the seeds of the settings.
    pub fn seeds(&self) -> Vec<SocketAddrV4> {
        lock(&self.knowledge).seeds.clone()
    }

    /// Notes the seeds of the settings, at the start and when they change.
    pub fn set_seeds(&self, seeds: &[SocketAddrV4]) {
        lock(&self.knowledge).seeds = seeds.to_vec();
    }

    /// Notes the control replicas.
    pub fn set_replicas(&self, replicas: &[SocketAddr]) {
        lock(&self.knowledge).replicas = replicas.to_vec();
    }

    /// Takes in what a control replica told; older states change nothing.
    pub fn learn(&self, now: Instant, reply: FollowReply) {
        let mut knowledge = lock(&self.knowledge);
        match reply.update {
            FleetUpdate::Current => {}
            FleetUpdate::Changes { revision, changes } => {
                if knowledge.revision.is_none_or(|known| revision <= known) {
                    return;
                }
                let mut balancer = self.balancer();
                for change in changes {
                    balancer.apply(now, &change);
                    if let fleet::change::FleetChange::Site { version, site } = change {
                        self.set_routes(version, site);
                    }
                }
                knowledge.revision = Some(revision);
            }
            FleetUpdate::Whole(view) => {
                if knowledge
                    .revision
                    .is_some_and(|known| view.revision < known)
                {
                    return;
                }
                knowledge.revision = Some(view.revision);
                self.set_view(now, *view);
            }
        }
        let mut balancer = self.balancer();
        for (id, period) in &reply.cold {
            balancer.set_cold(now, id, *period);
        }
        for mean in &reply.shares {
            balancer.approach_mean_share(&mean.service, f64::from(mean.share));
        }
        if knowledge.revision == Some(reply.loads.revision) {
            balancer.set_shared_loads(now, reply.loads.means());
        }
        knowledge.cold_digest = reply.cold_digest;
        if let Some(hosts) = reply.hosts {
            let ready = hosts.into_iter().filter(|host| host.ready);
            balancer.set_hosts(ready.map(|host| (host.name, host.zone)).collect());
            knowledge.hosts_digest = reply.hosts_digest;
        }
        let confirmed_at = reply.confirmed_ago.and_then(|ago| now.checked_sub(ago));
        knowledge.confirmed_at = knowledge.confirmed_at.max(confirmed_at);
    }

    fn set_view(&self, now: Instant, view: FleetView) {
        self.balancer().set_view(now, &view);
        if view.version != self.routes.load().version {
            self.set_routes(view.version, view.site);
        }
    }

    fn set_routes(&self, version: ids::SiteVersion, site: SiteConfig) {
        log::info!(target: "routes", "configuration in force; version={version}");
        lock(&self.splits).clear();
        self.routes.store(Arc::new(RouteTable { version, site }));
    }

    /// Chooses the service of a request by the weights of its route, evenly over short spans.
    pub fn split<'a>(&self, route: &'a RouteSpec) -> Option<&'a str> {
        let total: f64 = route.split.iter().map(|part| f64::from(part.weight)).sum();
        if let [only] = route.split.as_slice() {
            return Some(&only.service);
        }
        if total <= 0.0 {
            return None;
        }
        let mut splits = lock(&self.splits);
        let credits = splits
            .entry(route.name.clone())
            .or_insert_with(|| vec![0.0; route.split.len()]);
        credits.resize(route.split.len(), 0.0);
        for (credit, part) in credits.iter_mut().zip(&route.split) {
            *credit += f64::from(part.weight) / total;
        }
        let chosen = (0..credits.len()).max_by(|a, b| credits[*a].total_cmp(&credits[*b]))?;
        credits[chosen] -= 1.0;
        Some(&route.split[chosen].service)
    }
}
