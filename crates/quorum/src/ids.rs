//! Identifiers and indexes of the replicated log.

/// Id of a control replica.
pub type ReplicaId = u64;

/// Election term; increases monotonically and has at most one leader.
pub type Term = u64;

/// Index of an entry in the log, starting at 1; 0 is the position before the first entry.
pub type LogIndex = u64;

/// Random id of a replica's folder, drawn when the replica starts on an empty folder.
///
/// A replica that restarts with another incarnation has lost its disk.
pub type Incarnation = u64;

/// Id by which the daemon matches a proposal or read to its answer.
pub type RequestId = u64;

/// Sequence number of a disk write; increases by one with each [`crate::event::Effect::Persist`].
pub type PersistToken = u64;
