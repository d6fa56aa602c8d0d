//! Log records and their replay.

use quorum::entry;
use quorum::ids;
use serde::{Deserialize, Serialize};

/// One record of a log file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogRecord {
    /// First record of each file.
    Start {
        /// Sequence number of the file.
        sequence: u64,
        /// Term, vote and membership at the start of the file, so that older files can be removed.
        hard: entry::HardState,
        /// Index of the last entry that the latest snapshot covers; 0 if there is no snapshot.
        index: ids::LogIndex,
        /// Term of that entry.
        term: ids::Term,
    },
    /// Term, vote or membership changed.
    Hard(entry::HardState),
    /// Entries from this index on were removed.
    Truncate(ids::LogIndex),
    /// An entry was appended.
    Entry(entry::LogEntry),
}

/// State of the log after the records replayed so far.
#[derive(Debug, Default)]
pub struct LogReplay {
    /// Term, vote and membership.
    pub hard: entry::HardState,
    /// Consecutive entries after the snapshot.
    pub entries: Vec<entry::LogEntry>,
    base_index: ids::LogIndex,
    snapshot_index: ids::LogIndex,
    started: bool,
}

impl LogReplay {
    /// Creates a replay. The entries up to `snapshot_index`, the last index of the latest snapshot,
    /// may be missing from the log.
    pub fn new(snapshot_index: ids::LogIndex) -> Self {
        Self {
            snapshot_index,
            ..Self::default()
        }
    }

    /// Replays a record.
    ///
    /// # Errors
    ///
    /// Returns the reason why the record can't follow the earlier ones.
    pub fn apply(&mut self, record: LogRecord) -> Result<(), &'static str> {
        match record {
            LogRecord::Start {
                hard, index, term, ..
            } => {
                self.hard = hard;
                self.apply_snapshot(index, term);
                self.started = true;
                Ok(())
            }
            _ if !self.started => Err("the file doesn't begin with a start record"),
            LogRecord::Hard(hard) => {
                self.hard = hard;
                Ok(())
            }
            LogRecord::Truncate(index) => {
                self.truncate(index);
                Ok(())
            }
            LogRecord::Entry(entry) => self.append(entry),
        }
    }

    /// Removes the entries that a snapshot covers, and all others if the log doesn't agree with the
    /// snapshot.
    ///
    /// The log agrees if it contains the snapshot's last entry, or if it starts after it, as the files
    /// with that entry and those that follow it may have been removed since by a later snapshot.
    pub fn apply_snapshot(&mut self, index: ids::LogIndex, term: ids::Term) {
        if index <= self.base_index {
            return;
        }
        let starts_after_snapshot = self
            .entries
            .first()
            .is_some_and(|entry| entry.index > index);
        let agrees = starts_after_snapshot
            || self
                .entries
                .iter()
                .any(|entry| entry.index == index && entry.term == term);
        if agrees {
            self.entries.retain(|entry| entry.index > index);
        } else {
            self.entries.clear();
        }
        self.base_index = index;
    }

    fn truncate(&mut self, index: ids::LogIndex) {
        self.entries.retain(|entry| entry.index < index);
    }

    fn append(&mut self, entry: entry::LogEntry) -> Result<(), &'static str> {
        let last = self
            .entries
            .last()
            .map_or(self.base_index, |entry| entry.index);
        if entry.index > last + 1 {
            if entry.index > self.snapshot_index + 1 {
                return Err("entries before this entry are missing");
            }
            // The snapshot covers the entries in the gap and before it.
            self.entries.clear();
        }
        if entry.index <= last {
            self.truncate(entry.index);
        }
        if entry.index > self.base_index {
            self.entries.push(entry);
        }
        Ok(())
    }
}
