//! Identity of a replica's folder.

use std::path::Path;

use quorum::ids;
use serde::{Deserialize, Serialize};

use crate::disk::DiskIo;
use crate::error::{Result, StoreError};
use crate::record::{self, DecodedRecord};

/// Name of the identity file.
pub const FILE_NAME: &str = "identity";

/// The replica that a folder belongs to, and the folder's incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderIdentity {
    /// Id of the replica.
    pub replica: ids::ReplicaId,
    /// Random id of the folder, generated when the folder was empty.
    pub incarnation: ids::Incarnation,
}

impl FolderIdentity {
    /// Generates the identity of a new folder, with a random incarnation.
    pub fn generate(replica: ids::ReplicaId) -> Self {
        Self {
            replica,
            incarnation: rand::random_range(1..=ids::Incarnation::MAX),
        }
    }

    /// Reads the identity of a folder.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, is corrupted or names another replica.
    pub fn read(disk: &mut dyn DiskIo, folder: &Path, replica: ids::ReplicaId) -> Result<Self> {
        let path = folder.join(FILE_NAME);
        let bytes = disk.read(&path).map_err(StoreError::at(&path))?;
        match record::decode::<Self>(&bytes, 0) {
            DecodedRecord::Complete(identity, end) if end == bytes.len() => {
                if identity.replica == replica {
                    return Ok(identity);
                }
                Err(StoreError::WrongReplica(
                    folder.to_path_buf(),
                    identity.replica,
                    replica,
                ))
            }
            DecodedRecord::Corrupted(reason) => Err(StoreError::Corrupted(path, 0, reason)),
            _ => Err(StoreError::Corrupted(
                path,
                0,
                "the file is not a single complete record",
            )),
        }
    }
}
