//! Source of the current time and of timers.

use std::time::{Duration, Instant};

use crate::ManualClock;

/// Source of the current time and of timers for a process.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// let clock = clock::ManualClock::new();
/// let source = clock::TimeSource::Manual(clock.clone());
/// let start = source.now();
/// clock.advance(Duration::from_secs(2));
/// assert_eq!(source.now() - start, Duration::from_secs(2));
/// ```
#[derive(Debug, Clone, Default)]
pub enum TimeSource {
    /// The clock and timers of the runtime.
    #[default]
    Runtime,
    /// A clock that a test advances.
    Manual(ManualClock),
}

impl TimeSource {
    /// Returns the current time.
    pub fn now(&self) -> Instant {
        match self {
            Self::Runtime => Instant::now(),
            Self::Manual(clock) => clock.now(),
        }
    }

    /// Waits for `duration`.
    pub async fn sleep(&self, duration: Duration) {
        match self {
            Self::Runtime => async_std::task::sleep(duration).await,
            Self::Manual(clock) => clock.wait_until(clock.now() + duration).await,
        }
    }

    /// Waits until `deadline`; returns immediately if it has passed.
    pub async fn sleep_until(&self, deadline: Instant) {
        match self {
            Self::Runtime => {
                let remaining = deadline.saturating_duration_since(Instant::now());
                async_std::task::sleep(remaining).await;
            }
            Self::Manual(clock) => clock.wait_until(deadline).await,
        }
    }
}
