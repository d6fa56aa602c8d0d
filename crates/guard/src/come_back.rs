//! When a refused caller should come back.

use std::time::Duration;

use xxhash_rust::xxh3;

/// Shortest time to come back after.
pub const MIN_COME_BACK: Duration = Duration::from_secs(1);

/// Longest time to come back after.
pub const MAX_COME_BACK: Duration = Duration::from_secs(30);

/// Returns the `Retry-After` of a refusal, in whole seconds.
///
/// The time is at least what the limit needs, and spread by the request's id over as much again,
/// so that callers refused in one moment don't return in one moment.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// let wait = guard::come_back_after(Duration::from_millis(1500), "request-7");
/// assert!((2..=4).contains(&wait.as_secs()));
/// ```
pub fn come_back_after(wait: Duration, request_id: &str) -> Duration {
    let least = wait
        .clamp(MIN_COME_BACK, MAX_COME_BACK)
        .as_secs_f64()
        .ceil();
    let part = xxh3::xxh3_64(request_id.as_bytes()) % 1000;
    let spread = least * part as f64 / 1000.0;
    let seconds = (least + spread).round() as u64;
    Duration::from_secs(seconds).min(MAX_COME_BACK)
}
