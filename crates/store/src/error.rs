//! Errors of the store.

use std::io;
use std::path::{Path, PathBuf};

use quick_error::quick_error;
use quorum::ids;

quick_error! {
    /// Error when opening or writing a replica's folder.
    #[derive(Debug)]
    pub enum StoreError {
        /// A file system operation failed.
        Disk(path: PathBuf, err: io::Error) {
            source(err)
            display("{}: {err}", path.display())
        }
        /// A file's content is not what the store wrote.
        Corrupted(path: PathBuf, offset: u64, reason: &'static str) {
            display("{} is corrupted at byte {offset}: {reason}", path.display())
        }
        /// The folder belongs to another replica.
        WrongReplica(path: PathBuf, found: ids::ReplicaId, expected: ids::ReplicaId) {
            display("{} belongs to replica {found}, not to {expected}", path.display())
        }
        /// Another process has the folder open.
        InUse(path: PathBuf) {
            display("{} is in use by another process", path.display())
        }
        /// The value has no binary form or is too large for a record.
        Encode(text: String) {
            display("failed to encode a record: {text}")
        }
        /// An earlier write failed, so the durable state is unknown.
        Closed {
            display("the store rejects writes after a failed write")
        }
    }
}

/// Result of a store operation.
pub type Result<T> = std::result::Result<T, StoreError>;

impl StoreError {
    /// Returns a function that converts an I/O error on `path`.
    pub(crate) fn at(path: &Path) -> impl FnOnce(io::Error) -> Self + '_ {
        move |err| Self::Disk(path.to_path_buf(), err)
    }
}
