//! Hints about backend servers, from what entry hosts report.
//!
//! They change no committed state: only some hosts have seen what a hint says, and it may end at any
//! time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fleet::hint::{HintKind, ServerHint, ServerIncarnation};
use xxhash_rust::xxh3::Xxh3;

/// Time for which a hint that a server is leaving holds. It covers the announcement of a server that
/// is really leaving.
const LEAVING_TTL: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct HintEntry {
    until: Instant,
    /// Whether an entry host reported the hint to this replica since the replica's previous report.
    unreported: bool,
}

/// Hints that backend servers are leaving.
#[derive(Debug, Default)]
pub struct LeavingTable {
    entries: BTreeMap<ServerIncarnation, HintEntry>,
    /// Whether hints were added since this was last taken.
    changed: bool,
}

impl LeavingTable {
    /// Records that a server told an entry host that it is leaving. Returns whether that is new.
    pub fn record(&mut self, now: Instant, server: ServerIncarnation) -> bool {
        self.insert(now, server, LEAVING_TTL, true)
    }

    /// Merges a hint that another replica reported.
    pub fn merge(&mut self, now: Instant, hint: &ServerHint) {
        let remaining = hint.remaining.min(LEAVING_TTL);
        self.insert(now, hint.server.clone(), remaining, false);
    }

    /// Inserts a hint. One that is in force isn't extended, so that it ends unless the server goes on
    /// saying that it is leaving.
    fn insert(
        &mut self,
        now: Instant,
        server: ServerIncarnation,
        remaining: Duration,
        unreported: bool,
    ) -> bool {
        self.evict(now);
        if remaining.is_zero() || self.entries.contains_key(&server) {
            return false;
        }
        let until = now + remaining;
        self.entries.insert(server, HintEntry { until, unreported });
        self.changed = true;
        true
    }

    /// Returns the hints that entry hosts reported to this replica since the previous call.
    pub fn take_report(&mut self, now: Instant) -> Vec<ServerHint> {
        self.evict(now);
        let unreported = self.entries.iter_mut();
        let unreported = unreported.filter(|(_, entry)| entry.unreported);
        unreported
            .map(|(server, entry)| {
                entry.unreported = false;
                leaving_hint(now, server, entry)
            })
            .collect()
    }

    /// Returns the hints that are in force.
    pub fn current(&mut self, now: Instant) -> Vec<ServerHint> {
        self.evict(now);
        let entries = self.entries.iter();
        entries
            .map(|(server, entry)| leaving_hint(now, server, entry))
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

fn leaving_hint(now: Instant, server: &ServerIncarnation, entry: &HintEntry) -> ServerHint {
    ServerHint {
        server: server.clone(),
        kind: HintKind::Leaving,
        remaining: entry.until.saturating_duration_since(now),
    }
}

/// Returns the digest of a list of hints that is taken `now`; 0 for an empty list.
///
/// `origin` is any time that stays the same; the digest covers the ends of the hints counted from it.
pub fn digest(now: Instant, origin: Instant, hints: &[ServerHint]) -> u64 {
    if hints.is_empty() {
        return 0;
    }
    let mut hasher = Xxh3::new();
    for hint in hints {
        let end = (now + hint.remaining).saturating_duration_since(origin);
        hasher.update(hint.server.id.as_bytes());
        hasher.update(&[0, hint.kind as u8]);
        hasher.update(&hint.server.born.to_le_bytes());
        hasher.update(&end.as_nanos().to_le_bytes());
    }
    hasher.digest() | 1
}
