//! Lock-free rate limit.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::atomic;

/// A rate limit that uses the generic cell rate algorithm (GCRA).
///
/// The whole state is one atomic timestamp: the time at which the bucket has drained. Rate and
/// burst are arguments of each call, so a change of the rate leaves the state as it is.
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
    /// Time at which the bucket has drained, in nanoseconds of [`atomic::nanos_of`].
    empty_at: AtomicU64,
}

impl RateBucket {
    /// Longest wait that is returned, and the wait returned for a rate of zero.
    pub const MAX_WAIT: Duration = Duration::from_secs(60);

    /// Takes `units` if at most `burst` units are outstanding afterwards. `rate` is in units a
    /// second.
    ///
    /// # Errors
    ///
    /// Returns the time until the units are available, at most [`RateBucket::MAX_WAIT`].
    pub fn try_take(
        &self,
        now: Instant,
        units: f64,
        rate: f64,
        burst: f64,
    ) -> Result<(), Duration> {
        if rate <= 0.0 {
            return Err(Self::MAX_WAIT);
        }
        let now = atomic::nanos_of(now);
        let limit = now.saturating_add(nanos(burst / rate));
        let cost = nanos(units / rate);
        let mut old = self.empty_at.load(Ordering::Relaxed);
        loop {
            let new = old.max(now).saturating_add(cost);
            if new > limit.saturating_add(1) {
                return Err(Duration::from_nanos(new - limit).min(Self::MAX_WAIT));
            }
            match self.swap(old, new) {
                Ok(()) => return Ok(()),
                Err(seen) => old = seen,
            }
        }
    }

    /// Returns the time until `units` can be taken, at most [`RateBucket::MAX_WAIT`]; zero if they can
    /// be taken now.
    pub fn wait(&self, now: Instant, units: f64, rate: f64, burst: f64) -> Duration {
        if rate <= 0.0 {
            return Self::MAX_WAIT;
        }
        let now = atomic::nanos_of(now);
        let limit = now.saturating_add(nanos(burst / rate));
        let old = self.empty_at.load(Ordering::Relaxed);
        let new = old.max(now).saturating_add(nanos(units / rate));
        if new > limit.saturating_add(1) {
            return Duration::from_nanos(new - limit).min(Self::MAX_WAIT);
        }
        Duration::ZERO
    }

    /// Takes `units` unconditionally, because they are already spent, and returns the time that the
    /// bucket then needs to drain.
    pub fn charge(&self, now: Instant, units: f64, rate: f64) -> Duration {
        if rate <= 0.0 {
            return Self::MAX_WAIT;
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

    /// Refunds `units` that were taken and not used.
    pub fn refund(&self, units: f64, rate: f64) {
        if rate <= 0.0 {
            return;
        }
        let cost = nanos(units / rate);
        let mut old = self.empty_at.load(Ordering::Relaxed);
        while let Err(seen) = self.swap(old, old.saturating_sub(cost)) {
            old = seen;
        }
    }

    /// Returns the time that the bucket needs to drain.
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
