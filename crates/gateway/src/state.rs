//! State of an entry host: routes, backend servers and readiness.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_std::task;
use balance::balancer::LoadBalancer;
use balance::settings::BalanceSettings;
use clock::pause::{self, AwakeClock};
use director::feed::FeedMark;
use director::hosts::{self, HostsByName};
use director::message::{FollowReply, LoadReading, SpillShare};
use fleet::change::{FleetChange, FleetUpdate};
use fleet::delta::{DeltaError, SiteCopy, SiteDelta, SiteStamp};
use fleet::hint::ServerIncarnation;
use fleet::history::SiteUpdate;
use fleet::ids;
use fleet::limit::LimitNotice;
use fleet::parts::{PartCollector, PartMark};
use fleet::site::{RouteSpec, SiteConfig};
use fleet::suspect::RunNotice;
use identity::decision::{CopyFreshness, KeyTerms};
use quota::decision::QuotaDecision;
use quota::gate::GateSummary;
use quota::message::{QuotaNotices, QuotaReport};
use quota::terms::{BootTime, QuotaTerms};
use serde::Serialize;

use crate::access::AccessTable;
use crate::quotas::HostQuotas;

/// Age of the latest confirmation up to which the state counts as current.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(2_000);

/// Interval at which the host notices that it stood still.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// The configuration in force.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Version of the configuration; 0 before the first one.
    pub version: ids::SiteVersion,
    /// The configuration, with the routes.
    pub site: Arc<SiteConfig>,
    /// Who may call.
    pub access: AccessTable,
}

/// Versions of what a host knows, from which a control replica determines the updates that it needs.
#[derive(Debug, Clone, Copy, Default)]
pub struct FollowedVersions {
    /// Revision of the routes and backend servers; `None` before the first reply.
    pub revision: Option<ids::Revision>,
    /// The configuration; `None` before the first one.
    pub site: Option<SiteStamp>,
    /// Position in the parts of a configuration.
    pub part: PartMark,
    /// Digest of the list of entry hosts; 0 while there is none.
    pub hosts_digest: u64,
    /// Digest of the cold backend servers.
    pub cold_digest: u64,
    /// Digest of the hints that backend servers are leaving.
    pub hints_digest: u64,
    /// Position in the changes of limits.
    pub limits: FeedMark,
    /// Digest of the watched requests.
    pub watched_digest: u64,
}

/// Position of the host in the updates from the control replicas, and the addresses of these.
#[derive(Debug, Default)]
struct FollowedState {
    versions: FollowedVersions,
    /// Whether a difference didn't fit the configuration, or the replica knows none, so that the host needs
    /// the whole state.
    needs_whole: bool,
    /// The configuration that the host gets in parts.
    collector: PartCollector,
    /// Entry hosts that are alive, by name.
    hosts: HostsByName,
    /// Time at which a control replica last was certain that the state is the committed one.
    confirmed_at: Option<Instant>,
    /// That time by the clock that also counts while the machine is suspended.
    confirmed_boot: Duration,
    /// Control replicas from the latest confirmed reply.
    replicas: Vec<SocketAddr>,
    /// Control replicas from the settings.
    seeds: Vec<SocketAddrV4>,
}

impl FollowedState {
    /// Collects what a reply holds of a configuration that isn't complete or isn't yet the one in force.
    /// Returns whether it does; such a reply changes nothing that is in force.
    fn collect(&mut self, reply: &FollowReply) -> bool {
        let collected = match (&reply.site, &reply.update) {
            (SiteUpdate::Part(part), _) => {
                if part.offset == 0 {
                    log::info!(
                        target: "routes",
                        "configuration collected in parts; version={} bytes={}",
                        part.stamp.version, part.length
                    );
                }
                self.collector.add(part).map_err(|e| e.to_string())
            }
            (SiteUpdate::Deltas(deltas), FleetUpdate::Current)
                if self.collector.complete().is_some() =>
            {
                self.collector.advance(deltas).map_err(|e| e.to_string())
            }
            _ => return false,
        };
        self.needs_whole = true;
        if let Err(e) = collected {
            log::warn!(target: "routes", "collected parts dropped, they are asked for anew: {e}");
            self.collector.clear();
        }
        true
    }
}

