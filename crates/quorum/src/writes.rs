//! Writes that are on their way to the disk, and the messages that wait for them.

use std::collections::VecDeque;

use crate::entry::{HardState, LogSnapshot};
use crate::event::{Effect, PersistWrite};
use crate::ids;
use crate::log::ReplicatedLog;

/// What must be synced before a message may leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SyncNeed {
    /// Term and vote.
    HardState,
    /// All that was written before.
    Everything,
    /// Nothing.
    Nothing,
}

/// Collects the changes of one event into one write and holds messages back until it is synced.
#[derive(Debug, Default)]
pub(crate) struct WriteQueue {
    issued: ids::PersistToken,
    persisted: ids::PersistToken,
    hard_token: ids::PersistToken,
    hard_changed: bool,
    truncate_from: Option<ids::LogIndex>,
    snapshot: Option<LogSnapshot>,
    /// Last entry that was given to a write.
    handed: ids::LogIndex,
    /// Last entry that is synced.
    synced: ids::LogIndex,
    /// Last entry handed with each write that is not synced yet.
    in_flight: VecDeque<(ids::PersistToken, ids::LogIndex)>,
    held: VecDeque<(ids::PersistToken, Effect)>,
}

impl WriteQueue {
    /// Creates a queue for a log whose entries up to `synced` are on the disk.
    pub(crate) fn new(synced: ids::LogIndex) -> Self {
        Self {
            handed: synced,
            synced,
            ..Self::default()
        }
    }

    /// Returns the last entry that is synced.
    pub(crate) fn synced(&self) -> ids::LogIndex {
        self.synced
    }

    /// Returns the number of messages that wait for a write.
    pub(crate) fn held(&self) -> usize {
        self.held.len()
    }

    /// Returns whether term and vote are synced.
    pub(crate) fn is_hard_synced(&self) -> bool {
        !self.hard_changed && self.hard_token <= self.persisted
    }

    /// Notes that term, vote or membership changed.
    pub(crate) fn change_hard(&mut self) {
        self.hard_changed = true;
    }

    /// Notes that the entries from one on were removed.
    pub(crate) fn truncate(&mut self, from: ids::LogIndex) {
        let last = from.saturating_sub(1);
        if from <= self.handed {
            let lowest = self.truncate_from.map_or(from, |old| old.min(from));
            self.truncate_from = Some(lowest);
            self.handed = last;
        }
        self.synced = self.synced.min(last);
        for (_, index) in &mut self.in_flight {
            *index = (*index).min(last);
        }
    }

    /// Notes a snapshot; with `clear` the entries after it are removed too.
    pub(crate) fn put_snapshot(&mut self, snapshot: LogSnapshot, clear: bool) {
        let index = snapshot.index;
        if clear {
            self.truncate(index + 1);
            self.truncate_from = Some(index + 1);
        }
        self.handed = self.handed.max(index);
        self.snapshot = Some(snapshot);
    }

    /// Returns the write for all that changed.
    ///
    /// With `group`, entries alone wait for the write before them, so that one sync serves all
    /// that came meanwhile.
    pub(crate) fn take_write(
        &mut self,
        log: &ReplicatedLog,
        hard: HardState,
        group: bool,
    ) -> Option<PersistWrite> {
        let urgent = self.hard_changed || self.truncate_from.is_some() || self.snapshot.is_some();
        let appends = log.last_index() > self.handed;
        let waits = group && self.issued > self.persisted;
        if !urgent && (!appends || waits) {
            return None;
        }
        self.issued += 1;
        let append = log.slice(self.handed + 1, usize::MAX);
        self.handed = self.handed.max(log.last_index());
        self.in_flight.push_back((self.issued, self.handed));
        let hard = self.hard_changed.then_some(hard);
        if hard.is_some() {
            self.hard_token = self.issued;
            self.hard_changed = false;
        }
        Some(PersistWrite {
            token: self.issued,
            hard,
            truncate_from: self.truncate_from.take(),
            append,
            snapshot: self.snapshot.take(),
        })
    }

    /// Returns the effect where it may leave now, and holds it otherwise.
    pub(crate) fn release_or_hold(&mut self, need: SyncNeed, effect: Effect) -> Option<Effect> {
        let token = match need {
            SyncNeed::HardState => self.hard_token,
            SyncNeed::Everything => self.issued,
            SyncNeed::Nothing => 0,
        };
        if token <= self.persisted {
            return Some(effect);
        }
        self.held.push_back((token, effect));
        None
    }

    /// Notes that the writes up to a token are synced, and returns what waited for them.
    pub(crate) fn note_persisted(&mut self, token: ids::PersistToken) -> Vec<Effect> {
        self.persisted = self.persisted.max(token.min(self.issued));
        while let Some((first, index)) = self.in_flight.front().copied() {
            if first > self.persisted {
                break;
            }
            self.synced = self.synced.max(index);
            self.in_flight.pop_front();
        }
        let persisted = self.persisted;
        let (free, held) = self
            .held
            .drain(..)
            .partition::<VecDeque<_>, _>(|(needed, _)| *needed <= persisted);
        self.held = held;
        free.into_iter().map(|(_, effect)| effect).collect()
    }

    /// Drops all that waits, for good.
    pub(crate) fn abandon(&mut self) {
        self.held.clear();
        self.in_flight.clear();
    }
}
