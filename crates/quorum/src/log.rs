//! The entries that a replica holds in memory.

use std::collections::VecDeque;

use crate::entry::LogEntry;
use crate::ids;

/// Entries after a base that is committed and gone.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReplicatedLog {
    base_index: ids::LogIndex,
    base_term: ids::Term,
    entries: VecDeque<LogEntry>,
}

impl ReplicatedLog {
    /// Creates an empty log after the given base.
    pub(crate) fn new(base_index: ids::LogIndex, base_term: ids::Term) -> Self {
        Self {
            base_index,
            base_term,
            entries: VecDeque::new(),
        }
    }

    /// Returns the last entry that is gone.
    pub(crate) fn base_index(&self) -> ids::LogIndex {
        self.base_index
    }

    /// Returns the last entry.
    pub(crate) fn last_index(&self) -> ids::LogIndex {
        self.base_index + self.entries.len() as u64
    }

    /// Returns the term of the last entry.
    pub(crate) fn last_term(&self) -> ids::Term {
        self.entries.back().map_or(self.base_term, |last| last.term)
    }

    /// Returns the number of entries held.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the term of an entry, where it is known.
    pub(crate) fn term_at(&self, index: ids::LogIndex) -> Option<ids::Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns an entry, where it is held.
    pub(crate) fn get(&self, index: ids::LogIndex) -> Option<&LogEntry> {
        let place = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(place).ok()?)
    }

    /// Returns the entries from one on, at most `limit`.
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

    /// Returns the entries from one on for one message: at most `limit`, and at least one where
    /// there is one, but no more after `bytes` of commands.
    pub(crate) fn batch(&self, from: ids::LogIndex, limit: usize, bytes: usize) -> Vec<LogEntry> {
        let mut batch = Vec::new();
        let mut taken = 0;
        for index in from..=self.last_index() {
            let Some(entry) = self.get(index) else {
                break;
            };
            let full = batch.len() >= limit || taken + entry.payload.bytes() > bytes;
            if full && !batch.is_empty() {
                break;
            }
            taken += entry.payload.bytes();
            batch.push(entry.clone());
        }
        batch
    }

    /// Appends an entry that follows the last one.
    pub(crate) fn append(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Removes the entries from one on.
    pub(crate) fn truncate(&mut self, from: ids::LogIndex) {
        let kept = from.saturating_sub(self.base_index + 1);
        self.entries
            .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
    }

    /// Removes the entries up to one, which becomes the base.
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
