//! Limit on the requests that wait for capacity, and on their waiting time.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::class::RequestClass;
use crate::deadline::RequestDeadline;

/// Limits how many requests wait for capacity before they are refused, and for how long.
///
/// Limits on 100 ms windows refuse the excess of a random burst, although the next window has
/// capacity. A short wait smooths such bursts. No place has been chosen for a waiting request yet,
/// and it is refused as soon as its waiting time is used up.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use std::time::{Duration, Instant};
/// use guard::{RequestClass, RequestDeadline, WaitLimit};
///
/// let limit = Arc::new(WaitLimit::default());
/// let now = Instant::now();
/// let deadline = RequestDeadline::after(now, Duration::from_secs(2));
/// let wait = limit.try_start(now, RequestClass::Read, deadline).unwrap();
/// let retry_after = Duration::from_millis(30);
/// assert_eq!(wait.retry_delay(now, retry_after), Some(retry_after));
/// assert_eq!(wait.retry_delay(now + Duration::from_millis(90), retry_after), None);
/// ```
#[derive(Debug, Default)]
pub struct WaitLimit {
    waiting: AtomicU32,
}

impl WaitLimit {
    /// Longest total waiting time of a request; a request also waits for at most a quarter of the
    /// time to its deadline.
    pub const MAX_WAIT: Duration = Duration::from_millis(100);
    /// Largest number of requests that wait at the same time.
    pub const MAX_WAITING: u32 = 256;

    /// Starts the wait of a request. Returns `None` if its class has used up its part of the
    /// waiting requests: a quarter for bulk, half for reads, all for writes.
    pub fn try_start(
        self: &Arc<Self>,
        now: Instant,
        class: RequestClass,
        deadline: RequestDeadline,
    ) -> Option<WaitPermit> {
        let max_waiting = match class {
            RequestClass::Bulk => Self::MAX_WAITING / 4,
            RequestClass::Read => Self::MAX_WAITING / 2,
            RequestClass::Write => Self::MAX_WAITING,
        };
        let add = |waiting: u32| (waiting < max_waiting).then_some(waiting + 1);
        self.waiting
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, add)
            .ok()?;
        let wait = Self::MAX_WAIT.min(deadline.remaining(now) / 4);
        Some(WaitPermit {
            limit: Arc::clone(self),
            ends_at: now + wait,
        })
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }
}

/// Permission of one request to wait; dropping it lets another request wait.
#[derive(Debug)]
pub struct WaitPermit {
    limit: Arc<WaitLimit>,
    ends_at: Instant,
}

impl WaitPermit {
    /// Returns the delay before the next attempt to get capacity: `retry_after`, but at least 1 ms.
    /// Returns `None` if the waiting time would end before, so that the request is refused.
    pub fn retry_delay(&self, now: Instant, retry_after: Duration) -> Option<Duration> {
        let delay = retry_after.max(Duration::from_millis(1));
        (now + delay <= self.ends_at).then_some(delay)
    }
}

impl Drop for WaitPermit {
    fn drop(&mut self) {
        self.limit.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
