//! A strict limit on units in every 100 ms window.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::atomic;
use crate::bucket::RateBucket;

/// Parts of a window that are counted apart.
const PARTS: u64 = 32;

/// Length of one part, in nanoseconds.
const PART_NANOS: u64 = 3_125_000;

/// Counters: the parts of a window and one more, so that any window lies in what is counted.
const COUNTERS: usize = PARTS as usize + 1;

/// Bits of a counter that hold units; the others hold the number of the part.
const UNIT_BITS: u32 = 36;

const UNIT_MASK: u64 = (1 << UNIT_BITS) - 1;

/// A limit on requests that holds in every window of [`WindowLimit::WINDOW`], wherever it starts.
///
/// A rate limit with a burst lets the burst pass in a single moment, and one without a burst
/// refuses traffic that arrives unevenly. This limit counts the requests of the last window in
/// parts, so any arrival pattern may use the whole of a window's allowance and none exceeds it.
/// An allowance under one request a window is kept by spacing the requests instead.
#[derive(Debug)]
pub struct WindowLimit {
    counters: [AtomicU64; COUNTERS],
    spacing: RateBucket,
}

impl WindowLimit {
    /// Length of the window.
    pub const WINDOW: Duration = Duration::from_nanos(PARTS * PART_NANOS);

    /// Takes one request when the rate allows it, in requests a second.
    ///
    /// # Errors
    ///
    /// Returns how long to wait before it is worth trying again.
    pub fn try_take(&self, now: Instant, rate: f64) -> Result<(), Duration> {
        let allowed = allowance(rate);
        if allowed == 0 {
            self.spacing.try_take(now, 1.0, rate, 1.0)?;
            self.count(now, 1);
            return Ok(());
        }
        self.count(now, 1);
        if self.units(now) > allowed {
            self.give_back(now);
            return Err(self.next_free(now));
        }
        self.spacing.charge(now, 1.0, rate);
        Ok(())
    }

    /// Gives back a request that was taken at a moment and not used.
    pub fn give_back(&self, taken_at: Instant) {
        let part = part_of(taken_at);
        let counter = &self.counters[slot(part)];
        let mut old = counter.load(Ordering::Relaxed);
        while old >> UNIT_BITS == part && old & UNIT_MASK > 0 {
            match counter.compare_exchange_weak(old, old - 1, Ordering::AcqRel, Ordering::Relaxed) {
                Ok(_) => return,
                Err(seen) => old = seen,
            }
        }
    }

    /// Returns the requests of the window that ends now.
    pub fn units(&self, now: Instant) -> u64 {
        let first = part_of(now).saturating_sub(PARTS);
        let counted = |counter: &AtomicU64| {
            let value = counter.load(Ordering::Acquire);
            // Parts after this thread's moment count too: other threads may be ahead of it.
            match value >> UNIT_BITS >= first {
                true => value & UNIT_MASK,
                false => 0,
            }
        };
        self.counters.iter().map(counted).sum()
    }

    /// Returns the time until the oldest counted part leaves the window.
    fn next_free(&self, now: Instant) -> Duration {
        let first = part_of(now).saturating_sub(PARTS);
        let counted = self.counters.iter().filter_map(|counter| {
            let value = counter.load(Ordering::Relaxed);
            let part = value >> UNIT_BITS;
            (part >= first && value & UNIT_MASK > 0).then_some(part)
        });
        let oldest = counted.min().unwrap_or(first);
        let free_at = (oldest + PARTS + 1) * PART_NANOS;
        Duration::from_nanos(free_at.saturating_sub(atomic::nanos_of(now)))
    }

    fn count(&self, now: Instant, units: u64) {
        let part = part_of(now);
        let counter = &self.counters[slot(part)];
        let mut old = counter.load(Ordering::Relaxed);
        loop {
            let held_part = old >> UNIT_BITS;
            let held = match held_part >= part {
                true => old & UNIT_MASK,
                false => 0,
            };
            // A thread that was held up counts into the later part rather than erasing it.
            let new = (part.max(held_part) << UNIT_BITS) | (held + units).min(UNIT_MASK);
            match counter.compare_exchange_weak(old, new, Ordering::AcqRel, Ordering::Relaxed) {
                Ok(_) => return,
                Err(seen) => old = seen,
            }
        }
    }
}

impl Default for WindowLimit {
    fn default() -> Self {
        Self {
            counters: [const { AtomicU64::new(0) }; COUNTERS],
            spacing: RateBucket::default(),
        }
    }
}

/// Returns the whole requests that a rate allows in one window.
fn allowance(rate: f64) -> u64 {
    (rate * WindowLimit::WINDOW.as_secs_f64() + 1e-9) as u64
}

fn part_of(now: Instant) -> u64 {
    atomic::nanos_of(now) / PART_NANOS
}

fn slot(part: u64) -> usize {
    (part % COUNTERS as u64) as usize
}
