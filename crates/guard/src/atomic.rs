//! Atomic floating-point figures and a monotonic time base.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// A floating-point figure that threads share.
#[derive(Debug, Default)]
pub struct AtomicFigure(AtomicU64);

impl AtomicFigure {
    /// Creates a figure.
    pub fn new(value: f64) -> Self {
        Self(AtomicU64::new(value.to_bits()))
    }

    /// Returns the figure.
    pub fn get(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::Relaxed))
    }

    /// Sets the figure.
    pub fn set(&self, value: f64) {
        self.0.store(value.to_bits(), Ordering::Relaxed);
    }

    /// Replaces the figure by a function of it and returns the new one.
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

/// Time that the base lies before the first use, so that earlier moments stay positive.
const BASE_MARGIN: Duration = Duration::from_secs(3600);

/// Returns a moment as nanoseconds since a base that is the same all over the process.
pub fn nanos_of(moment: Instant) -> u64 {
    static BASE: OnceLock<Instant> = OnceLock::new();
    let base = *BASE.get_or_init(|| moment.checked_sub(BASE_MARGIN).unwrap_or(moment));
    u64::try_from(moment.saturating_duration_since(base).as_nanos()).unwrap_or(u64::MAX)
}
