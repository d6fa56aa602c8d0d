//! What only a leader holds.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use crate::ids;
use crate::progress::PeerProgress;
use crate::reads::ReadQueue;
use crate::rounds::RoundBook;

/// A proposal that is in the log and not answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OpenProposal {
    /// Its place in the log.
    pub(crate) index: ids::LogIndex,
    /// Whom to answer.
    pub(crate) request: ids::RequestId,
}

/// An attempt to hand the leadership over.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TransferAttempt {
    /// Replica that is to lead.
    pub(crate) target: ids::ReplicaId,
    /// When the leader steps down in any case.
    pub(crate) until: Instant,
}

/// State of a leader in its term.
#[derive(Debug)]
pub(crate) struct Leadership {
    /// When this leader was elected.
    pub(crate) since: Instant,
    /// The other replicas.
    pub(crate) peers: BTreeMap<ids::ReplicaId, PeerProgress>,
    /// Rounds of heartbeats.
    pub(crate) rounds: RoundBook,
    /// First entry of the term; reads wait until it is committed.
    pub(crate) first_index: ids::LogIndex,
    /// Proposals in log order.
    pub(crate) proposals: VecDeque<OpenProposal>,
    /// Reads that aren't confirmed yet.
    pub(crate) reads: ReadQueue,
    /// When the next heartbeat is sent.
    pub(crate) heartbeat_at: Instant,
    /// Set once the replica is to stop.
    pub(crate) transfer: Option<TransferAttempt>,
}

impl Leadership {
    /// Creates the state of a leader whose term begins at `first_index`.
    pub(crate) fn new(now: Instant, peers: &[ids::ReplicaId], first_index: ids::LogIndex) -> Self {
        let peers = peers
            .iter()
            .map(|peer| (*peer, PeerProgress::new(first_index)))
            .collect();
        Self {
            since: now,
            peers,
            rounds: RoundBook::new(now),
            first_index,
            proposals: VecDeque::new(),
            reads: ReadQueue::default(),
            heartbeat_at: now,
            transfer: None,
        }
    }
}
