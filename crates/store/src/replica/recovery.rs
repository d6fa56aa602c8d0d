//! What a replica finds in its folder at start.

use std::path::Path;

use quorum::entry;
use quorum::ids;

use super::{ReplicaStore, SegmentFile, LOCK_NAME, LOG_PREFIX, SNAPSHOT_PREFIX, UNFINISHED_SUFFIX};
use crate::error::{Result, StoreError};
use crate::identity::{self, FolderIdentity};
use crate::mark::SyncMark;
use crate::record::{self, ReadRecord};
use crate::segment::{LogRecord, LogReplay};

/// A log file that is replayed.
#[derive(Debug, Clone, Copy)]
struct LogFile {
    sequence: u64,
    /// No other file follows it.
    last: bool,
    /// Bytes that are known to have been synced.
    synced: u64,
}

impl ReplicaStore {
    pub(super) fn recover(&mut self, replica: ids::ReplicaId) -> Result<entry::RecoveredState> {
        let names = self.list()?;
        for name in names.iter().filter(|n| n.ends_with(UNFINISHED_SUFFIX)) {
            let path = self.folder.join(name);
            self.disk.remove(&path).map_err(StoreError::at(&path))?;
        }
        let blank = !names.iter().any(|name| is_state(name));
        if blank {
            self.put_identity(replica)?;
        }
        let identity = FolderIdentity::read(self.disk.as_mut(), &self.folder, replica)?;
        let snapshot = self.read_snapshot()?;
        let mark = SyncMark::read(self.disk.as_mut(), &self.folder, &names)?;
        let replay = self.replay(&snapshot, mark)?;
        self.base = (snapshot.index, snapshot.term);
        self.hard = replay.hard;
        if self.segments.is_empty() {
            self.start_segment()?;
        }
        self.remove_replaced()?;
        Ok(entry::RecoveredState {
            incarnation: identity.incarnation,
            blank,
            hard: replay.hard,
            snapshot,
            entries: replay.entries,
        })
    }

    fn put_identity(&mut self, replica: ids::ReplicaId) -> Result<()> {
        let mut bytes = Vec::new();
        record::encode(&FolderIdentity::draw(replica), &mut bytes)?;
        self.put_file(identity::FILE_NAME, &bytes)
    }

    fn read_snapshot(&mut self) -> Result<entry::LogSnapshot> {
        let Some((name, _)) = self.numbered(SNAPSHOT_PREFIX)?.pop() else {
            return Ok(entry::LogSnapshot::default());
        };
        let path = self.folder.join(name);
        let bytes = self.disk.read(&path).map_err(StoreError::at(&path))?;
        match record::decode(&bytes, 0) {
            ReadRecord::Whole(snapshot, end) if end == bytes.len() => Ok(snapshot),
            ReadRecord::Damaged(reason) => Err(StoreError::Damaged(path, 0, reason)),
            _ => Err(StoreError::Damaged(path, 0, "it is not one whole record")),
        }
    }

    fn replay(&mut self, snapshot: &entry::LogSnapshot, mark: SyncMark) -> Result<LogReplay> {
        let mut files = self.numbered(LOG_PREFIX)?;
        self.remove_returned(&mut files, snapshot.index)?;
        let mut replay = LogReplay::new(snapshot.index);
        for (position, (name, sequence)) in files.iter().enumerate() {
            let path = self.folder.join(name);
            let last = position + 1 == files.len();
            let follows = self
                .segments
                .last()
                .is_none_or(|s| s.sequence + 1 == *sequence);
            if !follows {
                return Err(StoreError::Damaged(
                    path,
                    0,
                    "the log file before it is missing",
                ));
            }
            let file = LogFile {
                sequence: *sequence,
                last,
                synced: mark.length_of(*sequence),
            };
            let segment = self.replay_file(&path, file, &mut replay)?;
            self.segments.push(segment);
        }
        let last = files.last().map_or(0, |(_, sequence)| *sequence);
        if last < mark.sequence() || (files.is_empty() && snapshot.index > 0) {
            let path = self.folder.clone();
            return Err(StoreError::Damaged(path, 0, "log files are missing"));
        }
        replay.start_after(snapshot.index, snapshot.term);
        let first = replay
            .entries
            .first()
            .map_or(snapshot.index + 1, |e| e.index);
        if first != snapshot.index + 1 {
            let path = self.folder.clone();
            return Err(StoreError::Damaged(
                path,
                0,
                "entries after the snapshot are missing",
            ));
        }
        Ok(replay)
    }

