//! Waiting for a condition within a bound.

use std::thread;
use std::time::{Duration, Instant};

use crate::error::ProofError;

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Checks until the answer is yes, and returns the time that it took.
///
/// # Errors
///
/// Gives [`ProofError::Timeout`] with `what` where the answer stays no for the whole bound.
pub fn wait_until(
    what: &str,
    bound: Duration,
    mut check: impl FnMut() -> bool,
) -> Result<Duration, ProofError> {
    let start = Instant::now();
    loop {
        if check() {
            return Ok(start.elapsed());
        }
        if start.elapsed() >= bound {
            return Err(ProofError::Timeout(what.to_string(), bound));
        }
        thread::sleep(CHECK_INTERVAL);
    }
}
