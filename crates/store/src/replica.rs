//! The store of one replica.

mod recovery;

use std::fmt;
use std::path::{Path, PathBuf};

use quorum::entry;
use quorum::event::PersistWrite;
use quorum::ids;

use crate::disk::{DiskIo, SystemDisk};
use crate::error::{Result, StoreError};
use crate::record;
use crate::segment::LogRecord;
use crate::watermark::SyncWatermark;

/// Name of the file that a running process keeps locked.
pub const LOCK_FILE_NAME: &str = "lock";

const LOG_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_SUFFIX: &str = ".new";

/// Stores a replica's log and snapshots in one folder.
///
/// Each write is synced before [`ReplicaStore::write`] returns. After a failed write the store
/// rejects all later writes: the durable state is unknown then, and nothing may be acknowledged.
pub struct ReplicaStore {
    disk: Box<dyn DiskIo>,
    folder: PathBuf,
    hard: entry::HardState,
    /// Index and term of the last entry that the latest snapshot covers.
    base: (ids::LogIndex, ids::Term),
    segments: Vec<SegmentFile>,
    /// Whether a write failed, so that all later writes are rejected.
    failed: bool,
}

/// A log file, with what decides whether it can be removed.
#[derive(Debug, Clone, Copy)]
struct SegmentFile {
    sequence: u64,
    last_index: ids::LogIndex,
    bytes: u64,
}

/// Encoded records that are not yet written to the log.
#[derive(Debug, Default)]
struct LogBuffer {
    bytes: Vec<u8>,
    last_index: ids::LogIndex,
}

impl LogBuffer {
    fn add(&mut self, write: &PersistWrite) -> Result<()> {
        if let Some(hard) = write.hard {
            record::encode(&LogRecord::Hard(hard), &mut self.bytes)?;
        }
        if let Some(index) = write.truncate_from {
            record::encode(&LogRecord::Truncate(index), &mut self.bytes)?;
        }
        for entry in &write.append {
            record::encode(&LogRecord::Entry(entry.clone()), &mut self.bytes)?;
            self.last_index = self.last_index.max(entry.index);
        }
        Ok(())
    }
}

impl ReplicaStore {
    /// Size in bytes above which the next write starts a new log file.
    pub const SEGMENT_BYTES: u64 = 16 << 20;

    /// Opens a folder; creates it if it doesn't exist.
    ///
    /// A torn record at the end of the log is removed.
    ///
    /// # Errors
    ///
    /// Fails if the folder is in use, belongs to another replica, is corrupted before the end of
    /// the log, or can't be read or written.
    pub fn open(folder: &Path, replica: ids::ReplicaId) -> Result<(Self, entry::RecoveredState)> {
        Self::open_with_disk(Box::new(SystemDisk::default()), folder, replica)
    }

    /// Opens a folder on the given disk.
    ///
    /// # Errors
    ///
    /// Same as [`ReplicaStore::open`].
    pub fn open_with_disk(
        mut disk: Box<dyn DiskIo>,
        folder: &Path,
        replica: ids::ReplicaId,
    ) -> Result<(Self, entry::RecoveredState)> {
        disk.create_folder(folder).map_err(StoreError::at(folder))?;
        let lock = folder.join(LOCK_FILE_NAME);
        if !disk.lock(&lock).map_err(StoreError::at(&lock))? {
            return Err(StoreError::InUse(folder.to_path_buf()));
        }
        let mut store = Self {
            disk,
            folder: folder.to_path_buf(),
            hard: entry::HardState::default(),
            base: (0, 0),
            segments: Vec::new(),
            failed: false,
        };
        let state = store.recover(replica)?;
        Ok((store, state))
    }

    /// Writes and syncs; the write is durable when this returns.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails; all later writes fail as well.
    pub fn write(&mut self, write: &PersistWrite) -> Result<()> {
        self.write_group(std::slice::from_ref(write))
    }

    /// Writes several writes in order with as few syncs as possible; all are durable when this
    /// returns.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails; some of the writes may be durable. All later writes fail as well.
    pub fn write_group(&mut self, writes: &[PersistWrite]) -> Result<()> {
        if self.failed {
            return Err(StoreError::Closed);
        }
        let result = self.write_all(writes);
        self.failed = result.is_err();
        result
    }

    fn write_all(&mut self, writes: &[PersistWrite]) -> Result<()> {
        let mut buffer = LogBuffer::default();
        for write in writes {
            if let Some(snapshot) = &write.snapshot {
                self.flush(&mut buffer)?;
                self.write_snapshot(snapshot)?;
            }
            buffer.add(write)?;
            self.hard = write.hard.unwrap_or(self.hard);
        }
        self.flush(&mut buffer)
    }

