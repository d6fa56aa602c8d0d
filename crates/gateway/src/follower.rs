//! State updates from the control replicas.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clock::pause;
use director::address;
use director::core::MAX_CONFIRMATION_AGE;
use director::feed::FeedMark;
use director::mesh::{MeshError, MeshLinks};
use director::message::{FollowReply, FollowRequest, HostStatus, MeshReply, MeshRequest};
use futures_util::future;
use futures_util::stream::{FuturesUnordered, StreamExt};
use futures_util::FutureExt;
use quorum::ids::ReplicaId;
use quota::terms::BootTime;
use rand::seq::SliceRandom;
use rand::Rng;
use wire::dial::DialTimeouts;

use crate::calls::{self, CallId, CallStep, FollowCalls};
use crate::proximity;
use crate::settings::GatewaySettings;
use crate::state::GatewayState;

/// Longest time for which a control replica holds a call while there is no update (long polling).
const LONG_POLL_WAIT: Duration = Duration::from_millis(350);

/// Timeouts of a connection to a control replica. They leave room for a link that is full of other
/// traffic: late calls don't delay those to other replicas.
const DIAL_TIMEOUTS: DialTimeouts = DialTimeouts {
    connect: Duration::from_millis(1_500),
    ping: calls::GIVE_UP_TIMEOUT,
};

/// Time between two measurements of the round trips to the control replicas.
const PROBE_INTERVAL: Duration = Duration::from_secs(10);

/// Longest random addition to the probe interval, so that hosts that start together don't measure at
/// the same time.
const MAX_PROBE_JITTER: Duration = Duration::from_secs(5);

/// How a call ended.
#[derive(Debug)]
struct CallEnd {
    id: CallId,
    replica: SocketAddr,
    /// Time of the boot clock at which the call was sent.
    sent_at: BootTime,
    /// Time of the call in which the replica can't have held it.
    transfer: Duration,
    result: Result<MeshReply, MeshError>,
}

/// Keeps the state of the host up to date by calls to control replicas.
#[derive(Debug)]
pub struct StateFollower {
    settings: GatewaySettings,
    state: Arc<GatewayState>,
    mesh: MeshLinks,
    calls: FollowCalls,
    /// Control replicas, in the order in which they are called.
    replicas: Vec<SocketAddr>,
    /// Whether the host gets confirmed states; a change is logged.
    confirmed: bool,
    /// Time of the next measurement of the round trips to the replicas.
    next_probe: Instant,
}

impl StateFollower {
    /// Creates a follower that calls the seeds first, in random order.
    pub fn new(settings: GatewaySettings, state: Arc<GatewayState>) -> Self {
        let mut replicas: Vec<_> = settings.seeds.iter().map(|seed| (*seed).into()).collect();
        replicas.shuffle(&mut rand::rng());
        state.set_seeds(&settings.seeds);
        Self {
            settings,
            state,
            mesh: MeshLinks::new(0).with_timeouts(DIAL_TIMEOUTS),
            calls: FollowCalls::new(),
            replicas,
            confirmed: false,
            next_probe: Instant::now(),
        }
    }

    /// Updates the state until the process ends.
    pub async fn run(mut self) {
        let mut running = FuturesUnordered::new();
        loop {
            let until = match self.calls.next(Instant::now(), &self.replicas) {
                CallStep::Call(replica) => {
                    running.push(self.begin_call(replica, LONG_POLL_WAIT).boxed());
                    continue;
                }
                CallStep::Wait(until) => until,
            };
            let Some(end) = next_end(&mut running, until).await else {
                if running.is_empty() {
                    self.add_seeds();
                }
                continue;
            };
            if self.apply_end(end) {
                running.clear();
                self.calls.end_all();
                if self.next_probe <= Instant::now() {
                    self.prefer_nearby().await;
                }
            }
        }
    }

