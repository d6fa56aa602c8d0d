//! Times and the identity of a replica.

use std::time::Duration;

use crate::ids;

/// Settings of one replica's machine.
#[derive(Debug, Clone)]
pub struct QuorumConfig {
    /// This replica.
    pub id: ids::ReplicaId,
    /// All replicas, this one included, as first set up.
    pub replicas: Vec<ids::ReplicaId>,
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Shortest time without a leader after which a replica stands for election; the longest is
    /// twice that.
    pub election: Duration,
    /// Time for which a leader may act after a quorum last answered it; shorter than `election`.
    pub lease: Duration,
    /// Most entries in one message.
    pub batch: usize,
    /// Seed of the election times and of the numbers of greetings; another one at each start.
    pub seed: u64,
}

impl QuorumConfig {
    /// Creates the settings of a replica with the usual times.
    pub fn new(id: ids::ReplicaId, replicas: Vec<ids::ReplicaId>) -> Self {
        Self {
            id,
            replicas,
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(600),
            lease: Duration::from_millis(500),
            batch: 64,
            seed: id,
        }
    }
}