    /// Removes log files that a snapshot replaced and that a power loss brought back: those before
    /// a gap, where the file after it begins with what the snapshot holds.
    fn remove_returned(
        &mut self,
        files: &mut Vec<(String, u64)>,
        snapshot: ids::LogIndex,
    ) -> Result<()> {
        let gap = (1..files.len()).rfind(|place| files[*place].1 != files[place - 1].1 + 1);
        let Some(gap) = gap else {
            return Ok(());
        };
        let path = self.folder.join(&files[gap].0);
        let bytes = self.disk.read(&path).map_err(StoreError::at(&path))?;
        let replaced = match record::decode::<LogRecord>(&bytes, 0) {
            ReadRecord::Whole(LogRecord::Start { index, .. }, _) => index > 0 && index <= snapshot,
            _ => false,
        };
        if !replaced {
            return Ok(());
        }
        for (name, _) in files.drain(..gap) {
            let path = self.folder.join(&name);
            log::warn!(target: "store", "a replaced log file came back and is removed; file={name}");
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
        let damaged =
            |offset: usize, reason| StoreError::Damaged(path.to_path_buf(), offset as u64, reason);
        let mut last_index = 0;
        let mut offset = 0;
        loop {
            match record::decode::<LogRecord>(&bytes, offset) {
                ReadRecord::Whole(record, end) => {
                    let start = matches!(record, LogRecord::Start { .. });
                    if start != (offset == 0) {
                        return Err(damaged(offset, "a start record is out of place"));
                    }
                    if let LogRecord::Entry(entry) = &record {
                        last_index = last_index.max(entry.index);
                    }
                    replay
                        .apply(record)
                        .map_err(|reason| damaged(offset, reason))?;
                    offset = end;
                }
                ReadRecord::End | ReadRecord::Torn if (offset as u64) < file.synced => {
                    let reason = "the file is shorter than it was when it was synced";
                    return Err(damaged(offset, reason));
                }
                ReadRecord::End if offset > 0 => break,
                ReadRecord::Torn if file.last && offset > 0 => {
                    self.cut(path, offset as u64)?;
                    break;
                }
                ReadRecord::End | ReadRecord::Torn => {
                    return Err(damaged(offset, "the file ends too early"));
                }
                // A power loss keeps some of the bytes after the last sync and loses others.
                ReadRecord::Damaged(_)
                    if file.last && offset > 0 && offset as u64 >= file.synced =>
                {
                    self.cut(path, offset as u64)?;
                    break;
                }
                ReadRecord::Damaged(reason) => return Err(damaged(offset, reason)),
            }
        }
        Ok(SegmentFile {
            sequence: file.sequence,
            last_index,
            bytes: offset as u64,
        })
    }

    /// Removes a record that a crash cut short.
    fn cut(&mut self, path: &Path, length: u64) -> Result<()> {
        log::warn!(target: "store", "cut an incomplete record from {} at byte {length}", path.display());
        self.disk
            .truncate(path, length)
            .map_err(StoreError::at(path))?;
        self.disk.sync_file(path).map_err(StoreError::at(path))
    }
}

/// Tells whether a file of this name holds state that a start depends on.
fn is_state(name: &str) -> bool {
    let finished = !name.ends_with(UNFINISHED_SUFFIX);
    finished && name != LOCK_NAME
}
