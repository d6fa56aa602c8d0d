//! Log entries and the state that must survive a restart.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that created it.
    pub term: ids::Term,
    /// Place in the log.
    pub index: ids::LogIndex,
    /// What it says.
    pub payload: EntryPayload,
}

/// What a log entry says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Nothing; a new leader commits one to learn what is committed.
    Empty,
    /// A command of the application, in its own form.
    Command(Vec<u8>),
    /// Admits a replica under a new incarnation, after it has lost its disk.
    Admit {
        /// The replica.
        replica: ids::ReplicaId,
        /// Its incarnation.
        incarnation: ids::Incarnation,
    },
    /// Admits all replicas at the first set-up; the first entry of every log.
    Found {
        /// Incarnation of each replica.
        members: Vec<(ids::ReplicaId, ids::Incarnation)>,
    },
    /// Admits a replica in place of one that is gone, so that the number of voters stays.
    Replace {
        /// The replica that votes no more.
        old: ids::ReplicaId,
        /// The replica in its place.
        replica: ids::ReplicaId,
        /// Its incarnation.
        incarnation: ids::Incarnation,
    },
}

impl EntryPayload {
    /// Returns the bytes of the command; 0 where there is none.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Command(command) => command.len(),
            Self::Empty | Self::Admit { .. } | Self::Replace { .. } | Self::Found { .. } => 0,
        }
    }

    /// Returns the replicas that the entry admits, with their incarnations.
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

    /// Changes the voters as the entry says.
    pub fn change_members(&self, members: &mut BTreeMap<ids::ReplicaId, ids::Incarnation>) {
        if let Self::Replace { old, .. } = self {
            members.remove(old);
        }
        members.extend(self.admissions());
    }
}

/// Term, vote and membership; synced before any message that depends on them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: ids::Term,
    /// Replica that got this one's vote in that term.
    pub vote: Option<ids::ReplicaId>,
    /// Replica whose lease this one may have confirmed in that term: the one that it voted for,
    /// until another was heard to lead.
    pub leader: Option<ids::ReplicaId>,
    /// True once this replica knows that its incarnation is admitted; only then it votes.
    pub member: bool,
}

/// The application's state after some entry, with the members of that time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSnapshot {
    /// Last entry that the snapshot holds.
    pub index: ids::LogIndex,
    /// Term of that entry.
    pub term: ids::Term,
    /// Admitted incarnation of each replica.
    pub admitted: Vec<(ids::ReplicaId, ids::Incarnation)>,
    /// State of the application, in its own form.
    pub data: Vec<u8>,
}

/// What a replica found on its disk at start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Incarnation of the folder.
    pub incarnation: ids::Incarnation,
    /// True where the folder was empty, so that the incarnation is new.
    pub blank: bool,
    /// Term and vote.
    pub hard: HardState,
    /// Latest snapshot; index 0 where there is none.
    pub snapshot: LogSnapshot,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
}
