//! Disk writes in flight, and the messages that are held back until they are synced.

use std::collections::VecDeque;

use crate::entry::{HardState, LogSnapshot};
use crate::event::{Effect, PersistWrite};
use crate::ids;
use crate::log::ReplicatedLog;

/// Writes that must be synced before a message may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SyncRequirement {
    /// The latest write of term, vote and membership.
    HardState,
    /// All writes issued so far.
    AllWrites,
    /// No write.
    Nothing,
}

/// Combines the changes of one event into one write, and holds messages back until it is synced.
#[derive(Debug, Default)]
pub(crate) struct WriteQueue {
    issued_token: ids::PersistToken,
    persisted_token: ids::PersistToken,
    hard_token: ids::PersistToken,
    hard_changed: bool,
    truncate_from: Option<ids::LogIndex>,
    snapshot: Option<LogSnapshot>,
    /// Index of the last entry that was included in a write.
    issued_index: ids::LogIndex,
    /// Index of the last entry that is synced.
    synced_index: ids::LogIndex,
    /// Token of each unsynced write, with the last entry included up to it.
    in_flight: VecDeque<(ids::PersistToken, ids::LogIndex)>,
    held_messages: VecDeque<(ids::PersistToken, Effect)>,
}

impl WriteQueue {
    /// Creates a queue for a log whose entries up to `synced` are synced.
    pub(crate) fn new(synced: ids::LogIndex) -> Self {
        Self {
            issued_index: synced,
            synced_index: synced,
            ..Self::default()
        }
    }

    /// Returns the index of the last entry that is synced.
    pub(crate) fn synced(&self) -> ids::LogIndex {
        self.synced_index
    }

    /// Returns the number of messages held back.
    pub(crate) fn held(&self) -> usize {
        self.held_messages.len()
    }

    /// Returns whether the latest term, vote and membership are synced.
    pub(crate) fn is_hard_state_synced(&self) -> bool {
        !self.hard_changed && self.hard_token <= self.persisted_token
    }

    /// Records that term, vote or membership changed.
    pub(crate) fn mark_hard_state_changed(&mut self) {
        self.hard_changed = true;
    }

    /// Records that the entries from index `from` on were removed.
    pub(crate) fn truncate(&mut self, from: ids::LogIndex) {
        let last = from.saturating_sub(1);
        if from <= self.issued_index {
            let lowest = self.truncate_from.map_or(from, |old| old.min(from));
            self.truncate_from = Some(lowest);
            self.issued_index = last;
        }
        self.synced_index = self.synced_index.min(last);
        for (_, index) in &mut self.in_flight {
            *index = (*index).min(last);
        }
    }

    /// Adds a snapshot to the next write; with `clear` the entries after it are removed too.
    pub(crate) fn queue_snapshot(&mut self, snapshot: LogSnapshot, clear: bool) {
        let index = snapshot.index;
        if clear {
            self.truncate(index + 1);
            self.truncate_from = Some(index + 1);
        }
        self.issued_index = self.issued_index.max(index);
        self.snapshot = Some(snapshot);
    }

    /// Returns the write for all pending changes, or `None` if there is nothing to write.
    ///
    /// With `group`, appended entries alone wait until the previous write is synced, so that one
    /// sync covers all entries that arrived in the meantime.
    pub(crate) fn next_write(
        &mut self,
        log: &ReplicatedLog,
        hard: HardState,
        group: bool,
    ) -> Option<PersistWrite> {
        let immediate =
            self.hard_changed || self.truncate_from.is_some() || self.snapshot.is_some();
        let has_entries = log.last_index() > self.issued_index;
        let awaits_previous = group && self.issued_token > self.persisted_token;
        if !immediate && (!has_entries || awaits_previous) {
            return None;
        }
        self.issued_token += 1;
        let append = log.slice(self.issued_index + 1, usize::MAX);
        self.issued_index = self.issued_index.max(log.last_index());
        self.in_flight
            .push_back((self.issued_token, self.issued_index));
        let hard = self.hard_changed.then_some(hard);
        if hard.is_some() {
            self.hard_token = self.issued_token;
            self.hard_changed = false;
        }
        Some(PersistWrite {
            token: self.issued_token,
            hard,
            truncate_from: self.truncate_from.take(),
            append,
            snapshot: self.snapshot.take(),
        })
    }

    /// Returns the effect if it may be executed now, and holds it back otherwise.
    pub(crate) fn release_or_hold(
        &mut self,
        requirement: SyncRequirement,
        effect: Effect,
    ) -> Option<Effect> {
        let token = match requirement {
            SyncRequirement::HardState => self.hard_token,
            SyncRequirement::AllWrites => self.issued_token,
            SyncRequirement::Nothing => 0,
        };
        if token <= self.persisted_token {
            return Some(effect);
        }
        self.held_messages.push_back((token, effect));
        None
    }

    /// Records that the writes up to `token` are synced, and returns the effects that were held
    /// back for them.
    pub(crate) fn on_persisted(&mut self, token: ids::PersistToken) -> Vec<Effect> {
        self.persisted_token = self.persisted_token.max(token.min(self.issued_token));
        while let Some((first, index)) = self.in_flight.front().copied() {
            if first > self.persisted_token {
                break;
            }
            self.synced_index = self.synced_index.max(index);
            self.in_flight.pop_front();
        }
        let persisted = self.persisted_token;
        let (released, held) = self
            .held_messages
            .drain(..)
            .partition::<VecDeque<_>, _>(|(needed, _)| *needed <= persisted);
        self.held_messages = held;
        released.into_iter().map(|(_, effect)| effect).collect()
    }

    /// Discards all held messages and writes in flight after a disk failure.
    pub(crate) fn clear(&mut self) {
        self.held_messages.clear();
        self.in_flight.clear();
    }
}
