//! Lock-free rate measurement.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use guard::atomic;

/// A value and the time it was set, in one atomic: an `f32` and a millisecond timestamp of 32 bits,
/// which wraps after 49 days.
#[derive(Debug, Default)]
pub(crate) struct TimedValue(AtomicU64);

impl TimedValue {
    /// Creates a value that is set now.
    pub(crate) fn new(now: Instant, value: f64) -> Self {
        Self(AtomicU64::new(pack(value, millis(now))))
    }

    /// Returns the value and its age.
    pub(crate) fn get(&self, now: Instant) -> (f64, Duration) {
        unpack(self.0.load(Ordering::Relaxed), now)
    }

    /// Replaces the value by a function of the value and its age and returns the new value.
    ///
    /// # Errors
    ///
    /// Returns the current value, unchanged, if the function returns `None`.
    pub(crate) fn update(
        &self,
        now: Instant,
        change: impl Fn(f64, Duration) -> Option<f64>,
    ) -> Result<f64, f64> {
        let mut old = self.0.load(Ordering::Relaxed);
        loop {
            let (value, age) = unpack(old, now);
            let Some(new) = change(value, age) else {
                return Err(value);
            };
            let packed = pack(new, millis(now));
            match self
                .0
                .compare_exchange_weak(old, packed, Ordering::Relaxed, Ordering::Relaxed)
            {
                Ok(_) => return Ok(new),
                Err(seen) => old = seen,
            }
        }
    }
}

fn pack(value: f64, millis: u32) -> u64 {
    (u64::from((value as f32).to_bits()) << 32) | u64::from(millis)
}

fn unpack(packed: u64, now: Instant) -> (f64, Duration) {
    let value = f64::from(f32::from_bits((packed >> 32) as u32));
    let age = millis(now).wrapping_sub(packed as u32);
    // Another thread's clock reading may be slightly ahead; that counts as age zero.
    let age = if age > u32::MAX / 2 { 0 } else { age };
    (value, Duration::from_millis(u64::from(age)))
}

fn millis(now: Instant) -> u32 {
    (atomic::nanos_of(now) / 1_000_000) as u32
}

/// Measures a rate as an exponentially decaying average over about a second.
#[derive(Debug, Default)]
pub struct RateMeter(TimedValue);

impl RateMeter {
    /// Time constant of the average, in seconds.
    const TIME_CONSTANT: f64 = 1.0;

    /// Adds a number of events.
    pub fn add(&self, now: Instant, events: f64) {
        let decayed = |rate: f64, age| {
            Some(decay(rate, age, Self::TIME_CONSTANT) + events / Self::TIME_CONSTANT)
        };
        let _rate = self.0.update(now, decayed);
    }

    /// Returns the rate in events a second.
    pub fn rate(&self, now: Instant) -> f64 {
        let (rate, age) = self.0.get(now);
        decay(rate, age, Self::TIME_CONSTANT)
    }
}

/// Returns a value after exponential decay with a time constant in seconds.
pub(crate) fn decay(value: f64, age: Duration, time_constant: f64) -> f64 {
    value * (-age.as_secs_f64() / time_constant).exp()
}
