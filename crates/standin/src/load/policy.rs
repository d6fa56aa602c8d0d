//! Steering policies: the system itself, and the baselines that it is compared with.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use strum::{Display, EnumString, IntoStaticStr};

use crate::backend::work;

/// The policy that chooses the backend server of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum SteeringPolicy {
    /// The entry hosts of the system choose.
    Wisteria,
    /// Baseline: the load tool chooses round robin over all servers, and ignores the caps.
    RoundRobin,
    /// Baseline: the load tool chooses round robin within the nearest zones, without ramps.
    NearestZone,
}

/// A backend server that a baseline policy can choose.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerTarget {
    /// Availability zone.
    pub zone: String,
    /// Address that accepts requests.
    pub address: SocketAddr,
}

/// The servers of one service, and the round-robin position among them.
#[derive(Debug, Default)]
pub struct TargetTable {
    targets: Vec<ServerTarget>,
    next_turn: AtomicUsize,
}

impl TargetTable {
    /// Creates a table of the given servers.
    pub fn new(targets: Vec<ServerTarget>) -> Self {
        Self {
            targets,
            next_turn: AtomicUsize::new(0),
        }
    }

    /// Chooses a server for a caller in a zone, or returns `None` if there are no servers.
    pub fn choose(&self, policy: SteeringPolicy, zone: &str) -> Option<&ServerTarget> {
        let turn = self.next_turn.fetch_add(1, Ordering::Relaxed);
        match policy {
            SteeringPolicy::NearestZone => {
                let nearest = self.targets.iter().map(|t| distance(zone, &t.zone)).min()?;
                let candidates: Vec<_> = self
                    .targets
                    .iter()
                    .filter(|t| distance(zone, &t.zone) == nearest)
                    .collect();
                candidates.get(turn % candidates.len()).copied()
            }
            SteeringPolicy::RoundRobin | SteeringPolicy::Wisteria => {
                self.targets.get(turn % self.targets.len().max(1))
            }
        }
    }
}

/// Returns the distance between two zones: 0 if they are the same, 1 within a region, 2 otherwise.
fn distance(from: &str, to: &str) -> u8 {
    if from == to {
        return 0;
    }
    if work::region_of(from) == work::region_of(to) {
        return 1;
    }
    2
}
