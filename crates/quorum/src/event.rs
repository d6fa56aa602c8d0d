//! What goes into the machine and what comes out.

use crate::entry;
use crate::ids;
use crate::message::Message;

/// Something that happened to a replica.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed; sent at the moment that the machine asked for, or later.
    Tick,
    /// A message arrived.
    Receive {
        /// Replica that sent it.
        from: ids::ReplicaId,
        /// The message.
        message: Message,
    },
    /// The application wants a command in the log.
    Propose {
        /// Recognises the answer.
        request: ids::RequestId,
        /// The command.
        command: Vec<u8>,
    },
    /// The application wants to read what is committed.
    Read {
        /// Recognises the answer.
        request: ids::RequestId,
    },
    /// All writes up to a token are synced.
    Persisted {
        /// The last of them.
        token: ids::PersistToken,
    },
    /// The disk failed; the replica steps down and acknowledges nothing more.
    StorageFailed,
    /// The application took a snapshot of its state; entries up to it may go.
    SnapshotTaken {
        /// Last entry that it holds.
        index: ids::LogIndex,
        /// State of the application.
        data: Vec<u8>,
    },
    /// Others that may know the voters; a replica that joins greets them too.
    Contacts(Vec<ids::ReplicaId>),
    /// The process is to stop: hand the leadership over.
    HandOver,
}

/// Something that the daemon must do, in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message; it may be lost.
    Send {
        /// Replica to send it to.
        to: ids::ReplicaId,
        /// The message.
        message: Message,
    },
    /// Write and sync, then report [`Event::Persisted`]. Messages that depend on the write are
    /// held back by the machine until then.
    Persist(PersistWrite),
    /// Apply a committed entry to the application, in order and once.
    Apply(entry::LogEntry),
    /// Replace the application's state by a snapshot.
    Restore(entry::LogSnapshot),
    /// A proposal or read came to an end.
    Answer {
        /// The request.
        request: ids::RequestId,
        /// How it ended.
        outcome: AnswerOutcome,
    },
    /// The replica's part changed.
    RoleChanged {
        /// The new part.
        role: Role,
        /// Its term.
        term: ids::Term,
        /// Leader of the term, where known.
        leader: Option<ids::ReplicaId>,
    },
}

/// One write to the disk.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PersistWrite {
    /// Number of the write.
    pub token: ids::PersistToken,
    /// Term and vote, where they changed.
    pub hard: Option<entry::HardState>,
    /// Remove entries from this index on, before the append.
    pub truncate_from: Option<ids::LogIndex>,
    /// Entries to append.
    pub append: Vec<entry::LogEntry>,
    /// Snapshot to put in place; entries up to it may go.
    pub snapshot: Option<entry::LogSnapshot>,
}

/// How a proposal or read ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// The command is committed and was given to [`Effect::Apply`] before this answer.
    Committed {
        /// Its place in the log.
        index: ids::LogIndex,
    },
    /// The application has applied everything that was committed when the read was asked.
    Confirmed,
    /// This replica doesn't lead; the command is not in the log.
    NotLeader {
        /// Leader, where known.
        leader: Option<ids::ReplicaId>,
    },
    /// The leadership was lost on the way: the command may yet be committed or not.
    Unknown,
}

/// Part that a replica plays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Has lost its disk and learns; it neither votes nor counts.
    Learner,
    /// Follows a leader.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
    /// Its disk failed.
    Failed,
}
