//! Hints that backend servers are leaving, from the answers that entry hosts get.
//!
//! A hint lets other hosts shift their requests before the server is announced as draining. Only some
//! hosts have heard of it, so it changes no committed state: hosts prefer other servers for a time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fleet::ids;
use xxhash_rust::xxh3::Xxh3;

use crate::message::{LeavingHint, LeavingServer};

/// Time for which a hint holds. It covers the announcement of a server that is really leaving.
const HINT_TTL: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct HintEntry {
    until: Instant,
    /// Whether an entry host reported the hint to this replica since the replica's previous report.
    unreported: bool,
}

/// Hints that are in force, by incarnation.
#[derive(Debug, Default)]
pub struct HintTable {
    entries: BTreeMap<(ids::ServerId, ids::StartTime), HintEntry>,
    /// Whether hints were added since this was last taken.
    changed: bool,
}

impl HintTable {
    /// Records a hint that an entry host reported. Returns whether it is new.
    pub fn record(&mut self, now: Instant, server: LeavingServer) -> bool {
        self.insert(now, server, HINT_TTL, true)
    }

    /// Merges hints that another replica reported.
    pub fn merge(&mut self, now: Instant, hints: Vec<LeavingHint>) {
        for hint in hints {
            self.insert(now, hint.server, hint.remaining.min(HINT_TTL), false);
        }
    }

    /// Inserts a hint. One that is in force isn't extended, so that it ends unless the server goes on
    /// saying that it is leaving.
    fn insert(
        &mut self,
        now: Instant,
        server: LeavingServer,
        remaining: Duration,
        unreported: bool,
    ) -> bool {
        self.evict(now);
        let incarnation = (server.id, server.born);
        if remaining.is_zero() || self.entries.contains_key(&incarnation) {
            return false;
        }
        let until = now + remaining;
        self.entries
            .insert(incarnation, HintEntry { until, unreported });
        self.changed = true;
        true
    }

    /// Returns the hints that entry hosts reported to this replica since the previous call.
    pub fn take_report(&mut self, now: Instant) -> Vec<LeavingHint> {
        self.evict(now);
        let unreported = self.entries.iter_mut();
        let unreported = unreported.filter(|(_, entry)| entry.unreported);
        unreported
            .map(|(incarnation, entry)| {
                entry.unreported = false;
                hint(now, incarnation, entry)
            })
            .collect()
    }

    /// Returns the hints that are in force.
    pub fn current(&mut self, now: Instant) -> Vec<LeavingHint> {
        self.evict(now);
        let entries = self.entries.iter();
        entries
            .map(|(incarnation, entry)| hint(now, incarnation, entry))
            .collect()
    }

    /// Returns whether hints were added since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    fn evict(&mut self, now: Instant) {
        self.entries.retain(|_, entry| now < entry.until);
    }
}

fn hint(
    now: Instant,
    (id, born): &(ids::ServerId, ids::StartTime),
    entry: &HintEntry,
) -> LeavingHint {
    LeavingHint {
        server: LeavingServer {
            id: id.clone(),
            born: *born,
        },
        remaining: entry.until.saturating_duration_since(now),
    }
}

/// Returns the digest of a list of hints; 0 for an empty list.
pub fn digest(hints: &[LeavingHint]) -> u64 {
    if hints.is_empty() {
        return 0;
    }
    let mut hasher = Xxh3::new();
    for hint in hints {
        hasher.update(hint.server.id.as_bytes());
        hasher.update(&[0]);
        hasher.update(&hint.server.born.to_le_bytes());
    }
    hasher.digest() | 1
}