/// How long work took on the machine of a backend server, for operators.
#[derive(Debug, Serialize)]
pub struct MachineFigure {
    /// Percent of the usual.
    pub work_percent: u32,
    /// Milliseconds since it was told.
    pub age_ms: u128,
}

/// Summary of the state of an entry host, for operators.
#[derive(Debug, Serialize)]
pub struct GatewayDump {
    /// Whether the host accepts clients.
    pub ready: bool,
    /// Whether a shutdown has begun.
    pub stopping: bool,
    /// Version of the configuration in force; 0 before the first one.
    pub version: ids::SiteVersion,
    /// Revision of the routes and backend servers; `None` before the first reply.
    pub revision: Option<ids::Revision>,
    /// Milliseconds since the state was last confirmed.
    pub confirmed_ago_ms: Option<u128>,
    /// Number of entry hosts that are ready, at least 1.
    pub hosts: usize,
    /// Load in requests of each backend server that has a recent load report.
    pub loads: BTreeMap<ids::ServerId, f64>,
    /// Latest figure of the machine of each backend server that has told one.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub machines: BTreeMap<ids::ServerId, MachineFigure>,
    /// Limit in requests a second of each limited backend server, for all hosts together.
    pub limits: BTreeMap<ids::ServerId, f64>,
    /// Number of quarantined requests.
    pub quarantined: usize,
    /// Quotas of organisations; `None` where the deployment has none.
    pub quotas: Option<GateSummary>,
}

/// State that the tasks of an entry host share.
#[derive(Debug)]
pub struct GatewayState {
    routes: ArcSwap<RouteTable>,
    balancer: Mutex<LoadBalancer>,
    followed: Mutex<FollowedState>,
    quotas: HostQuotas,
    /// Credit of each service in the traffic split of a route, by the name of the route.
    split_credits: Mutex<HashMap<String, Vec<f64>>>,
    /// Longest time without a confirmation for which known keys are served; `None` for no limit.
    max_key_age: Option<Duration>,
    stopping: AtomicBool,
    /// Whether a server has reported an absurd figure of its machine.
    odd_load: AtomicBool,
    awake: AwakeClock,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl GatewayState {
    /// Creates the state of a host that has no configuration yet.
    pub fn new(
        settings: BalanceSettings,
        max_key_age: Option<Duration>,
        quota: Option<QuotaTerms>,
    ) -> Arc<Self> {
        Arc::new(Self {
            routes: ArcSwap::default(),
            balancer: Mutex::new(LoadBalancer::new(settings)),
            followed: Mutex::default(),
            quotas: HostQuotas::new(quota),
            split_credits: Mutex::default(),
            max_key_age,
            stopping: AtomicBool::new(false),
            odd_load: AtomicBool::new(false),
            awake: AwakeClock::new(),
        })
    }

    /// Returns the configuration in force.
    pub fn routes(&self) -> Arc<RouteTable> {
        self.routes.load_full()
    }

    /// Returns the time for which the host ran: its own pauses are no latency of a server.
    pub fn awake_time(&self) -> Duration {
        self.awake.now()
    }

    /// Keeps track of the pauses of the host; never ends.
    pub async fn watch_pauses(self: Arc<Self>) {
        loop {
            if let Some(pause) = self.awake.tick(pause::boot_time(), TICK_INTERVAL) {
                log::warn!(
                    target: "state",
                    "the host stood still, which counts as no latency of a server; paused_ms={}",
                    pause.as_millis()
                );
            }
            task::sleep(TICK_INTERVAL).await;
        }
    }

    /// Records that a server reported an absurd figure of its machine. Returns whether one did before.
    pub fn mark_odd_load(&self) -> bool {
        self.odd_load.swap(true, Ordering::Relaxed)
    }

    /// Locks the balancer. The guard must not be held across an `await`.
    pub fn balancer(&self) -> MutexGuard<'_, LoadBalancer> {
        lock(&self.balancer)
    }

