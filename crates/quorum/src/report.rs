//! State of a replica in a dump of the process's state.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Serialize;

use crate::ids;
use crate::machine::QuorumMachine;

/// State of one replica for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QuorumReport {
    /// Id of the replica.
    pub id: ids::ReplicaId,
    /// Incarnation of the replica's folder.
    pub incarnation: ids::Incarnation,
    /// Current role, as the text form of [`crate::event::Role`].
    pub role: &'static str,
    /// Whether the replica's incarnation is a voter by its own log.
    pub member: bool,
    /// Whether the process is about to stop, so that the replica starts no more elections.
    pub stopping: bool,
    /// Latest term seen.
    pub term: ids::Term,
    /// Leader of the term, if known.
    pub leader: Option<ids::ReplicaId>,
    /// Whether the replica is the leader and holds a valid lease.
    pub lease: bool,
    /// Index of the last log entry.
    pub last_index: ids::LogIndex,
    /// Index of the last entry that is synced on this replica.
    pub synced_index: ids::LogIndex,
    /// Index of the last entry that is known to be committed.
    pub commit_index: ids::LogIndex,
    /// Index of the last entry that was passed to the application.
    pub applied_index: ids::LogIndex,
    /// Index of the last entry that the snapshot covers.
    pub snapshot_index: ids::LogIndex,
    /// Number of log entries in memory.
    pub entries_held: usize,
    /// Number of messages held back until a write is synced.
    pub messages_held: usize,
    /// Voters with their admitted incarnations.
    pub members: BTreeMap<ids::ReplicaId, ids::Incarnation>,
    /// On a leader: number of unanswered proposals.
    pub proposals_open: usize,
    /// On a leader: number of unanswered reads.
    pub reads_open: usize,
    /// On a leader: replication progress of the other replicas.
    pub peers: Vec<PeerReport>,
}

/// Replication progress of a peer, as known to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PeerReport {
    /// Id of the peer.
    pub id: ids::ReplicaId,
    /// Incarnation that answered last.
    pub incarnation: Option<ids::Incarnation>,
    /// Whether the peer's acknowledgements count toward a quorum.
    pub counted: bool,
    /// Index of the last entry that the peer has synced.
    pub matched: ids::LogIndex,
    /// Index of the next entry to send.
    pub next: ids::LogIndex,
}

impl QuorumMachine {
    /// Returns the state of the replica for a dump. `now` decides whether the lease is valid.
    pub fn report(&self, now: Instant) -> QuorumReport {
        let leadership = self.leadership.as_ref();
        QuorumReport {
            id: self.config.id,
            incarnation: self.incarnation,
            role: self.role.into(),
            member: self.is_voter(),
            stopping: self.stopping,
            term: self.hard.term,
            leader: self.leader,
            lease: self.has_lease(now),
            last_index: self.log.last_index(),
            synced_index: self.writes.synced(),
            commit_index: self.commit,
            applied_index: self.applied,
            snapshot_index: self.snapshot.index,
            entries_held: self.log.len(),
            messages_held: self.writes.held(),
            members: self.voters.incarnations(),
            proposals_open: leadership.map_or(0, |l| l.proposals.len()),
            reads_open: leadership.map_or(0, |l| l.reads.len()),
            peers: self.peer_reports(),
        }
    }

    fn peer_reports(&self) -> Vec<PeerReport> {
        let Some(leadership) = &self.leadership else {
            return Vec::new();
        };
        let peers = leadership.peers.iter();
        peers
            .map(|(peer, progress)| PeerReport {
                id: *peer,
                incarnation: progress.incarnation,
                counted: self.counts_toward_quorum(*peer, progress),
                matched: progress.match_index,
                next: progress.next_index,
            })
            .collect()
    }
}
