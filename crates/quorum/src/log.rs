//! Log entries that a replica holds in memory.

use std::collections::VecDeque;

use crate::entry::LogEntry;
use crate::ids;

/// The uncompacted part of the log: the entries after a base entry that is committed and removed.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReplicatedLog {
    base_index: ids::LogIndex,
    base_term: ids::Term,
    entries: VecDeque<LogEntry>,
}

impl ReplicatedLog {
    /// Creates an empty log after the given base entry.
    pub(crate) fn new(base_index: ids::LogIndex, base_term: ids::Term) -> Self {
        Self {
            base_index,
            base_term,
            entries: VecDeque::new(),
        }
    }

    /// Returns the index of the last compacted entry.
    pub(crate) fn base_index(&self) -> ids::LogIndex {
        self.base_index
    }

    /// Returns the index of the last entry.
    pub(crate) fn last_index(&self) -> ids::LogIndex {
        self.base_index + self.entries.len() as u64
    }

    /// Returns the term of the last entry.
    pub(crate) fn last_term(&self) -> ids::Term {
        self.entries.back().map_or(self.base_term, |last| last.term)
    }

    /// Returns the number of entries in memory.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the term of an entry, or `None` if the entry is compacted or doesn't exist.
    pub(crate) fn term_at(&self, index: ids::LogIndex) -> Option<ids::Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns an entry, or `None` if the entry is compacted or doesn't exist.
    pub(crate) fn get(&self, index: ids::LogIndex) -> Option<&LogEntry> {
        let position = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Returns up to `limit` entries, starting at index `from`.
    pub(crate) fn slice(&self, from: ids::LogIndex, limit: usize) -> Vec<LogEntry> {
        let skipped = from.saturating_sub(self.base_index + 1);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        self.entries
            .iter()
            .skip(skipped)
            .take(limit)
            .cloned()
            .collect()
    }

    /// Returns the entries for one message, starting at index `from`: up to `limit` entries and up
    /// to `max_bytes` bytes of commands, but at least one entry if there is any.
    pub(crate) fn batch(
        &self,
        from: ids::LogIndex,
        limit: usize,
        max_bytes: usize,
    ) -> Vec<LogEntry> {
        let mut batch = Vec::new();
        let mut command_bytes = 0;
        for index in from..=self.last_index() {
            let Some(entry) = self.get(index) else {
                break;
            };
            let full =
                batch.len() >= limit || command_bytes + entry.payload.command_len() > max_bytes;
            if full && !batch.is_empty() {
                break;
            }
            command_bytes += entry.payload.command_len();
            batch.push(entry.clone());
        }
        batch
    }

    /// Returns the bytes of commands in the entries after index `after`, up to index `to`. Stops
    /// counting at `limit`.
    pub(crate) fn command_bytes(
        &self,
        after: ids::LogIndex,
        to: ids::LogIndex,
        limit: usize,
    ) -> usize {
        let mut bytes = 0;
        for index in after + 1..=to {
            if bytes >= limit {
                break;
            }
            bytes += self.get(index).map_or(0, |e| e.payload.command_len());
        }
        bytes
    }

    /// Returns the lowest index after which up to `max_entries` entries with up to `max_bytes` bytes
    /// of commands precede the entry after `index`.
    pub(crate) fn retention_base(
        &self,
        index: ids::LogIndex,
        max_entries: u64,
        max_bytes: usize,
    ) -> ids::LogIndex {
        let lowest = index.saturating_sub(max_entries).max(self.base_index);
        let mut base = index;
        let mut bytes = 0;
        while base > lowest {
            bytes += self.get(base).map_or(0, |e| e.payload.command_len());
            if bytes > max_bytes {
                break;
            }
            base -= 1;
        }
        base
    }

    /// Appends the entry that follows the last one.
    pub(crate) fn append(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Removes the entries from index `from` on.
    pub(crate) fn truncate(&mut self, from: ids::LogIndex) {
        let kept = from.saturating_sub(self.base_index + 1);
        self.entries
            .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
    }

    /// Compacts the log: removes the entries up to index `to`, which becomes the base.
    pub(crate) fn compact(&mut self, to: ids::LogIndex) {
        while self.base_index < to {
            let Some(first) = self.entries.pop_front() else {
                return;
            };
            self.base_index = first.index;
            self.base_term = first.term;
        }
    }
}
