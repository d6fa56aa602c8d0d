//! What goes wrong with a replica's folder.

use std::io;
use std::path::{Path, PathBuf};

use quick_error::quick_error;
use quorum::ids;

quick_error! {
    /// Why the folder can't be opened or written.
    #[derive(Debug)]
    pub enum StoreError {
        /// The file system refused.
        Disk(path: PathBuf, err: io::Error) {
            source(err)
            display("{}: {err}", path.display())
        }
        /// A file holds something that was never written there.
        Damaged(path: PathBuf, offset: u64, reason: &'static str) {
            display("{} is damaged at byte {offset}: {reason}", path.display())
        }
        /// The folder belongs to another replica.
        Foreign(path: PathBuf, found: ids::ReplicaId, expected: ids::ReplicaId) {
            display("{} belongs to replica {found}, not to {expected}", path.display())
        }
        /// Another process has the folder open.
        InUse(path: PathBuf) {
            display("{} is in use by another process", path.display())
        }
        /// The value is too large for a record or has no binary form.
        Encode(text: String) {
            display("a record can't be encoded: {text}")
        }
        /// An earlier write failed, so what is on the disk is not known.
        Closed {
            display("the store takes no more writes after a failed one")
        }
    }
}

/// Result of an operation on the store.
pub type Result<T> = std::result::Result<T, StoreError>;

impl StoreError {
    /// Returns a function that wraps an input or output error at a path.
    pub(crate) fn at(path: &Path) -> impl FnOnce(io::Error) -> Self + '_ {
        move |err| Self::Disk(path.to_path_buf(), err)
    }
}
