//! Where a process gets the time from.

use std::time::{Duration, Instant};

use crate::ManualClock;

/// Where a process gets the time from.
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
    /// A clock that stands still until a test advances it.
    Manual(ManualClock),
}

impl TimeSource {
    /// Returns the present moment.
    pub fn now(&self) -> Instant {
        match self {
            Self::Runtime => Instant::now(),
            Self::Manual(clock) => clock.now(),
        }
    }

    /// Waits for a duration.
    pub async fn sleep(&self, duration: Duration) {
        match self {
            Self::Runtime => async_std::task::sleep(duration).await,
            Self::Manual(clock) => clock.wait_until(clock.now() + duration).await,
        }
    }

    /// Waits until a moment; one that has passed returns at once.
    pub async fn sleep_until(&self, moment: Instant) {
        match self {
            Self::Runtime => {
                let left = moment.saturating_duration_since(Instant::now());
                async_std::task::sleep(left).await;
            }
            Self::Manual(clock) => clock.wait_until(moment).await,
        }
    }
}
