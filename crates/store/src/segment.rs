//! Records of the log and their replay.

use quorum::entry;
use quorum::ids;
use serde::{Deserialize, Serialize};

/// One record of a log file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogRecord {
    /// First record of each file.
    Start {
        /// Number of the file.
        sequence: u64,
        /// Term and vote at that time, so that older files may go.
        hard: entry::HardState,
        /// Last entry of the latest snapshot; 0 where there is none.
        index: ids::LogIndex,
        /// Term of that entry.
        term: ids::Term,
    },
    /// Term and vote changed.
    Hard(entry::HardState),
    /// Entries from this index on are gone.
    Truncate(ids::LogIndex),
    /// An entry was appended.
    Entry(entry::LogEntry),
}

/// What the log says after the records replayed so far.
#[derive(Debug, Default)]
pub struct LogReplay {
    /// Term and vote.
    pub hard: entry::HardState,
    /// Entries without a gap.
    pub entries: Vec<entry::LogEntry>,
    base: ids::LogIndex,
    snapshot: ids::LogIndex,
    started: bool,
}

impl LogReplay {
    /// Creates a replay of a log whose entries up to a snapshot's last may be gone.
    pub fn new(snapshot: ids::LogIndex) -> Self {
        Self {
            snapshot,
            ..Self::default()
        }
    }

    /// Replays a record.
    ///
    /// # Errors
    ///
    /// Tells why the record can't follow those before it.
    pub fn apply(&mut self, record: LogRecord) -> Result<(), &'static str> {
        match record {
            LogRecord::Start {
                hard, index, term, ..
            } => {
                self.hard = hard;
                self.start_after(index, term);
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

    /// Drops what a snapshot holds, and all else where the log doesn't agree with the snapshot.
    ///
    /// The log agrees where it has the snapshot's last entry, or begins right behind it: the file
    /// that ended with that entry may be gone.
    pub fn start_after(&mut self, index: ids::LogIndex, term: ids::Term) {
        if index <= self.base {
            return;
        }
        let begins_behind = self
            .entries
            .first()
            .is_some_and(|entry| entry.index == index + 1);
        let agrees = begins_behind
            || self
                .entries
                .iter()
                .any(|entry| entry.index == index && entry.term == term);
        if agrees {
            self.entries.retain(|entry| entry.index > index);
        } else {
            self.entries.clear();
        }
        self.base = index;
    }

    fn truncate(&mut self, index: ids::LogIndex) {
        self.entries.retain(|entry| entry.index < index);
    }

    fn append(&mut self, entry: entry::LogEntry) -> Result<(), &'static str> {
        let last = self.entries.last().map_or(self.base, |entry| entry.index);
        if entry.index > last + 1 {
            if entry.index > self.snapshot + 1 {
                return Err("entries are missing before this one");
            }
            self.entries.clear();
        }
        if entry.index <= last {
            self.truncate(entry.index);
        }
        if entry.index > self.base {
            self.entries.push(entry);
        }
        Ok(())
    }
}
