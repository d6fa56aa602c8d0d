//! What was seen some time ago counts less.

use std::time::{Duration, Instant};

/// Returns the part of what was seen that still counts, from 1 down to 0.
pub(crate) fn trust(now: Instant, seen_at: Instant, half_life: Duration) -> f64 {
    let age = now.saturating_duration_since(seen_at);
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Returns what was seen, mixed with what is usual.
pub(crate) fn mixed(seen: f64, usual: f64, trust: f64) -> f64 {
    seen * trust + usual * (1.0 - trust)
}
