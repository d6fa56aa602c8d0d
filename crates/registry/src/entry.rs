//! One backend server, its gauge and the choice between several.

use std::sync::Arc;
use std::time::Instant;

use model::backend::BackendAnnouncement;
use slotmap::new_key_type;
use xxhash_rust::xxh3;

use crate::gauge::BackendGauge;

new_key_type! {
    /// Key of a backend server in the registry of one entry host.
    pub struct BackendKey;
}

/// One backend server that may take requests.
#[derive(Debug)]
pub struct BackendEntry {
    /// Key in the registry.
    pub key: BackendKey,
    /// What it announced last.
    pub announcement: BackendAnnouncement,
    /// Its figures, shared by every table that names it.
    pub gauge: Arc<BackendGauge>,
}

impl BackendEntry {
    /// Takes room for one request under the server's limit.
    pub fn try_acquire(&self) -> Option<SlotPermit> {
        self.gauge.limit().try_acquire().then(|| SlotPermit {
            gauge: Arc::clone(&self.gauge),
        })
    }

    /// Returns the expected cost of one more request; the lower, the better.
    pub fn score(&self, now: Instant) -> f64 {
        let limit = self.gauge.limit();
        let queue = (f64::from(limit.in_flight()) + 1.0) / limit.limit();
        let latency = self.gauge.latency().as_secs_f64().max(1e-4);
        let doubt = 1.0 + f64::from(self.gauge.failures());
        queue * latency * doubt / self.gauge.weight(now)
    }
}

/// Room for one request at a backend server; dropping it gives the room back.
#[derive(Debug)]
pub struct SlotPermit {
    gauge: Arc<BackendGauge>,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.gauge.limit().release();
    }
}

/// Chooses a backend server with room: the better of two drawn ones, else the best of all.
///
/// `seed` spreads the draw, such as a hash of the request's id. `skip` names servers that the
/// request has tried already. Returns nothing when no server has room.
pub fn pick_backend(
    now: Instant,
    candidates: &[Arc<BackendEntry>],
    seed: u64,
    skip: &[BackendKey],
) -> Option<(Arc<BackendEntry>, SlotPermit)> {
    let drawn = draw_two(now, candidates, seed, skip);
    if let Some(chosen) = drawn.and_then(take) {
        return Some(chosen);
    }
    let mut usable: Vec<&Arc<BackendEntry>> = candidates
        .iter()
        .filter(|entry| is_usable(now, entry, skip))
        .collect();
    usable.sort_by(|a, b| a.score(now).total_cmp(&b.score(now)));
    usable.into_iter().find_map(take)
}

fn draw_two<'a>(
    now: Instant,
    candidates: &'a [Arc<BackendEntry>],
    seed: u64,
    skip: &[BackendKey],
) -> Option<&'a Arc<BackendEntry>> {
    let count = candidates.len() as u64;
    if count == 0 {
        return None;
    }
    let hash = xxh3::xxh3_64(&seed.to_le_bytes());
    let first = (hash >> 32) % count;
    let second = (first + 1 + (hash & 0xffff_ffff) % (count - 1).max(1)) % count;
    [first, second]
        .into_iter()
        .filter_map(|index| candidates.get(index as usize))
        .filter(|entry| is_usable(now, entry, skip))
        .min_by(|a, b| a.score(now).total_cmp(&b.score(now)))
}

fn is_usable(now: Instant, entry: &BackendEntry, skip: &[BackendKey]) -> bool {
    !skip.contains(&entry.key) && !entry.gauge.is_resting(now)
}

fn take(entry: &Arc<BackendEntry>) -> Option<(Arc<BackendEntry>, SlotPermit)> {
    let permit = entry.try_acquire()?;
    Some((Arc::clone(entry), permit))
}
