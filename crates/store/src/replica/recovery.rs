//! Recovery of a replica's state from its folder at start.

use std::path::Path;

use quorum::entry;
use quorum::ids;

use super::{
    log_name, ReplicaStore, SegmentFile, LOCK_FILE_NAME, LOG_PREFIX, SNAPSHOT_PREFIX,
    TEMPORARY_SUFFIX,
};
use crate::error::{Result, StoreError};
use crate::identity::{self, FolderIdentity};
use crate::record::{self, DecodedRecord};
use crate::segment::{LogRecord, LogReplay};
use crate::watermark::SyncWatermark;

/// A log file to replay.
#[derive(Debug, Clone, Copy)]
struct LogFile {
    sequence: u64,
    /// Whether this is the newest log file.
    is_last: bool,
    /// Number of bytes that are known to be synced.
    synced_length: u64,
}

impl ReplicaStore {
    /// Removes temporary files, creates the identity of a blank folder, and returns the state that
    /// the folder holds.
    pub(super) fn recover(&mut self, replica: ids::ReplicaId) -> Result<entry::RecoveredState> {
        let names = self.list()?;
        for name in names.iter().filter(|n| n.ends_with(TEMPORARY_SUFFIX)) {
            let path = self.folder.join(name);
            self.disk.remove(&path).map_err(StoreError::at(&path))?;
        }
        let blank = !names.iter().any(|name| is_state_file(name));
        if blank {
            self.create_identity(replica)?;
        }
        let identity = FolderIdentity::read(self.disk.as_mut(), &self.folder, replica)?;
        let snapshot = self.read_snapshot()?;
        let watermark = SyncWatermark::read(self.disk.as_mut(), &self.folder, &names)?;
        let replay = self.replay(&snapshot, watermark)?;
        self.base = (snapshot.index, snapshot.term);
        self.hard = replay.hard;
        match self.segments.last().copied() {
            Some(segment) => self.sync_recovered(segment, watermark)?,
            None => self.start_segment()?,
        }
        self.remove_superseded()?;
        Ok(entry::RecoveredState {
            incarnation: identity.incarnation,
            blank,
            hard: replay.hard,
            snapshot,
            entries: replay.entries,
        })
    }

    /// Syncs what was recovered from the last log file and from the folder. A process that was killed
    /// may have written records and renamed files without a sync, and a power loss would still lose
    /// them.
    fn sync_recovered(&mut self, segment: SegmentFile, watermark: SyncWatermark) -> Result<()> {
        if segment.bytes > watermark.synced_length(segment.sequence) {
            let path = self.folder.join(log_name(segment.sequence));
            self.disk.sync_file(&path).map_err(StoreError::at(&path))?;
        }
        self.disk
            .sync_folder(&self.folder)
            .map_err(StoreError::at(&self.folder))?;
        let watermark = SyncWatermark::new(segment.sequence, segment.bytes);
        watermark.write(self.disk.as_mut(), &self.folder)
    }

    fn create_identity(&mut self, replica: ids::ReplicaId) -> Result<()> {
        let mut bytes = Vec::new();
        record::encode(&FolderIdentity::generate(replica), &mut bytes)?;
        self.write_file_atomically(identity::FILE_NAME, &bytes)
    }

    fn read_snapshot(&mut self) -> Result<entry::LogSnapshot> {
        let Some((name, _)) = self.list_numbered(SNAPSHOT_PREFIX)?.pop() else {
            return Ok(entry::LogSnapshot::default());
        };
        let path = self.folder.join(name);
        let bytes = self.disk.read(&path).map_err(StoreError::at(&path))?;
        match record::decode(&bytes, 0) {
            DecodedRecord::Complete(snapshot, end) if end == bytes.len() => Ok(snapshot),
            DecodedRecord::Corrupted(reason) => Err(StoreError::Corrupted(path, 0, reason)),
            _ => Err(StoreError::Corrupted(
                path,
                0,
                "the file is not a single complete record",
            )),
        }
    }

    fn replay(
        &mut self,
        snapshot: &entry::LogSnapshot,
        watermark: SyncWatermark,
    ) -> Result<LogReplay> {
        let mut files = self.list_numbered(LOG_PREFIX)?;
        self.remove_reappeared(&mut files, snapshot.index)?;
        let mut replay = LogReplay::new(snapshot.index);
        for (position, (name, sequence)) in files.iter().enumerate() {
            let path = self.folder.join(name);
            let is_last = position + 1 == files.len();
            let is_consecutive = self
                .segments
                .last()
                .is_none_or(|s| s.sequence + 1 == *sequence);
            if !is_consecutive {
                return Err(StoreError::Corrupted(
                    path,
                    0,
                    "the previous log file is missing",
                ));
            }
            let file = LogFile {
                sequence: *sequence,
                is_last,
                synced_length: watermark.synced_length(*sequence),
            };
            let segment = self.replay_file(&path, file, &mut replay)?;
            self.segments.push(segment);
        }
        let last = files.last().map_or(0, |(_, sequence)| *sequence);
        if last < watermark.sequence() || (files.is_empty() && snapshot.index > 0) {
            let path = self.folder.clone();
            return Err(StoreError::Corrupted(path, 0, "log files are missing"));
        }
        replay.apply_snapshot(snapshot.index, snapshot.term);
        let first = replay
            .entries
            .first()
            .map_or(snapshot.index + 1, |e| e.index);
        if first != snapshot.index + 1 {
            let path = self.folder.clone();
            return Err(StoreError::Corrupted(
                path,
                0,
                "entries after the snapshot are missing",
            ));
        }
        Ok(replay)
    }

