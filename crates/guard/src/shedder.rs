//! Refusal by class: bulk first, then reads, writes last.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::atomic;
use crate::class::RequestClass;

/// Refuses requests by class when room is short.
///
/// Two signs count: the part of the limits in use at the moment, and the time that admitted
/// requests waited. When even the shortest wait of an interval lies over the target, one more
/// class is refused; each interval under the target takes one class back.
#[derive(Debug, Default)]
pub struct ClassShedder {
    /// Number of classes refused because of waiting: 0, 1 (bulk) or 2 (bulk and reads).
    level: AtomicU32,
    interval_end: AtomicU64,
    least_wait: AtomicU64,
}

impl ClassShedder {
    /// Wait that admitted requests may have.
    pub const TARGET: Duration = Duration::from_millis(5);
    /// Time over which the shortest wait is taken.
    pub const INTERVAL: Duration = Duration::from_millis(100);

    /// Admits a request of a class at a utilisation of the limits, from 0 to 1.
    ///
    /// # Errors
    ///
    /// Returns how long to wait before it is worth trying again.
    pub fn admit(&self, class: RequestClass, utilisation: f64) -> Result<(), Duration> {
        let (bound, rank, wait) = match class {
            RequestClass::Bulk => (0.7, 1, Duration::from_secs(5)),
            RequestClass::Read => (0.9, 2, Duration::from_secs(2)),
            RequestClass::Write => (1.0, 3, Duration::from_secs(1)),
        };
        if utilisation >= bound || self.level() >= rank {
            return Err(wait);
        }
        Ok(())
    }

    /// Records the time that an admitted request waited for room.
    pub fn record_wait(&self, now: Instant, wait: Duration) {
        let wait = u64::try_from(wait.as_nanos()).unwrap_or(u64::MAX);
        let now = atomic::nanos_of(now);
        let end = self.interval_end.load(Ordering::Relaxed);
        if now < end {
            self.least_wait.fetch_min(wait, Ordering::Relaxed);
            return;
        }
        let next = now + Self::INTERVAL.as_nanos() as u64;
        let won =
            self.interval_end
                .compare_exchange(end, next, Ordering::Relaxed, Ordering::Relaxed);
        if won.is_ok() {
            let least = self.least_wait.swap(wait, Ordering::Relaxed);
            self.judge(end != 0 && u128::from(least) > Self::TARGET.as_nanos());
        }
    }

    /// Returns the number of classes that are refused because of waiting.
    pub fn level(&self) -> u32 {
        self.level.load(Ordering::Relaxed)
    }

    fn judge(&self, late: bool) {
        let step = |level: u32| match late {
            true => (level < 2).then(|| level + 1),
            false => level.checked_sub(1),
        };
        let _unchanged = self
            .level
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
    }
}
