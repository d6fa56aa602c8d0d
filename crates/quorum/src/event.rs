//! Inputs ([`Event`]) and outputs ([`Effect`]) of the state machine.

use crate::entry;
use crate::ids;
use crate::message::Message;

/// An input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// The machine's deadline ([`crate::machine::QuorumMachine::deadline`]) has passed.
    Tick,
    /// A message from another replica arrived.
    Receive {
        /// Replica that sent the message.
        from: ids::ReplicaId,
        /// The received message.
        message: Message,
    },
    /// The application proposes a command for the log.
    Propose {
        /// Identifies the request in its [`Effect::Answer`].
        request: ids::RequestId,
        /// The command, encoded by the application.
        command: Vec<u8>,
    },
    /// The application requests a linearizable read.
    Read {
        /// Identifies the request in its [`Effect::Answer`].
        request: ids::RequestId,
    },
    /// All writes up to `token` are synced.
    Persisted {
        /// Token of the last synced write.
        token: ids::PersistToken,
    },
    /// The disk failed. The replica steps down and acknowledges nothing from then on.
    StorageFailed,
    /// The application took a snapshot of its state; the log may be compacted up to it.
    SnapshotTaken {
        /// Index of the last entry that the snapshot covers.
        index: ids::LogIndex,
        /// State of the application, encoded by the application.
        data: Vec<u8>,
    },
    /// Replicas that may know the voters. A replica that joins sends greetings to them as well.
    DiscoveredPeers(Vec<ids::ReplicaId>),
    /// The process is about to stop: transfer the leadership and start no more elections.
    TransferLeadership,
}

/// An output of the state machine; the daemon executes effects in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message. Delivery is not guaranteed.
    Send {
        /// Replica that the message is sent to.
        to: ids::ReplicaId,
        /// The message to send.
        message: Message,
    },
    /// Write and sync, then report [`Event::Persisted`]. The machine holds back messages that
    /// depend on the write until then.
    Persist(PersistWrite),
    /// Apply a committed entry to the application. Each entry is applied once, in log order.
    Apply(entry::LogEntry),
    /// Replace the application's state by a snapshot.
    Restore(entry::LogSnapshot),
    /// Answer a proposal or read.
    Answer {
        /// Identifies the request.
        request: ids::RequestId,
        /// Outcome of the request.
        outcome: AnswerOutcome,
    },
    /// The replica's role, term or leader changed.
    RoleChanged {
        /// The new role.
        role: Role,
        /// The current term.
        term: ids::Term,
        /// Leader of the term, if known.
        leader: Option<ids::ReplicaId>,
    },
}

/// One write to the disk.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PersistWrite {
    /// Token of the write.
    pub token: ids::PersistToken,
    /// Term, vote and membership, if they changed.
    pub hard: Option<entry::HardState>,
    /// Index from which entries are removed, before `append` is written.
    pub truncate_from: Option<ids::LogIndex>,
    /// Entries to append.
    pub append: Vec<entry::LogEntry>,
    /// Snapshot to store; the log may be compacted up to it.
    pub snapshot: Option<entry::LogSnapshot>,
}

/// Outcome of a proposal or read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// The command is committed; its [`Effect::Apply`] came before this answer.
    Committed {
        /// Index of the command's entry.
        index: ids::LogIndex,
    },
    /// The application has applied everything that was committed when the read was requested.
    Confirmed,
    /// This replica isn't the leader or has no lease; the command is not in the log.
    NotLeader {
        /// Current leader, if known.
        leader: Option<ids::ReplicaId>,
    },
    /// The replica lost its leadership before the command was committed. The command may still be
    /// committed later.
    Unknown,
}

/// Role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Replicates the log but is not an admitted voter: it is joining, or it lost its disk.
    Learner,
    /// Replicates the log from a leader and votes.
    Follower,
    /// Runs a pre-vote: asks whether the others would elect it.
    PreCandidate,
    /// Runs an election.
    Candidate,
    /// Replicates its log to the others.
    Leader,
    /// Stopped because its disk failed.
    Failed,
}
