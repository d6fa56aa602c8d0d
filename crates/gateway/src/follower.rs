//! State updates from the control replicas.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use clock::pause;
use director::address;
use director::core::MAX_CONFIRMATION_AGE;
use director::feed::FeedMark;
use director::mesh::MeshLinks;
use director::message::{FollowReply, FollowRequest, HostStatus, MeshReply, MeshRequest};
use quorum::ids::ReplicaId;
use quota::terms::BootTime;
use rand::seq::SliceRandom;
use rand::Rng;

use crate::proximity;
use crate::settings::GatewaySettings;
use crate::state::GatewayState;

/// Longest time for which a control replica holds a call while there is no update (long polling).
const LONG_POLL_WAIT: Duration = Duration::from_millis(350);

/// Time limit for the answer to a call, in addition to the long polling wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time between two measurements of the round trips to the control replicas.
const PROBE_INTERVAL: Duration = Duration::from_secs(10);

/// Longest random addition to the probe interval, so that hosts that start together don't measure at
/// the same time.
const MAX_PROBE_JITTER: Duration = Duration::from_secs(5);

/// Time between a failed call and the next one.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Keeps the state of the host up to date by calls to one control replica at a time.
#[derive(Debug)]
pub struct StateFollower {
    settings: GatewaySettings,
    state: Arc<GatewayState>,
    mesh: MeshLinks,
    /// Control replicas, the one that is called first.
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
            mesh: MeshLinks::new(0),
            replicas,
            confirmed: false,
            next_probe: Instant::now(),
        }
    }

    /// Updates the state until the process ends.
    pub async fn run(mut self) {
        loop {
            if !self.follow_once(LONG_POLL_WAIT).await {
                self.rotate_replicas();
                task::sleep(RETRY_DELAY).await;
            } else if self.next_probe <= Instant::now() {
                self.prefer_nearby().await;
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

    /// Calls the current replica and applies its reply. Returns whether the replica confirmed its
    /// state; if not, the next call goes to another replica.
    async fn follow_once(&mut self, max_wait: Duration) -> bool {
        let Some(replica) = self.replicas.first().copied() else {
            return false;
        };
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
        let sent_at = pause::boot_time();
        let reply = self.mesh.call(replica, &request, max_wait + ANSWER_TIMEOUT);
        match reply.await {
            Ok(MeshReply::Followed(reply)) => {
                self.state.confirm_report();
                let confirmed = self.apply_reply(sent_at, *reply);
                self.record_confirmed(replica, confirmed);
                confirmed
            }
            Ok(_) => false,
            Err(e) => {
                log::debug!(
                    target: "follow",
                    "call to the control replica failed; replica={replica} error={e}"
                );
                self.record_confirmed(replica, false);
                false
            }
        }
    }

    /// Applies the reply to a call that was sent at `sent_at`. Returns whether its replica recently confirmed its state with a quorum.
    fn apply_reply(&mut self, sent_at: BootTime, mut reply: FollowReply) -> bool {
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
        self.state.apply_reply(now, reply);
        self.state.apply_quotas(sent_at, quotas.as_ref(), confirmed);
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

    /// Makes the next replica the current one. Adds the seeds first, as the settings may have
    /// changed.
    fn rotate_replicas(&mut self) {
        for seed in self.state.seeds() {
            let seed = SocketAddr::from(seed);
            if !self.replicas.contains(&seed) {
                self.replicas.push(seed);
            }
        }
        if self.replicas.len() > 1 {
            self.replicas.rotate_left(1);
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
