//! Atomic floating-point numbers, and timestamps as integers that fit into an atomic.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// An atomic `f64` with relaxed memory ordering.
#[derive(Debug, Default)]
pub struct AtomicFloat(AtomicU64);

impl AtomicFloat {
    /// Creates an atomic with an initial value.
    pub fn new(value: f64) -> Self {
        Self(AtomicU64::new(value.to_bits()))
    }

    /// Returns the current value.
    pub fn get(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::Relaxed))
    }

    /// Replaces the value.
    pub fn set(&self, value: f64) {
        self.0.store(value.to_bits(), Ordering::Relaxed);
    }

    /// Replaces the value by a function of it and returns the new value.
    ///
    /// `change` runs again when another thread changes the value at the same time.
    pub fn update(&self, change: impl Fn(f64) -> f64) -> f64 {
        let mut old = self.0.load(Ordering::Relaxed);
        loop {
            let new = change(f64::from_bits(old));
            match self.0.compare_exchange_weak(
                old,
                new.to_bits(),
                Ordering::Relaxed,
                Ordering::Relaxed,
            ) {
                Ok(_) => return new,
                Err(seen) => old = seen,
            }
        }
    }
}

/// Distance of the time base before the first timestamp, so that slightly earlier timestamps don't
/// saturate at zero.
const BASE_MARGIN: Duration = Duration::from_secs(3600);

/// Returns a timestamp as nanoseconds since a time base that is fixed for the whole process.
pub fn nanos_of(time: Instant) -> u64 {
    static BASE: OnceLock<Instant> = OnceLock::new();
    let base = *BASE.get_or_init(|| time.checked_sub(BASE_MARGIN).unwrap_or(time));
    u64::try_from(time.saturating_duration_since(base).as_nanos()).unwrap_or(u64::MAX)
}
