//! Load shedding by class: bulk first, then reads, writes last.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::atomic;
use crate::class::RequestClass;

/// Sheds requests by class when capacity is short.
///
/// Two signals decide: the current utilisation of the limits, and the time that admitted requests
/// waited for capacity. As in CoDel, the shortest wait of an interval detects a standing queue: if
/// it exceeds the target, one more class is shed; after each interval below the target, one class
/// fewer is.
#[derive(Debug, Default)]
pub struct ClassShedder {
    /// Number of classes that are shed because of the waiting time: 0, 1 (bulk) or 2 (bulk and
    /// reads).
    level: AtomicU32,
    /// End of the current interval, in nanoseconds of [`atomic::nanos_of`]; 0 before the first one.
    interval_end: AtomicU64,
    /// Shortest wait of the current interval, in nanoseconds.
    min_wait: AtomicU64,
}

impl ClassShedder {
    /// Acceptable waiting time of admitted requests.
    pub const TARGET_WAIT: Duration = Duration::from_millis(5);
    /// Interval over which the shortest wait is measured.
    pub const INTERVAL: Duration = Duration::from_millis(100);

    /// Decides whether a request of a class is admitted. `utilisation` is that of the limits, from
    /// 0 to 1.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry, if the request is shed.
    pub fn admit(&self, class: RequestClass, utilisation: f64) -> Result<(), Duration> {
        let (max_utilisation, shed_level, retry_after) = match class {
            RequestClass::Bulk => (0.7, 1, Duration::from_secs(5)),
            RequestClass::Read => (0.9, 2, Duration::from_secs(2)),
            RequestClass::Write => (1.0, 3, Duration::from_secs(1)),
        };
        if utilisation >= max_utilisation || self.level() >= shed_level {
            return Err(retry_after);
        }
        Ok(())
    }

    /// Records the time that an admitted request waited for capacity.
    pub fn record_wait(&self, now: Instant, wait: Duration) {
        let wait = u64::try_from(wait.as_nanos()).unwrap_or(u64::MAX);
        let now = atomic::nanos_of(now);
        let end = self.interval_end.load(Ordering::Relaxed);
        if now < end {
            self.min_wait.fetch_min(wait, Ordering::Relaxed);
            return;
        }
        let next = now + Self::INTERVAL.as_nanos() as u64;
        // Only the thread that starts the next interval evaluates the last one.
        let started =
            self.interval_end
                .compare_exchange(end, next, Ordering::Relaxed, Ordering::Relaxed);
        if started.is_ok() {
            let min_wait = self.min_wait.swap(wait, Ordering::Relaxed);
            self.adjust_level(end != 0 && u128::from(min_wait) > Self::TARGET_WAIT.as_nanos());
        }
    }

    /// Returns the number of classes that are shed because of the waiting time.
    pub fn level(&self) -> u32 {
        self.level.load(Ordering::Relaxed)
    }

    fn adjust_level(&self, is_over_target: bool) {
        let step = |level: u32| match is_over_target {
            true => (level < 2).then(|| level + 1),
            false => level.checked_sub(1),
        };
        let _unchanged = self
            .level
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
    }
}
