//! What a dump of the process's state shows of the replicated log.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Serialize;

use crate::ids;
use crate::machine::QuorumMachine;

/// State of one replica, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QuorumReport {
    /// The replica.
    pub id: ids::ReplicaId,
    /// Incarnation of its folder.
    pub incarnation: ids::Incarnation,
    /// Part that it plays.
    pub role: &'static str,
    /// Whether its incarnation is admitted.
    pub member: bool,
    /// Whether it was told to hand over, and stands for election no more.
    pub stopping: bool,
    /// Latest term seen.
    pub term: ids::Term,
    /// Leader of the term, where known.
    pub leader: Option<ids::ReplicaId>,
    /// Whether it leads and holds the lease.
    pub lease: bool,
    /// Last entry in the log.
    pub last_index: ids::LogIndex,
    /// Last entry that is synced here.
    pub synced_index: ids::LogIndex,
    /// Last entry known to be committed.
    pub commit_index: ids::LogIndex,
    /// Last entry given to the application.
    pub applied_index: ids::LogIndex,
    /// Last entry in the snapshot.
    pub snapshot_index: ids::LogIndex,
    /// Entries held in memory.
    pub entries_held: usize,
    /// Messages that wait for a sync.
    pub messages_held: usize,
    /// Admitted incarnation of each replica.
    pub members: BTreeMap<ids::ReplicaId, ids::Incarnation>,
    /// Proposals without an answer, where it leads.
    pub proposals_open: usize,
    /// Reads without an answer, where it leads.
    pub reads_open: usize,
    /// The other replicas, where it leads.
    pub peers: Vec<PeerReport>,
}

/// What a leader knows of another replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PeerReport {
    /// The replica.
    pub id: ids::ReplicaId,
    /// Incarnation that last answered.
    pub incarnation: Option<ids::Incarnation>,
    /// Whether its acknowledgements count.
    pub counted: bool,
    /// Last entry that it has synced.
    pub matched: ids::LogIndex,
    /// Next entry to send.
    pub next: ids::LogIndex,
}

impl QuorumMachine {
    /// Returns the state for a dump.
    pub fn report(&self, now: Instant) -> QuorumReport {
        let leadership = self.leadership.as_ref();
        QuorumReport {
            id: self.config.id,
            incarnation: self.incarnation,
            role: self.role.into(),
            member: self.is_member(),
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
            members: self.members.clone(),
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
                counted: self.is_counted(*peer, progress),
                matched: progress.matched,
                next: progress.next,
            })
            .collect()
    }
}
