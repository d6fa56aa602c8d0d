//! Numbers of the replicated log.

/// Number of a control replica.
pub type ReplicaId = u64;

/// Number of a leader's time in office; it only grows.
pub type Term = u64;

/// Place of an entry in the log, from 1; 0 stands before the first.
pub type LogIndex = u64;

/// Random number that a replica draws when it starts on an empty folder.
///
/// A replica that comes back with another incarnation has lost its disk.
pub type Incarnation = u64;

/// Number that the daemon gives a proposal or read to recognise its answer.
pub type RequestId = u64;

/// Number of a write to the disk; grows by one with each [`crate::event::Effect::Persist`].
pub type PersistToken = u64;
