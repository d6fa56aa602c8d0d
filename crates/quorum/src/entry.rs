//! Log entries, snapshots, and the state that must survive a restart.

use serde::{Deserialize, Serialize};

use crate::ids;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that created the entry.
    pub term: ids::Term,
    /// Index of the entry in the log.
    pub index: ids::LogIndex,
    /// Content of the entry.
    pub payload: EntryPayload,
}

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// No content. A new leader commits an empty entry, which also commits the entries of earlier
    /// terms.
    Empty,
    /// A command of the application, encoded by the application.
    Command(Vec<u8>),
    /// Adds a replica to the voters, or updates the incarnation of a voter that lost its disk.
    Admit {
        /// Id of the admitted replica.
        replica: ids::ReplicaId,
        /// Incarnation of the admitted replica.
        incarnation: ids::Incarnation,
    },
    /// Bootstraps the cluster with its initial voters; the first entry of every log.
    Found {
        /// Id and incarnation of each initial voter.
        members: Vec<(ids::ReplicaId, ids::Incarnation)>,
    },
    /// Replaces a failed voter by another replica, so that the number of voters stays the same.
    Replace {
        /// Id of the removed voter.
        old: ids::ReplicaId,
        /// Id of the new voter.
        replica: ids::ReplicaId,
        /// Incarnation of the new voter.
        incarnation: ids::Incarnation,
    },
}

impl EntryPayload {
    /// Returns the length of the command in bytes; 0 for other entries.
    pub fn command_len(&self) -> usize {
        match self {
            Self::Command(command) => command.len(),
            Self::Empty | Self::Admit { .. } | Self::Replace { .. } | Self::Found { .. } => 0,
        }
    }

    /// Returns the replicas that this entry admits as voters, with their incarnations.
    pub fn admissions(&self) -> Vec<(ids::ReplicaId, ids::Incarnation)> {
        match self {
            Self::Empty | Self::Command(_) => Vec::new(),
            Self::Admit {
                replica,
                incarnation,
            }
            | Self::Replace {
                replica,
                incarnation,
                ..
            } => vec![(*replica, *incarnation)],
            Self::Found { members } => members.clone(),
        }
    }

    /// Returns whether this entry changes the voters.
    pub fn is_membership(&self) -> bool {
        match self {
            Self::Empty | Self::Command(_) => false,
            Self::Admit { .. } | Self::Replace { .. } | Self::Found { .. } => true,
        }
    }
}

/// Term, vote and settled membership. A message that depends on a change of them is sent only after
/// the change is synced.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: ids::Term,
    /// Replica that this one voted for in `term`.
    pub vote: Option<ids::ReplicaId>,
    /// Replica whose lease this one may have confirmed in `term`: the one that it voted for, until
    /// it hears from another one as leader.
    pub leader: Option<ids::ReplicaId>,
    /// Index up to which the membership entries of the log are settled: the latest one that is
    /// known to be committed. The bootstrap entry counts as committed.
    pub settled_membership: ids::LogIndex,
}

/// Snapshot of the application's state at a log index, with the voters at that index.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSnapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: ids::LogIndex,
    /// Term of that entry.
    pub term: ids::Term,
    /// Id and admitted incarnation of each voter.
    pub admitted: Vec<(ids::ReplicaId, ids::Incarnation)>,
    /// State of the application, encoded by the application.
    pub data: Vec<u8>,
}

/// State that a replica recovers from its disk at start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Incarnation of the replica's folder.
    pub incarnation: ids::Incarnation,
    /// Whether the folder was empty, so that the incarnation is new.
    pub blank: bool,
    /// Term, vote and settled membership.
    pub hard: HardState,
    /// Latest snapshot; its index is 0 if there is none.
    pub snapshot: LogSnapshot,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
}
