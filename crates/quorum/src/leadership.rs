//! State that only a leader has.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use crate::ids;
use crate::progress::PeerProgress;
use crate::reads::ReadQueue;
use crate::rounds::HeartbeatRounds;

/// A proposal that is in the log and not yet answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingProposal {
    /// Index of the proposal's entry.
    pub(crate) index: ids::LogIndex,
    /// Request to answer.
    pub(crate) request: ids::RequestId,
}

/// A leader transfer in progress.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TransferAttempt {
    /// Replica that the leadership is transferred to.
    pub(crate) target: ids::ReplicaId,
    /// Time at which the leader steps down even if the target has not been elected.
    pub(crate) deadline: Instant,
}

/// State of a leader in its term.
#[derive(Debug)]
pub(crate) struct Leadership {
    /// When this leader was elected.
    pub(crate) elected_at: Instant,
    /// Replication progress of the other replicas.
    pub(crate) peers: BTreeMap<ids::ReplicaId, PeerProgress>,
    /// Heartbeat rounds.
    pub(crate) rounds: HeartbeatRounds,
    /// First entry of the term; a read is answered after this entry is applied.
    pub(crate) first_index: ids::LogIndex,
    /// Unanswered proposals in log order.
    pub(crate) proposals: VecDeque<PendingProposal>,
    /// Unanswered reads.
    pub(crate) reads: ReadQueue,
    /// When the next heartbeat is due.
    pub(crate) next_heartbeat_at: Instant,
    /// The leader transfer, set when the process is about to stop.
    pub(crate) transfer: Option<TransferAttempt>,
}

impl Leadership {
    /// Creates the state of a leader whose term starts at `first_index`.
    pub(crate) fn new(now: Instant, peers: &[ids::ReplicaId], first_index: ids::LogIndex) -> Self {
        let peers = peers
            .iter()
            .map(|peer| (*peer, PeerProgress::new(first_index)))
            .collect();
        Self {
            elected_at: now,
            peers,
            rounds: HeartbeatRounds::new(now),
            first_index,
            proposals: VecDeque::new(),
            reads: ReadQueue::default(),
            next_heartbeat_at: now,
            transfer: None,
        }
    }
}