    /// Appends the buffered records to the log and syncs it.
    fn flush(&mut self, buffer: &mut LogBuffer) -> Result<()> {
        let LogBuffer { bytes, last_index } = std::mem::take(buffer);
        if bytes.is_empty() {
            return Ok(());
        }
        let full = |segment: &SegmentFile| segment.bytes > Self::SEGMENT_BYTES;
        if self.segments.last().is_some_and(full) {
            self.start_segment()?;
        }
        self.append_segment(&bytes, last_index)
    }

    fn append_segment(&mut self, bytes: &[u8], last_index: ids::LogIndex) -> Result<()> {
        let Some(segment) = self.segments.last_mut() else {
            return Err(StoreError::Closed);
        };
        segment.bytes += bytes.len() as u64;
        segment.last_index = segment.last_index.max(last_index);
        let path = self.folder.join(log_name(segment.sequence));
        let watermark = SyncWatermark::new(segment.sequence, segment.bytes);
        self.disk
            .append(&path, bytes)
            .map_err(StoreError::at(&path))?;
        self.disk.sync_file(&path).map_err(StoreError::at(&path))?;
        watermark.write(self.disk.as_mut(), &self.folder)
    }

    /// Stores a snapshot, starts a new log file and removes the files that the snapshot supersedes.
    ///
    /// The snapshot is durable before any file is removed.
    fn write_snapshot(&mut self, snapshot: &entry::LogSnapshot) -> Result<()> {
        if snapshot.index <= self.base.0 {
            return Ok(());
        }
        let mut bytes = Vec::new();
        record::encode(snapshot, &mut bytes)?;
        self.write_file_atomically(&snapshot_name(snapshot.index), &bytes)?;
        self.base = (snapshot.index, snapshot.term);
        self.start_segment()?;
        self.remove_superseded()
    }

    /// Writes a file atomically: writes and syncs it under a temporary name, renames it and syncs
    /// the folder.
    fn write_file_atomically(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let path = self.folder.join(name);
        let temporary = self.folder.join(format!("{name}{TEMPORARY_SUFFIX}"));
        let disk = &mut self.disk;
        disk.append(&temporary, bytes)
            .map_err(StoreError::at(&temporary))?;
        disk.sync_file(&temporary)
            .map_err(StoreError::at(&temporary))?;
        disk.rename(&temporary, &path)
            .map_err(StoreError::at(&path))?;
        disk.sync_folder(&self.folder)
            .map_err(StoreError::at(&self.folder))
    }

    fn start_segment(&mut self) -> Result<()> {
        let sequence = self.segments.last().map_or(1, |s| s.sequence + 1);
        let mut bytes = Vec::new();
        let record = LogRecord::Start {
            sequence,
            hard: self.hard,
            index: self.base.0,
            term: self.base.1,
        };
        record::encode(&record, &mut bytes)?;
        self.write_file_atomically(&log_name(sequence), &bytes)?;
        self.segments.push(SegmentFile {
            sequence,
            last_index: 0,
            bytes: bytes.len() as u64,
        });
        Ok(())
    }

    /// Removes superseded snapshots, and the oldest log files whose entries are all covered by the
    /// latest snapshot.
    fn remove_superseded(&mut self) -> Result<()> {
        let base = self.base.0;
        let open = self.segments.len().saturating_sub(1);
        let count = self
            .segments
            .iter()
            .take(open)
            .take_while(|s| s.last_index <= base)
            .count();
        for segment in self.segments.drain(..count) {
            let path = self.folder.join(log_name(segment.sequence));
            self.disk.remove(&path).map_err(StoreError::at(&path))?;
        }
        for (name, index) in self.list_numbered(SNAPSHOT_PREFIX)? {
            if index < base {
                let path = self.folder.join(name);
                self.disk.remove(&path).map_err(StoreError::at(&path))?;
            }
        }
        Ok(())
    }

    fn list(&mut self) -> Result<Vec<String>> {
        self.disk
            .list(&self.folder)
            .map_err(StoreError::at(&self.folder))
    }

    /// Lists the files named by `prefix` and a number, ordered by number.
    fn list_numbered(&mut self, prefix: &str) -> Result<Vec<(String, u64)>> {
        let mut files: Vec<_> = self
            .list()?
            .into_iter()
            .filter_map(|name| {
                let number = name.strip_prefix(prefix)?.parse().ok()?;
                Some((name, number))
            })
            .collect();
        files.sort_by_key(|(_, number)| *number);
        Ok(files)
    }
}

impl fmt::Debug for ReplicaStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ReplicaStore")
            .field("folder", &self.folder)
            .field("hard", &self.hard)
            .field("base", &self.base)
            .field("segments", &self.segments)
            .field("failed", &self.failed)
            .finish_non_exhaustive()
    }
}

fn log_name(sequence: u64) -> String {
    format!("{LOG_PREFIX}{sequence:020}")
}

fn snapshot_name(index: ids::LogIndex) -> String {
    format!("{SNAPSHOT_PREFIX}{index:020}")
}