    /// Notifies all replicas that the host is no longer ready for clients. Doesn't wait for their
    /// answers.
    pub fn announce_stop(settings: &GatewaySettings, replicas: &[SocketAddr]) {
        let mesh = MeshLinks::new(0);
        let request = MeshRequest::Follow(Box::new(status_request(settings, false)));
        for replica in replicas {
            mesh.send(*replica, &request);
        }
    }

    /// Begins a call to a replica. It ends with the future that is returned.
    fn begin_call(
        &mut self,
        replica: SocketAddr,
        max_wait: Duration,
    ) -> impl Future<Output = CallEnd> + Send + 'static {
        if self.calls.is_calling() {
            log::info!(
                target: "follow",
                "no answer from the control replica in time, calling another one too; replica={replica}"
            );
        }
        let versions = self.state.followed_versions();
        let request = MeshRequest::Follow(Box::new(FollowRequest {
            shares: self.state.spill_shares(),
            loads: self.state.take_readings(),
            leaving: self.state.take_leaving(),
            unanswered: self.state.take_unanswered(),
            limits: self.state.report_limits(Instant::now()),
            limits_mark: versions.limits,
            runs: self.state.report_runs(Instant::now()),
            quotas: self.state.report_quotas(),
            watched_digest: versions.watched_digest,
            revision: versions.revision,
            site: versions.site,
            hosts_digest: versions.hosts_digest,
            cold_digest: versions.cold_digest,
            hints_digest: versions.hints_digest,
            part: Some(versions.part),
            max_wait,
            ..status_request(&self.settings, self.state.is_ready())
        }));
        let began_at = Instant::now();
        let id = self.calls.begin(began_at, replica, max_wait);
        let sent_at = pause::boot_time();
        let mesh = self.mesh.clone();
        async move {
            let result = mesh.call(replica, &request, max_wait + calls::GIVE_UP_TIMEOUT);
            let result = result.await;
            CallEnd {
                id,
                replica,
                sent_at,
                transfer: began_at.elapsed().saturating_sub(max_wait),
                result,
            }
        }
    }

    /// Applies the end of a call. Returns whether the replica confirmed its state; if not, later calls go
    /// to other replicas first.
    fn apply_end(&mut self, end: CallEnd) -> bool {
        let confirmed = match end.result {
            Ok(MeshReply::Followed(reply)) => {
                // A later call may have reported more.
                let is_latest = self.calls.is_latest(end.id);
                if is_latest {
                    self.state.confirm_report();
                }
                self.apply_reply(end.sent_at, end.transfer, is_latest, *reply)
            }
            Ok(_) => false,
            Err(e) => {
                log::debug!(
                    target: "follow",
                    "call to the control replica failed; replica={} error={e}",
                    end.replica
                );
                false
            }
        };
        self.record_confirmed(end.replica, confirmed);
        if confirmed {
            if let Some(index) = self.replicas.iter().position(|it| *it == end.replica) {
                self.replicas[..=index].rotate_right(1);
            }
        } else {
            self.calls.end_failed(Instant::now(), end.id);
            self.add_seeds();
            if let Some(index) = self.replicas.iter().position(|it| *it == end.replica) {
                self.replicas[index..].rotate_left(1);
            }
        }
        confirmed
    }

    /// Applies the reply to a call that was sent at `sent_at` and took `transfer` on the way; `is_latest`
    /// tells whether no call was sent after it. Returns whether its replica recently confirmed its state
    /// with a quorum.
    fn apply_reply(
        &mut self,
        sent_at: BootTime,
        transfer: Duration,
        is_latest: bool,
        mut reply: FollowReply,
    ) -> bool {
        let now = Instant::now();
        let confirmed = reply
            .confirmed_ago
            .is_some_and(|ago| ago < MAX_CONFIRMATION_AGE);
        let revision = self.state.followed_versions().revision;
        // The first state must be confirmed, because an older process that was left behind without
        // a quorum may reply with an outdated one.
        if revision.is_none() && !confirmed {
            return false;
        }
        if confirmed {
            self.set_replicas(&reply.replicas);
        }
        let quotas = reply.quotas.take();
        reply.confirmed_ago = reply.confirmed_ago.map(|ago| ago + transfer);
        self.state.apply_reply(now, reply);
        self.state
            .apply_quotas(sent_at, quotas.as_ref(), confirmed && is_latest);
        confirmed
    }

    /// Sets the control replicas; the current one stays first if it is among them.
    fn set_replicas(&mut self, replicas: &[ReplicaId]) {
        let addresses: Vec<_> = replicas.iter().map(|id| address::address_of(*id)).collect();
        if addresses.is_empty() {
            return;
        }
        self.state.set_replicas(&addresses);
        let current = self.replicas.first().copied();
        self.replicas.retain(|replica| addresses.contains(replica));
        for replica in addresses {
            if !self.replicas.contains(&replica) {
                self.replicas.push(replica);
            }
        }
        if let Some(index) = self.replicas.iter().position(|r| Some(*r) == current) {
            self.replicas.swap(0, index);
        }
    }

    /// Makes a nearby replica the current one, if there is one.
    async fn prefer_nearby(&mut self) {
        let jitter = rand::rng().random_range(Duration::ZERO..MAX_PROBE_JITTER);
        self.next_probe = Instant::now() + PROBE_INTERVAL + jitter;
        let current = self.replicas.first().copied();
        let round_trips = proximity::measure(&self.replicas).await;
        self.replicas = proximity::order(&round_trips, current, &mut rand::rng());
        let replica = self.replicas.first().copied();
        if let Some(replica) = replica.filter(|_| replica != current) {
            log::info!(target: "follow", "following a nearby control replica; replica={replica}");
        }
    }

    /// Adds the seeds, which may have changed with the settings, to the replicas.
    fn add_seeds(&mut self) {
        for seed in self.state.seeds() {
            let seed = SocketAddr::from(seed);
            if !self.replicas.contains(&seed) {
                self.replicas.push(seed);
            }
        }
    }

    /// Records whether a call gave a confirmed state, and logs a change.
    fn record_confirmed(&mut self, replica: SocketAddr, confirmed: bool) {
        if confirmed == self.confirmed {
            return;
        }
        self.confirmed = confirmed;
        if confirmed {
            log::info!(target: "follow", "state confirmed by a control replica; replica={replica}");
        } else {
            log::warn!(
                target: "follow",
                "no confirmed state from the control replica, trying another; replica={replica}"
            );
        }
    }
}