    /// Returns whether the host accepts clients: it has a configuration and isn't stopping.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.routes.load().version > 0
    }

    /// Returns whether a shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Marks the host as stopping.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns whether the state was confirmed recently, so that a route it lacks doesn't exist.
    pub fn is_current(&self, now: Instant) -> bool {
        self.confirmation_age(now)
            .is_some_and(|age| age < MAX_CONFIRMATION_AGE)
    }

    /// Returns the time since the state was last confirmed, also that for which the machine was suspended;
    /// `None` where it never was.
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        let followed = lock(&self.followed);
        let age = now.saturating_duration_since(followed.confirmed_at?);
        let boot_age = pause::boot_time().saturating_sub(followed.confirmed_boot);
        Some(age.max(boot_age))
    }

    /// Returns how far the keys of the configuration can be relied on.
    pub fn key_freshness(&self, now: Instant) -> CopyFreshness {
        let terms = KeyTerms {
            max_age: MAX_CONFIRMATION_AGE,
            max_key_age: self.max_key_age,
        };
        terms.freshness(self.confirmation_age(now))
    }

    /// Returns the versions of what the host knows.
    pub fn followed_versions(&self) -> FollowedVersions {
        let followed = lock(&self.followed);
        let mut versions = followed.versions;
        versions.part = followed.collector.mark();
        if followed.needs_whole {
            versions.revision = None;
            versions.site = followed.collector.complete().map(|(stamp, _)| stamp);
        }
        versions
    }

    /// Takes the backend servers that told this host since the last call that they are leaving.
    pub fn take_leaving(&self) -> Vec<ServerIncarnation> {
        self.balancer().take_leaving()
    }

    /// Returns what runs of suspect requests showed, to report to the control replicas until
    /// [`confirm_report`](Self::confirm_report).
    pub fn report_runs(&self, now: Instant) -> Vec<RunNotice> {
        self.balancer().report_runs(now)
    }

    /// Records that a control replica received the latest reports.
    pub fn confirm_report(&self) {
        self.balancer().confirm_report();
    }

    /// Returns the limits of backend servers to report to the control replicas until
    /// [`confirm_report`](Self::confirm_report).
    pub fn report_limits(&self, now: Instant) -> Vec<LimitNotice> {
        self.balancer().report_limits(now)
    }

    /// Takes the backend servers, by their position, that left an attempt since the last call without an
    /// answer in time, and have answered none since.
    pub fn take_unanswered(&self) -> Vec<u32> {
        let mut balancer = self.balancer();
        let unanswered = balancer.take_unanswered();
        unanswered.map(|position| position as u32).collect()
    }

    /// Returns the spill shares of the services, to be shared with the other hosts.
    pub fn spill_shares(&self) -> Vec<SpillShare> {
        let balancer = self.balancer();
        let shares = balancer.spill_shares().map(|(service, share)| SpillShare {
            service: service.clone(),
            share: share as f32,
        });
        shares.collect()
    }

    /// Takes the loads that backend servers reported since the last call, to be shared with the
    /// other hosts.
    pub fn take_readings(&self) -> Vec<LoadReading> {
        let mut balancer = self.balancer();
        let readings = balancer.take_readings();
        let readings = readings.map(|(position, requests)| LoadReading {
            server_index: position as u32,
            requests,
        });
        readings.collect()
    }

    /// Decides whether a request is within the quota of its organisation over all hosts, and counts it.
    pub fn take_quota(&self, organisation: &str) -> QuotaDecision {
        self.quotas.take(organisation)
    }

    /// Takes back the admission of a request that certainly didn't run and won't.
    pub fn refund_quota(&self, organisation: &str) {
        self.quotas.refund(organisation);
    }

    /// Returns the requests of organisations with a quota that no control replica has confirmed yet;
    /// `None` where the deployment has no quotas.
    pub fn report_quotas(&self) -> Option<QuotaReport> {
        self.quotas.report()
    }

    /// Applies what a control replica answered to the report in a call that was sent at `sent_at`, by the
    /// boot clock; `confirmed` tells whether the replica's state is confirmed.
    pub fn apply_quotas(&self, sent_at: BootTime, notices: Option<&QuotaNotices>, confirmed: bool) {
        self.quotas.apply(sent_at, notices, confirmed);
    }

    /// Returns a summary of the state.
    pub fn dump(&self) -> GatewayDump {
        let now = Instant::now();
        let revision = self.followed_versions().revision;
        let confirmed_at = lock(&self.followed).confirmed_at;
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
            machines: machine_figures(now, &balancer),
            limits: balancer.limits(),
            quarantined: balancer.quarantined(),
            quotas: self.quotas.summary(),
        }
    }

    /// Returns the addresses of the control replicas; empty before the first confirmed reply.
    pub fn replicas(&self) -> Vec<SocketAddr> {
        lock(&self.followed).replicas.clone()
    }

    /// Returns the seeds.
    pub fn seeds(&self) -> Vec<SocketAddrV4> {
        lock(&self.followed).seeds.clone()
    }

    /// Sets the seeds from the settings; called at the start and when the settings change.
    pub fn set_seeds(&self, seeds: &[SocketAddrV4]) {
        lock(&self.followed).seeds = seeds.to_vec();
    }

    /// Sets the addresses of the control replicas.
    pub fn set_replicas(&self, replicas: &[SocketAddr]) {
        lock(&self.followed).replicas = replicas.to_vec();
    }

    /// Applies a reply of a control replica. A reply with an update that is older than the state,
    /// or with changes that aren't newer, is ignored as a whole. One with a part of a configuration is
    /// kept until all are there.
    pub fn apply_reply(&self, now: Instant, reply: FollowReply) {
        let mut followed = lock(&self.followed);
        if followed.collect(&reply) {
            return;
        }
        if !is_newer(followed.versions.revision, &reply.update) {
            return;
        }
        let site = match self.resolve_site(&followed, &reply.site) {
            Ok(site) => site,
            Err(e) => {
                log::warn!(target: "routes", "reply ignored, the whole state is asked for: {e}");
                followed.needs_whole = true;
                followed.collector.clear();
                return;
            }
        };
        match reply.update {
            FleetUpdate::Current => {}
            FleetUpdate::Changes { revision, changes } => {
                let mut balancer = self.balancer();
                for change in changes {
                    balancer.apply(now, &change);
                    if let FleetChange::Site {
                        version,
                        site,
                        access,
                    } = change
                    {
                        let copy = SiteCopy {
                            version,
                            site,
                            access,
                        };
                        self.set_site(&mut followed, copy.stamp(), copy);
                    }
                }
                followed.versions.revision = Some(revision);
            }
            FleetUpdate::Whole(mut view) => {
                followed.needs_whole = false;
                followed.collector.clear();
                followed.versions.revision = Some(view.revision);
                if reply.site == SiteUpdate::Whole {
                    let copy = SiteCopy {
                        version: view.version,
                        site: view.site.clone(),
                        access: view.access.clone(),
                    };
                    let (stamp, known) = (copy.stamp(), followed.versions.site);
                    let is_other = known.is_some() && known != stamp;
                    if is_other || copy.version != self.routes.load().version {
                        self.set_site(&mut followed, stamp, copy);
                    }
                } else {
                    let collected = site.as_ref().map(|(_, copy)| copy.site.clone());
                    view.site = collected.unwrap_or_else(|| self.routes.load().site.clone());
                }
                self.balancer().set_view(now, &view);
            }
        }
        if let Some((stamp, copy)) = site {
            let change = FleetChange::Site {
                version: copy.version,
                site: copy.site.clone(),
                access: copy.access.clone(),
            };
            self.balancer().apply(now, &change);
            self.set_site(&mut followed, Some(stamp), copy);
        }
        let mut balancer = self.balancer();
        for (id, period) in reply.cold.iter().flatten() {
            balancer.set_cold(now, id, *period);
        }
        for mean in &reply.shares {
            balancer.approach_mean_share(&mean.service, f64::from(mean.share));
        }
        // The loads are in the order of the backend servers at this revision. Most answers after a change
        // carry none.
        let loads_fit = followed.versions.revision == Some(reply.loads.revision);
        if loads_fit && !reply.loads.is_empty() {
            balancer.set_shared_loads(now, reply.loads.means());
        }
        if let Some(hints) = &reply.hints {
            balancer.set_hints(now, hints);
        }
        balancer.merge_limits(now, &reply.limits);
        followed.versions.limits = reply.limits_mark;
        if let Some(watched) = reply.watched {
            balancer.set_watched(watched);
        }
        followed.versions.watched_digest = reply.watched_digest;
        followed.versions.cold_digest = reply.cold_digest;
        followed.versions.hints_digest = reply.hints_digest;
        if reply.hosts.apply(&mut followed.hosts) {
            let digest = hosts::digest(&followed.hosts);
            // A list that differs from that of the replica is replaced as a whole by the next reply.
            followed.versions.hosts_digest = if digest == reply.hosts_digest {
                digest
            } else {
                0
            };
            let ready = followed.hosts.values().filter(|host| host.ready);
            let ready = ready.map(|host| (host.name.clone(), host.zone.clone()));
            balancer.set_hosts(now, ready.collect());
            self.quotas.set_hosts(balancer.host_count());
        }
        let confirmed_at = reply.confirmed_ago.and_then(|ago| now.checked_sub(ago));
        if confirmed_at > followed.confirmed_at {
            let age = reply.confirmed_ago.unwrap_or_default();
            followed.confirmed_boot = pause::boot_time().saturating_sub(age);
            followed.confirmed_at = confirmed_at;
            if let Some(confirmed_at) = confirmed_at {
                balancer.set_confirmed(confirmed_at);
            }
        }
    }

    /// Returns the configuration to which a difference leads, or which the host has collected; `None` where
    /// there is none.
    ///
    /// # Errors
    ///
    /// Fails where the replica took this host to have another configuration than it has.
    fn resolve_site(
        &self,
        followed: &FollowedState,
        update: &SiteUpdate,
    ) -> Result<Option<(SiteStamp, SiteCopy)>, DeltaError> {
        let routes = self.routes.load();
        let known = followed.versions.site;
        let collected = followed.collector.complete();
        match update {
            SiteUpdate::Whole | SiteUpdate::Part(_) => Ok(None),
            SiteUpdate::Current(stamp) if known == Some(*stamp) => Ok(None),
            SiteUpdate::Current(stamp) => match collected {
                Some((known, copy)) if known == *stamp => Ok(Some((known, copy.clone()))),
                _ => Err(DeltaError::OtherBase(routes.version, stamp.version)),
            },
            SiteUpdate::Deltas(deltas) => {
                let (known, copy) = match collected {
                    Some((known, copy)) => (known, copy.clone()),
                    None => {
                        let copy = SiteCopy {
                            version: routes.version,
                            site: routes.site.clone(),
                            access: routes.access.policy().clone(),
                        };
                        (known.unwrap_or_default(), copy)
                    }
                };
                let copy = SiteDelta::apply_all(deltas, &copy, known)?;
                Ok(deltas.last().map(|delta| (delta.result(), copy)))
            }
        }
    }

    fn set_site(&self, followed: &mut FollowedState, stamp: Option<SiteStamp>, copy: SiteCopy) {
        let SiteCopy {
            version,
            site,
            access,
        } = copy;
        log::info!(
            target: "routes",
            "configuration in force; version={version} organisations={}",
            access.organisations.len()
        );
        followed.versions.site = stamp;
        lock(&self.split_credits).clear();
        self.quotas.set_policy(&access);
        self.routes.store(Arc::new(RouteTable {
            version,
            site,
            access: AccessTable::new(access),
        }));
    }

    /// Chooses the service of a request by the weights in the traffic split of its route. Returns
    /// `None` if no service has a positive weight.
    ///
    /// The choice is a smooth weighted round-robin, so that even a few consecutive requests are
    /// split by the weights.
    pub fn choose_service<'a>(&self, route: &'a RouteSpec) -> Option<&'a str> {
        let total: f64 = route.split.iter().map(|part| f64::from(part.weight)).sum();
        if total <= 0.0 {
            return None;
        }
        if let [only] = route.split.as_slice() {
            return Some(&only.service);
        }
        let mut split_credits = lock(&self.split_credits);
        let credits = split_credits
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

/// Returns whether an update may be applied to a state at a revision: changes must be newer, and a whole
/// state not older.
fn is_newer(known: Option<ids::Revision>, update: &FleetUpdate) -> bool {
    match update {
        FleetUpdate::Current => true,
        FleetUpdate::Changes { revision, .. } => known.is_some_and(|known| *revision > known),
        FleetUpdate::Whole(view) => known.is_none_or(|known| view.revision >= known),
    }
}

/// Returns the latest figures of the machines of backend servers.
fn machine_figures(
    now: Instant,
    balancer: &LoadBalancer,
) -> BTreeMap<ids::ServerId, MachineFigure> {
    let figures = balancer.work_percents(now).into_iter();
    let figures = figures.map(|(id, (work_percent, age))| {
        let age_ms = age.as_millis();
        (
            id,
            MachineFigure {
                work_percent,
                age_ms,
            },
        )
    });
    figures.collect()
}
