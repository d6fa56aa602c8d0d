//! A disk that loses, on a crash, the writes that weren't synced.

use std::collections::VecDeque;
use std::time::Instant;

use quorum::entry::RecoveredState;
use quorum::event::PersistWrite;
use quorum::ids;

#[derive(Debug, Default)]
pub struct FakeDisk {
    /// What is synced.
    pub durable: RecoveredState,
    /// Writes on their way, with the time when each is synced.
    pub unsynced: VecDeque<(Instant, PersistWrite)>,
}

impl FakeDisk {
    pub fn new(incarnation: ids::Incarnation) -> Self {
        let durable = RecoveredState {
            incarnation,
            blank: true,
            ..RecoveredState::default()
        };
        let unsynced = VecDeque::new();
        Self { durable, unsynced }
    }

    pub fn due(&self) -> Option<Instant> {
        self.unsynced.front().map(|(at, _)| *at)
    }

    pub fn sync_next(&mut self) -> Option<ids::PersistToken> {
        let (_, write) = self.unsynced.pop_front()?;
        let token = write.token;
        self.put(write);
        Some(token)
    }

    /// Keeps the first `kept` writes of those that weren't synced.
    pub fn crash(&mut self, kept: usize) {
        for _ in 0..kept {
            self.sync_next();
        }
        self.unsynced.clear();
        self.durable.blank = false;
    }

    fn put(&mut self, write: PersistWrite) {
        let durable = &mut self.durable;
        durable.hard = write.hard.unwrap_or(durable.hard);
        if let Some(from) = write.truncate_from {
            durable.entries.retain(|entry| entry.index < from);
        }
        durable.entries.extend(write.append);
        if let Some(snapshot) = write.snapshot {
            durable.entries.retain(|entry| entry.index > snapshot.index);
            durable.snapshot = snapshot;
        }
    }
}