/// Waits for the end of a call, until the given time at most.
async fn next_end<F>(running: &mut FuturesUnordered<F>, until: Option<Instant>) -> Option<CallEnd>
where
    F: Future<Output = CallEnd>,
{
    let next = async {
        match running.next().await {
            Some(end) => end,
            None => future::pending().await,
        }
    };
    let Some(until) = until else {
        return Some(next.await);
    };
    let wait = until.saturating_duration_since(Instant::now());
    async_std::future::timeout(wait, next).await.ok()
}

/// Returns a request that carries only the status of the host.
fn status_request(settings: &GatewaySettings, ready: bool) -> FollowRequest {
    let balance = &settings.balance;
    FollowRequest {
        host: HostStatus {
            name: balance.host.clone(),
            address: settings.client_address,
            zone: balance.zone.clone(),
            ready,
        },
        region: balance.region(&balance.zone).to_string(),
        shares: Vec::new(),
        loads: Vec::new(),
        leaving: Vec::new(),
        unanswered: Vec::new(),
        limits: Vec::new(),
        limits_mark: FeedMark::default(),
        runs: Vec::new(),
        quotas: None,
        watched_digest: 0,
        revision: None,
        site: None,
        hosts_digest: 0,
        cold_digest: 0,
        hints_digest: 0,
        max_wait: Duration::ZERO,
        part: None,
    }
}
