//! How far the log was synced, so that a log which lost its end is found out.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::disk::DiskEdge;
use crate::error::{Result, StoreError};
use crate::record::{self, ReadRecord};

/// Name of the file.
pub const FILE_NAME: &str = "synced";

/// Length of the last log file when it was last synced.
///
/// It is written after each sync and not synced itself: after a crash it may be older than the log
/// but never newer, so a log that is shorter has lost what was acknowledged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncMark {
    sequence: [u8; 8],
    length: [u8; 8],
}

impl SyncMark {
    /// Creates a mark of a log file.
    pub fn new(sequence: u64, length: u64) -> Self {
        Self {
            sequence: sequence.to_le_bytes(),
            length: length.to_le_bytes(),
        }
    }

    /// Returns the number of the log file.
    pub fn sequence(&self) -> u64 {
        u64::from_le_bytes(self.sequence)
    }

    /// Returns the synced length of a log file, in bytes, as far as the mark tells it.
    pub fn length_of(&self, sequence: u64) -> u64 {
        if self.sequence() == sequence {
            return u64::from_le_bytes(self.length);
        }
        0
    }

    /// Reads the mark of a folder; one that is not there or was cut short by a crash says nothing.
    ///
    /// # Errors
    ///
    /// Fails where the file is there and can't be read.
    pub fn read(disk: &mut dyn DiskEdge, folder: &Path, names: &[String]) -> Result<Self> {
        if !names.iter().any(|name| name == FILE_NAME) {
            return Ok(Self::default());
        }
        let path = folder.join(FILE_NAME);
        let bytes = disk.read(&path).map_err(StoreError::at(&path))?;
        match record::decode(&bytes, 0) {
            ReadRecord::Whole(mark, _) => Ok(mark),
            ReadRecord::End | ReadRecord::Torn | ReadRecord::Damaged(_) => Ok(Self::default()),
        }
    }

    /// Writes the mark.
    ///
    /// # Errors
    ///
    /// Fails where the disk does.
    pub fn write(&self, disk: &mut dyn DiskEdge, folder: &Path) -> Result<()> {
        let path = folder.join(FILE_NAME);
        let mut bytes = Vec::new();
        record::encode(self, &mut bytes)?;
        disk.overwrite(&path, &bytes).map_err(StoreError::at(&path))
    }
}
