//! Polling of a condition with a timeout.

use std::thread;
use std::time::{Duration, Instant};

use crate::error::ProofError;

/// Time between two checks of the condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Polls a condition until it holds, and returns how long that took.
///
/// # Errors
///
/// Returns [`ProofError::Timeout`] if the condition does not hold within `timeout`. The error
/// describes the condition with the text `what`.
pub fn wait_until(
    what: &str,
    timeout: Duration,
    mut condition: impl FnMut() -> bool,
) -> Result<Duration, ProofError> {
    let start = Instant::now();
    loop {
        if condition() {
            return Ok(start.elapsed());
        }
        if start.elapsed() >= timeout {
            return Err(ProofError::Timeout(what.to_string(), timeout));
        }
        thread::sleep(CHECK_INTERVAL);
    }
}
