//! `Retry-After` value of a refusal.

use std::time::Duration;

use xxhash_rust::xxh3;

/// Shortest `Retry-After` time.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest `Retry-After` time.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Returns the `Retry-After` time of a refusal, in whole seconds.
///
/// The time is at least `wait`, the time after which the limit may admit the request. A hash of
/// the request id adds up to the same time again, so that callers that are refused together don't
/// retry together.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// let wait = guard::spread_retry_after(Duration::from_millis(1500), "request-7");
/// assert!((2..=4).contains(&wait.as_secs()));
/// ```
pub fn spread_retry_after(wait: Duration, request_id: &str) -> Duration {
    let minimum = wait
        .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        .as_secs_f64()
        .ceil();
    let thousandths = xxh3::xxh3_64(request_id.as_bytes()) % 1000;
    let jitter = minimum * thousandths as f64 / 1000.0;
    let seconds = (minimum + jitter).round() as u64;
    Duration::from_secs(seconds).min(MAX_RETRY_AFTER)
}