    /// Removes log files that a snapshot superseded and that reappeared after a power loss. These
    /// are the files before a gap in the sequence numbers, if the start record of the file after
    /// the gap names a snapshot that is not newer than the recovered one.
    fn remove_reappeared(
        &mut self,
        files: &mut Vec<(String, u64)>,
        snapshot_index: ids::LogIndex,
    ) -> Result<()> {
        let gap =
            (1..files.len()).rfind(|position| files[*position].1 != files[position - 1].1 + 1);
        let Some(gap) = gap else {
            return Ok(());
        };
        let path = self.folder.join(&files[gap].0);
        let bytes = self.disk.read(&path).map_err(StoreError::at(&path))?;
        let superseded = match record::decode::<LogRecord>(&bytes, 0) {
            DecodedRecord::Complete(LogRecord::Start { index, .. }, _) => {
                index > 0 && index <= snapshot_index
            }
            _ => false,
        };
        if !superseded {
            return Ok(());
        }
        for (name, _) in files.drain(..gap) {
            let path = self.folder.join(&name);
            log::warn!(target: "store", "removing a superseded log file that reappeared; file={name}");
            self.disk.remove(&path).map_err(StoreError::at(&path))?;
        }
        Ok(())
    }

    fn replay_file(
        &mut self,
        path: &Path,
        file: LogFile,
        replay: &mut LogReplay,
    ) -> Result<SegmentFile> {
        let bytes = self.disk.read(path).map_err(StoreError::at(path))?;
        let corrupted = |offset: usize, reason| {
            StoreError::Corrupted(path.to_path_buf(), offset as u64, reason)
        };
        let mut last_index = 0;
        let mut offset = 0;
        loop {
            match record::decode::<LogRecord>(&bytes, offset) {
                DecodedRecord::Complete(record, end) => {
                    let is_start = matches!(record, LogRecord::Start { .. });
                    if is_start != (offset == 0) {
                        return Err(corrupted(offset, "a start record is missing or misplaced"));
                    }
                    if let LogRecord::Entry(entry) = &record {
                        last_index = last_index.max(entry.index);
                    }
                    replay
                        .apply(record)
                        .map_err(|reason| corrupted(offset, reason))?;
                    offset = end;
                }
                DecodedRecord::EndOfFile | DecodedRecord::Torn
                    if (offset as u64) < file.synced_length =>
                {
                    let reason = "the file is shorter than it was when it was synced";
                    return Err(corrupted(offset, reason));
                }
                DecodedRecord::EndOfFile if offset > 0 => break,
                DecodedRecord::Torn if file.is_last && offset > 0 => {
                    self.truncate_log(path, offset as u64)?;
                    break;
                }
                DecodedRecord::EndOfFile | DecodedRecord::Torn => {
                    return Err(corrupted(
                        offset,
                        "the file is empty or ends within a record",
                    ));
                }
                // A power loss can keep some of the bytes after the last sync and lose others.
                DecodedRecord::Corrupted(_)
                    if file.is_last && offset > 0 && offset as u64 >= file.synced_length =>
                {
                    self.truncate_log(path, offset as u64)?;
                    break;
                }
                DecodedRecord::Corrupted(reason) => return Err(corrupted(offset, reason)),
            }
        }
        Ok(SegmentFile {
            sequence: file.sequence,
            last_index,
            bytes: offset as u64,
        })
    }

    /// Truncates the log before an incomplete or corrupted record at its unsynced end.
    fn truncate_log(&mut self, path: &Path, length: u64) -> Result<()> {
        log::warn!(target: "store", "cut an incomplete record from {} at byte {length}", path.display());
        self.disk
            .truncate(path, length)
            .map_err(StoreError::at(path))?;
        self.disk.sync_file(path).map_err(StoreError::at(path))
    }
}

/// Returns whether a file of this name holds state that a start needs.
fn is_state_file(name: &str) -> bool {
    let finished = !name.ends_with(TEMPORARY_SUFFIX);
    finished && name != LOCK_FILE_NAME
}
