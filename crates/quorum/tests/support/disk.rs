//! A simulated disk that loses unsynced writes on a crash.

use std::collections::VecDeque;
use std::time::Instant;

use quorum::entry::RecoveredState;
use quorum::event::PersistWrite;
use quorum::ids;

#[derive(Debug, Default)]
pub struct SimulatedDisk {
    /// State that is synced.
    pub durable: RecoveredState,
    /// Unsynced writes, each with the time at which its sync completes.
    pub unsynced: VecDeque<(Instant, PersistWrite)>,
}

impl SimulatedDisk {
    pub fn new(incarnation: ids::Incarnation) -> Self {
        let durable = RecoveredState {
            incarnation,
            blank: true,
            ..RecoveredState::default()
        };
        let unsynced = VecDeque::new();
        Self { durable, unsynced }
    }

    pub fn next_sync_at(&self) -> Option<Instant> {
        self.unsynced.front().map(|(at, _)| *at)
    }

    pub fn sync_next(&mut self) -> Option<ids::PersistToken> {
        let (_, write) = self.unsynced.pop_front()?;
        let token = write.token;
        self.apply(write);
        Some(token)
    }

    /// Simulates a crash: the first `kept` unsynced writes survive, the others are lost.
    pub fn crash(&mut self, kept: usize) {
        for _ in 0..kept {
            self.sync_next();
        }
        self.unsynced.clear();
        self.durable.blank = false;
    }

    fn apply(&mut self, write: PersistWrite) {
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
