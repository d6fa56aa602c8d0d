//! Watermark of the synced log, by which a start detects that a log lost its end.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::disk::DiskIo;
use crate::error::{Result, StoreError};
use crate::record::{self, DecodedRecord};

/// Name of the watermark file.
pub const FILE_NAME: &str = "synced";

/// Length of the last log file at its latest sync.
///
/// The watermark is written after each sync and not synced itself. After a crash it may be behind
/// the log but never ahead of it, so a log shorter than the watermark has lost acknowledged
/// records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncWatermark {
    sequence: [u8; 8],
    length: [u8; 8],
}

impl SyncWatermark {
    /// Creates the watermark of a log file, with its synced length in bytes.
    pub fn new(sequence: u64, length: u64) -> Self {
        Self {
            sequence: sequence.to_le_bytes(),
            length: length.to_le_bytes(),
        }
    }

    /// Returns the sequence number of the log file.
    pub fn sequence(&self) -> u64 {
        u64::from_le_bytes(self.sequence)
    }

    /// Returns the synced length of a log file in bytes; 0 if the watermark is of another file.
    pub fn synced_length(&self, sequence: u64) -> u64 {
        if self.sequence() == sequence {
            return u64::from_le_bytes(self.length);
        }
        0
    }

    /// Reads the watermark of a folder that contains the files `names`. A missing, incomplete
    /// or corrupted watermark is read as zero, so that no length counts as synced.
    ///
    /// # Errors
    ///
    /// Fails if the file exists and can't be read.
    pub fn read(disk: &mut dyn DiskIo, folder: &Path, names: &[String]) -> Result<Self> {
        if !names.iter().any(|name| name == FILE_NAME) {
            return Ok(Self::default());
        }
        let path = folder.join(FILE_NAME);
        let bytes = disk.read(&path).map_err(StoreError::at(&path))?;
        match record::decode(&bytes, 0) {
            DecodedRecord::Complete(watermark, _) => Ok(watermark),
            DecodedRecord::EndOfFile | DecodedRecord::Torn | DecodedRecord::Corrupted(_) => {
                Ok(Self::default())
            }
        }
    }

    /// Writes the watermark.
    ///
    /// # Errors
    ///
    /// Fails if the write fails.
    pub fn write(&self, disk: &mut dyn DiskIo, folder: &Path) -> Result<()> {
        let path = folder.join(FILE_NAME);
        let mut bytes = Vec::new();
        record::encode(self, &mut bytes)?;
        disk.overwrite(&path, &bytes).map_err(StoreError::at(&path))
    }
}
