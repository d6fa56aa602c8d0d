//! Durable state of a control replica: write-ahead log and snapshots under one folder.
//!
//! A newcomer starts with [`replica::ReplicaStore`]: it opens a folder, gives back what it found
//! there, and makes each write of the replicated log durable before it returns.
//!
//! | module | holds |
//! |---|---|
//! | [`replica`] | the store: open, write, snapshots |
//! | [`disk`] | the edge to the file system, real or with faults |
//! | [`record`] | framing of records: length and checksums |
//! | [`segment`] | records of the log and their replay |
//! | [`identity`] | whose folder it is |
//! | [`mark`] | how far the log was synced |
//! | [`writer`] | the thread that writes and syncs |
//! | [`error`] | what goes wrong, with file and offset |

pub mod disk;
pub mod error;
pub mod identity;
pub mod mark;
pub mod record;
pub mod replica;
pub mod segment;
pub mod writer;
