//! Whose folder it is.

use std::path::Path;

use quorum::ids;
use serde::{Deserialize, Serialize};

use crate::disk::DiskEdge;
use crate::error::{Result, StoreError};
use crate::record::{self, ReadRecord};

/// Name of the file.
pub const FILE_NAME: &str = "identity";

/// The replica that a folder belongs to, and the random number of this folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderIdentity {
    /// The replica.
    pub replica: ids::ReplicaId,
    /// Drawn when the folder was empty.
    pub incarnation: ids::Incarnation,
}

impl FolderIdentity {
    /// Draws a new incarnation for a replica.
    pub fn draw(replica: ids::ReplicaId) -> Self {
        Self {
            replica,
            incarnation: rand::random_range(1..=ids::Incarnation::MAX),
        }
    }

    /// Reads the identity of a folder.
    ///
    /// # Errors
    ///
    /// Fails where the file can't be read, is damaged or names another replica.
    pub fn read(disk: &mut dyn DiskEdge, folder: &Path, replica: ids::ReplicaId) -> Result<Self> {
        let path = folder.join(FILE_NAME);
        let bytes = disk.read(&path).map_err(StoreError::at(&path))?;
        match record::decode::<Self>(&bytes, 0) {
            ReadRecord::Whole(identity, end) if end == bytes.len() => {
                if identity.replica == replica {
                    return Ok(identity);
                }
                Err(StoreError::Foreign(
                    folder.to_path_buf(),
                    identity.replica,
                    replica,
                ))
            }
            ReadRecord::Damaged(reason) => Err(StoreError::Damaged(path, 0, reason)),
            _ => Err(StoreError::Damaged(path, 0, "it is not one whole record")),
        }
    }
}
