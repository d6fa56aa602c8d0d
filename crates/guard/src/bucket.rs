//! A rate limit in one atomic.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::atomic;

/// A rate limit by the generic cell rate algorithm, held in one atomic.
///
/// The bucket keeps the moment at which it would be empty again; rate and burst come with each
/// call, so a change of rate needs no change of the bucket.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let bucket = guard::RateBucket::default();
/// let now = Instant::now();
/// assert!(bucket.try_take(now, 1.0, 10.0, 1.0).is_ok());
/// assert!(bucket.try_take(now, 1.0, 10.0, 1.0).is_err());
/// assert!(bucket.try_take(now + Duration::from_millis(100), 1.0, 10.0, 1.0).is_ok());
/// ```
#[derive(Debug, Default)]
pub struct RateBucket {
    empty_at: AtomicU64,
}

impl RateBucket {
    /// Wait that stands for a rate of zero.
    pub const NEVER: Duration = Duration::from_secs(60);

    /// Takes units when at most `burst` of them are outstanding afterwards.
    ///
    /// # Errors
    ///
    /// Returns how long to wait until the units would be there.
    pub fn try_take(
        &self,
        now: Instant,
        units: f64,
        rate: f64,
        burst: f64,
    ) -> Result<(), Duration> {
        if rate <= 0.0 {
            return Err(Self::NEVER);
        }
        let now = atomic::nanos_of(now);
        let limit = now.saturating_add(nanos(burst / rate));
        let cost = nanos(units / rate);
        let mut old = self.empty_at.load(Ordering::Relaxed);
        loop {
            let new = old.max(now).saturating_add(cost);
            if new > limit.saturating_add(1) {
                return Err(Duration::from_nanos(new - limit).min(Self::NEVER));
            }
            match self.swap(old, new) {
                Ok(()) => return Ok(()),
                Err(seen) => old = seen,
            }
        }
    }

    /// Takes units that are spent already, whatever is outstanding, and returns how long the
    /// bucket then needs to be empty again.
    pub fn charge(&self, now: Instant, units: f64, rate: f64) -> Duration {
        if rate <= 0.0 {
            return Self::NEVER;
        }
        let now = atomic::nanos_of(now);
        let cost = nanos(units / rate);
        let mut old = self.empty_at.load(Ordering::Relaxed);
        loop {
            let new = old.max(now).saturating_add(cost);
            match self.swap(old, new) {
                Ok(()) => return Duration::from_nanos(new - now),
                Err(seen) => old = seen,
            }
        }
    }

    /// Gives back units that were taken and not used.
    pub fn give_back(&self, units: f64, rate: f64) {
        if rate <= 0.0 {
            return;
        }
        let cost = nanos(units / rate);
        let mut old = self.empty_at.load(Ordering::Relaxed);
        while let Err(seen) = self.swap(old, old.saturating_sub(cost)) {
            old = seen;
        }
    }

    /// Returns how long the bucket needs to be empty again.
    pub fn backlog(&self, now: Instant) -> Duration {
        let empty_at = self.empty_at.load(Ordering::Relaxed);
        Duration::from_nanos(empty_at.saturating_sub(atomic::nanos_of(now)))
    }

    fn swap(&self, old: u64, new: u64) -> Result<(), u64> {
        self.empty_at
            .compare_exchange_weak(old, new, Ordering::Relaxed, Ordering::Relaxed)
            .map(|_| ())
    }
}

fn nanos(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e9) as u64
}
