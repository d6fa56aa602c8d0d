//! A backend server in the registry, and the selection of one of several.

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

/// A backend server in a [`BackendSnapshot`](crate::snapshot::BackendSnapshot).
#[derive(Debug)]
pub struct BackendEntry {
    /// Key in the registry.
    pub key: BackendKey,
    /// Latest announcement of the server.
    pub announcement: BackendAnnouncement,
    /// Statistics of the server, shared by all snapshots that contain it.
    pub gauge: Arc<BackendGauge>,
}

impl BackendEntry {
    /// Acquires a slot for one request under the concurrency limit of the server, if one is free.
    pub fn try_acquire(&self) -> Option<SlotPermit> {
        self.gauge.limit().try_acquire().then(|| SlotPermit {
            gauge: Arc::clone(&self.gauge),
        })
    }

    /// Returns the expected cost of one more request; lower is better.
    ///
    /// The score is the product of the utilisation, the expected latency and a factor for recent
    /// failures, divided by [`BackendGauge::weight`]. Utilisation refers to the fair share of the slots
    /// where the concurrency limit is still below it, as the limit only grows with requests.
    pub fn score(&self, now: Instant) -> f64 {
        let limit = self.gauge.limit();
        let capacity = limit.limit().max(limit.fair_share());
        let utilisation = (f64::from(limit.in_flight()) + 1.0) / capacity;
        let latency = self.gauge.expected_latency(now).as_secs_f64().max(1e-4);
        let failure_factor = 1.0 + f64::from(self.gauge.failures());
        utilisation * latency * failure_factor / self.gauge.weight(now)
    }
}

/// An acquired slot for one request at a backend server; dropping the permit releases the slot.
#[derive(Debug)]
pub struct SlotPermit {
    gauge: Arc<BackendGauge>,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.gauge.limit().release();
    }
}

/// Picks a backend server and acquires a slot on it.
///
/// The server with the lower score of two random candidates is preferred. If neither has a free
/// slot, all candidates are tried in the order of their scores.
///
/// `seed` determines the random candidates, such as a hash of the request id. The servers in
/// `skip` are left out, such as those of earlier attempts. Returns `None` if no server has a free
/// slot.
pub fn pick_backend(
    now: Instant,
    candidates: &[Arc<BackendEntry>],
    seed: u64,
    skip: &[BackendKey],
) -> Option<(Arc<BackendEntry>, SlotPermit)> {
    let sampled = better_of_two(now, candidates, seed, skip);
    if let Some(picked) = sampled.and_then(acquire) {
        return Some(picked);
    }
    let mut eligible: Vec<&Arc<BackendEntry>> = candidates
        .iter()
        .filter(|entry| is_eligible(now, entry, skip))
        .collect();
    eligible.sort_by(|a, b| a.score(now).total_cmp(&b.score(now)));
    eligible.into_iter().find_map(acquire)
}

/// Returns the eligible one with the lower score of two random candidates.
fn better_of_two<'a>(
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
        .filter(|entry| is_eligible(now, entry, skip))
        .min_by(|a, b| a.score(now).total_cmp(&b.score(now)))
}

fn is_eligible(now: Instant, entry: &BackendEntry, skip: &[BackendKey]) -> bool {
    !skip.contains(&entry.key) && !entry.gauge.is_in_backoff(now)
}

fn acquire(entry: &Arc<BackendEntry>) -> Option<(Arc<BackendEntry>, SlotPermit)> {
    let permit = entry.try_acquire()?;
    Some((Arc::clone(entry), permit))
}
