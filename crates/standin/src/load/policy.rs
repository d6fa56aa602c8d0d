//! Who chooses the backend server, and the choices of the baselines.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use strum::{Display, EnumString, IntoStaticStr};

use crate::backend::work;

/// Who chooses the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum SteeringPolicy {
    /// The entry hosts.
    Wisteria,
    /// The load tool, round robin over all places, without caps.
    RoundRobin,
    /// The load tool, nearest zone first, without ramps.
    NearestZone,
}

/// A server that a baseline may choose.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerTarget {
    /// Availability zone.
    pub zone: String,
    /// Address that takes requests.
    pub address: SocketAddr,
}

/// Servers of one service, and the turn among them.
#[derive(Debug, Default)]
pub struct TargetTable {
    targets: Vec<ServerTarget>,
    turn: AtomicUsize,
}

impl TargetTable {
    /// Creates a table.
    pub fn new(targets: Vec<ServerTarget>) -> Self {
        Self {
            targets,
            turn: AtomicUsize::new(0),
        }
    }

    /// Chooses a server for a caller of a zone.
    pub fn choose(&self, policy: SteeringPolicy, zone: &str) -> Option<&ServerTarget> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        match policy {
            SteeringPolicy::NearestZone => {
                let nearest = self.targets.iter().map(|t| distance(zone, &t.zone)).min()?;
                let near: Vec<_> = self
                    .targets
                    .iter()
                    .filter(|t| distance(zone, &t.zone) == nearest)
                    .collect();
                near.get(turn % near.len()).copied()
            }
            SteeringPolicy::RoundRobin | SteeringPolicy::Wisteria => {
                self.targets.get(turn % self.targets.len().max(1))
            }
        }
    }
}

/// Returns how far a zone is: the same, in the same region, or elsewhere.
fn distance(from: &str, to: &str) -> u8 {
    if from == to {
        return 0;
    }
    if work::region(from) == work::region(to) {
        return 1;
    }
    2
}
