//! The way of the state from the control replicas.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use director::address;
use director::core::MAX_CONFIRMATION_AGE;
use director::mesh::MeshLinks;
use director::message::{FollowReply, FollowRequest, HostStatus, MeshReply, MeshRequest};
use quorum::ids::ReplicaId;
use rand::seq::SliceRandom;

use crate::settings::GatewaySettings;
use crate::state::GatewayState;

/// Longest time that a control replica holds a call without news.
const PATIENCE: Duration = Duration::from_millis(350);

/// Time beyond that in which a call must be answered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(60);

/// Follows the control replicas, one at a time.
#[derive(Debug)]
pub struct StateFollower {
    settings: GatewaySettings,
    state: Arc<GatewayState>,
    mesh: MeshLinks,
    /// Replicas to ask, the present one first.
    replicas: Vec<SocketAddr>,
    reached: bool,
}

impl StateFollower {
    /// Creates a follower that knows of the seeds alone.
    pub fn new(settings: GatewaySettings, state: Arc<GatewayState>) -> Self {
        let mut replicas: Vec<_> = settings.seeds.iter().map(|seed| (*seed).into()).collect();
        replicas.shuffle(&mut rand::rng());
        state.set_seeds(&settings.seeds);
        Self {
            settings,
            state,
            mesh: MeshLinks::new(0),
            replicas,
            reached: false,
        }
    }

    /// Follows until the process ends.
    pub async fn run(mut self) {
        loop {
            if !self.follow_once(PATIENCE).await {
                self.rotate();
                task::sleep(FAILURE_PAUSE).await;
            }
        }
    }

    /// Tells all replicas at once that the host takes no more clients.
    pub fn announce_stop(settings: &GatewaySettings, replicas: &[SocketAddr]) {
        let mesh = MeshLinks::new(0);
        let request = MeshRequest::Follow(Box::new(bare_request(settings, false)));
        for replica in replicas {
            mesh.send(*replica, &request);
        }
    }

    /// Calls the present replica; tells whether it may be asked again.
    async fn follow_once(&mut self, patience: Duration) -> bool {
        let Some(replica) = self.replicas.first().copied() else {
            return false;
        };
        let (revision, hosts_digest, cold_digest) = self.state.known();
        let request = MeshRequest::Follow(Box::new(FollowRequest {
            shares: self.state.spill_shares(),
            loads: self.state.take_readings(),
            revision,
            hosts_digest,
            cold_digest,
            max_wait: patience,
            ..bare_request(&self.settings, self.state.is_ready())
        }));
        let reply = self.mesh.call(replica, &request, patience + ANSWER_TIMEOUT);
        match reply.await {
            Ok(MeshReply::Followed(reply)) => {
                let confirmed = self.take(*reply);
                self.note_reach(replica, confirmed);
                confirmed
            }
            Ok(_) => false,
            Err(e) => {
                log::debug!(target: "follow", "call failed; replica={replica} error={e}");
                self.note_reach(replica, false);
                false
            }
        }
    }

    /// Takes an answer in; tells whether its replica is in touch with the others.
    fn take(&mut self, reply: FollowReply) -> bool {
        let now = Instant::now();
        let confirmed = reply
            .confirmed_ago
            .is_some_and(|ago| ago < MAX_CONFIRMATION_AGE);
        let (known, ..) = self.state.known();
        // A first state must be one that no older process could have left behind.
        if known.is_none() && !confirmed {
            return false;
        }
        if confirmed {
            self.set_replicas(&reply.replicas);
        }
        self.state.learn(now, reply);
        confirmed
    }

    fn set_replicas(&mut self, replicas: &[ReplicaId]) {
        let known: Vec<_> = replicas.iter().map(|id| address::address_of(*id)).collect();
        if known.is_empty() {
            return;
        }
        self.state.set_replicas(&known);
        let present = self.replicas.first().copied();
        self.replicas.retain(|replica| known.contains(replica));
        for replica in known {
            if !self.replicas.contains(&replica) {
                self.replicas.push(replica);
            }
        }
        if let Some(place) = self.replicas.iter().position(|r| Some(*r) == present) {
            self.replicas.swap(0, place);
        }
    }

    /// Goes on to another replica; seeds that were replaced are asked too.
    fn rotate(&mut self) {
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

    fn note_reach(&mut self, replica: SocketAddr, reached: bool) {
        if reached == self.reached {
            return;
        }
        self.reached = reached;
        if reached {
            log::info!(target: "follow", "control reached; replica={replica}");
        } else {
            log::warn!(target: "follow", "control lost; replica={replica}");
        }
    }
}

/// Returns a call that tells of the host alone.
fn bare_request(settings: &GatewaySettings, ready: bool) -> FollowRequest {
    let balance = &settings.balance;
    FollowRequest {
        host: HostStatus {
            name: balance.host.clone(),
            address: settings.clients,
            zone: balance.zone.clone(),
            ready,
        },
        region: balance.region(&balance.zone).to_string(),
        shares: Vec::new(),
        loads: Vec::new(),
        revision: None,
        hosts_digest: 0,
        cold_digest: 0,
        max_wait: Duration::ZERO,
    }
}
