//! Exponential decay of the weight of old observations.

use std::time::{Duration, Instant};

/// Returns the weight of an observation, which falls from 1 towards 0 with its age.
pub(crate) fn weight(now: Instant, observed_at: Instant, half_life: Duration) -> f64 {
    let age = now.saturating_duration_since(observed_at);
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Returns the weighted mean of an observed value and its default; `weight` is that of the observed
/// value.
pub(crate) fn blend(observed: f64, default: f64, weight: f64) -> f64 {
    observed * weight + default * (1.0 - weight)
}
