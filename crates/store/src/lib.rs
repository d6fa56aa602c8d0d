//! Durable state of a control replica: write-ahead log and snapshots in one folder.
//!
//! The entry point is [`replica::ReplicaStore`]: it opens a folder, returns the recovered state,
//! and makes each write of the replicated log durable before it returns.
//!
//! | module | content |
//! |---|---|
//! | [`replica`] | the store: open, recover, write, snapshots |
//! | [`disk`] | disk operations, which tests replace to inject faults |
//! | [`record`] | record framing: length and checksums |
//! | [`segment`] | log records and their replay |
//! | [`identity`] | identity of a folder |
//! | [`watermark`] | synced length of the log |
//! | [`writer`] | thread that writes and syncs |
//! | [`error`] | errors with file and offset |

pub mod disk;
pub mod error;
pub mod identity;
pub mod record;
pub mod replica;
pub mod segment;
pub mod watermark;
pub mod writer;
