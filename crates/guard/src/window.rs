//! Strict limit on the requests in every 100 ms window.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::atomic;
use crate::bucket::RateBucket;

/// Subwindows in a window; each has its own counter.
const SUBWINDOWS: u64 = 32;

/// Length of one subwindow, in nanoseconds.
const SUBWINDOW_NANOS: u64 = 3_125_000;

/// Number of counters: one more than the subwindows of a window, so that the counters cover every
/// window that starts or ends within a subwindow.
const COUNTERS: usize = SUBWINDOWS as usize + 1;

/// Low bits of a counter, which hold the number of requests; the high bits hold the subwindow.
const COUNT_BITS: u32 = 36;

const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;

/// A rate limit that holds in every window of length [`WindowLimit::WINDOW`], wherever it starts.
///
/// A token bucket with a burst lets the burst pass on top of the rate, and one without a burst
/// refuses traffic that arrives unevenly. This limit is a sliding-window counter: it counts the
/// requests of the last window by subwindow, so that any arrival pattern can use the whole
/// allowance of a window and none exceeds it. A rate of less than one request in a window is
/// enforced by the spacing between requests instead.
#[derive(Debug)]
pub struct WindowLimit {
    counters: [AtomicU64; COUNTERS],
    /// Spacing of requests, for rates of less than one request in a window.
    spacing: RateBucket,
}

impl WindowLimit {
    /// Length of the window.
    pub const WINDOW: Duration = Duration::from_nanos(SUBWINDOWS * SUBWINDOW_NANOS);

    /// Counts one request if the limit admits it. `rate` is in requests a second.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry, if the request exceeds the limit.
    pub fn try_take(&self, now: Instant, rate: f64) -> Result<(), Duration> {
        let allowed = window_allowance(rate);
        if allowed == 0 {
            self.spacing.try_take(now, 1.0, rate, 1.0)?;
            self.count(now, 1);
            return Ok(());
        }
        self.count(now, 1);
        if self.requests_in_window(now) > allowed {
            self.refund(now);
            return Err(self.time_to_free(now));
        }
        self.spacing.charge(now, 1.0, rate);
        Ok(())
    }

    /// Refunds a request that was counted at `taken_at` and not sent.
    pub fn refund(&self, taken_at: Instant) {
        let subwindow = subwindow_at(taken_at);
        let counter = &self.counters[counter_index(subwindow)];
        let mut old = counter.load(Ordering::Relaxed);
        while old >> COUNT_BITS == subwindow && old & COUNT_MASK > 0 {
            match counter.compare_exchange_weak(old, old - 1, Ordering::AcqRel, Ordering::Relaxed) {
                Ok(_) => return,
                Err(seen) => old = seen,
            }
        }
    }

    /// Returns the number of requests in the window that ends now.
    pub fn requests_in_window(&self, now: Instant) -> u64 {
        let first = subwindow_at(now).saturating_sub(SUBWINDOWS);
        let counted = |counter: &AtomicU64| {
            let value = counter.load(Ordering::Acquire);
            // Later subwindows count too, as the clock reading of another thread may be ahead.
            match value >> COUNT_BITS >= first {
                true => value & COUNT_MASK,
                false => 0,
            }
        };
        self.counters.iter().map(counted).sum()
    }

    /// Returns the time until the oldest counted subwindow leaves the window.
    fn time_to_free(&self, now: Instant) -> Duration {
        let first = subwindow_at(now).saturating_sub(SUBWINDOWS);
        let counted = self.counters.iter().filter_map(|counter| {
            let value = counter.load(Ordering::Relaxed);
            let subwindow = value >> COUNT_BITS;
            (subwindow >= first && value & COUNT_MASK > 0).then_some(subwindow)
        });
        let oldest = counted.min().unwrap_or(first);
        let free_at = (oldest + SUBWINDOWS + 1) * SUBWINDOW_NANOS;
        Duration::from_nanos(free_at.saturating_sub(atomic::nanos_of(now)))
    }

    /// Adds requests to the subwindow of a time.
    fn count(&self, now: Instant, requests: u64) {
        let subwindow = subwindow_at(now);
        let counter = &self.counters[counter_index(subwindow)];
        let mut old = counter.load(Ordering::Relaxed);
        loop {
            let held_subwindow = old >> COUNT_BITS;
            let held = match held_subwindow >= subwindow {
                true => old & COUNT_MASK,
                false => 0,
            };
            // A thread that was delayed adds to the later subwindow instead of overwriting it.
            let new =
                (subwindow.max(held_subwindow) << COUNT_BITS) | (held + requests).min(COUNT_MASK);
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

/// Returns the whole number of requests that a rate allows in one window.
fn window_allowance(rate: f64) -> u64 {
    (rate * WindowLimit::WINDOW.as_secs_f64() + 1e-9) as u64
}

/// Returns the number of the subwindow that contains a time.
fn subwindow_at(now: Instant) -> u64 {
    atomic::nanos_of(now) / SUBWINDOW_NANOS
}

fn counter_index(subwindow: u64) -> usize {
    (subwindow % COUNTERS as u64) as usize
}
