//! Configuration of a replica: identity, initial voters, timeouts and batch limits.

use std::time::Duration;

use crate::ids;

/// Configuration of one replica's [`crate::machine::QuorumMachine`].
#[derive(Debug, Clone)]
pub struct QuorumConfig {
    /// Id of this replica.
    pub id: ids::ReplicaId,
    /// Replicas that bootstrap the cluster; a replica that joins later discovers the others through
    /// them.
    pub replicas: Vec<ids::ReplicaId>,
    /// Whether this replica may bootstrap the cluster while its folder is empty. Must be false for
    /// a replica that joins later or that lost its disk.
    pub may_bootstrap: bool,
    /// Target number of voters. A learner that has caught up is added as a voter below this number;
    /// at this number it can only replace a voter that has been silent for `silence_limit`.
    pub target_voters: usize,
    /// Time without a response after which a learner that has caught up may replace a voter.
    pub silence_limit: Duration,
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Minimum election timeout: a follower that gets no message from a leader for this long
    /// starts an election. The timeout is drawn at random between this value and twice this value.
    pub min_election_timeout: Duration,
    /// Time for which a leader's lease stays valid after the start of the latest heartbeat round
    /// that a quorum answered; shorter than `min_election_timeout`.
    pub lease_duration: Duration,
    /// Maximum number of entries in one message.
    pub max_batch_entries: usize,
    /// Seed of the election timeouts and greeting nonces; must differ at each start.
    pub seed: u64,
}

impl QuorumConfig {
    /// Creates a configuration with the default timeouts and batch limit.
    pub fn new(id: ids::ReplicaId, replicas: Vec<ids::ReplicaId>) -> Self {
        Self {
            id,
            may_bootstrap: true,
            target_voters: replicas.len(),
            silence_limit: Duration::from_millis(1_500),
            replicas,
            heartbeat_interval: Duration::from_millis(100),
            min_election_timeout: Duration::from_millis(600),
            lease_duration: Duration::from_millis(500),
            max_batch_entries: 64,
            seed: id,
        }
    }
}
