//! Times and the identity of a replica.

use std::time::Duration;

use crate::ids;

/// Settings of one replica's machine.
#[derive(Debug, Clone)]
pub struct QuorumConfig {
    /// This replica.
    pub id: ids::ReplicaId,
    /// Replicas of the first set-up; one that joins later finds the others through them.
    pub replicas: Vec<ids::ReplicaId>,
    /// Whether this replica takes part in the first set-up while its folder is empty. One that
    /// joins later, or lost its disk, must not.
    pub may_found: bool,
    /// Number of voters up to which a replica that joins is admitted beside the others. Beyond
    /// it, one is admitted only in place of a voter that is silent.
    pub voters: usize,
    /// Silence after which a voter may be replaced by a replica that has caught up.
    pub silence_limit: Duration,
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
            may_found: true,
            voters: replicas.len(),
            silence_limit: Duration::from_millis(1_500),
            replicas,
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(600),
            lease: Duration::from_millis(500),
            batch: 64,
            seed: id,
        }
    }
}
