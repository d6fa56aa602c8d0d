//! A short and bounded wait for room before a request is refused.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::class::RequestClass;
use crate::deadline::RequestDeadline;

/// Lets a bounded count of requests wait a short time for room.
///
/// Limits that hold in every 100 ms window refuse what arrives by chance in one window though the
/// next has room. A request that waits still has all its choices; once it is given up it is
/// refused at once.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use std::time::{Duration, Instant};
/// use guard::{RequestClass, RequestDeadline, WaitingRoom};
///
/// let room = Arc::new(WaitingRoom::default());
/// let now = Instant::now();
/// let deadline = RequestDeadline::after(now, Duration::from_secs(2));
/// let wait = room.enter(now, RequestClass::Read, deadline).unwrap();
/// let pause = Duration::from_millis(30);
/// assert_eq!(wait.pause(now, pause), Some(pause));
/// assert_eq!(wait.pause(now + Duration::from_millis(90), pause), None);
/// ```
#[derive(Debug, Default)]
pub struct WaitingRoom {
    waiting: AtomicU32,
}

impl WaitingRoom {
    /// Longest time that a request waits in all.
    pub const MAX_WAIT: Duration = Duration::from_millis(100);
    /// Most requests that wait at once.
    pub const MAX_WAITING: u32 = 256;

    /// Lets a request wait, unless the part of the room that its class may fill is full.
    pub fn enter(
        self: &Arc<Self>,
        now: Instant,
        class: RequestClass,
        deadline: RequestDeadline,
    ) -> Option<RoomWait> {
        let most = match class {
            RequestClass::Bulk => Self::MAX_WAITING / 4,
            RequestClass::Read => Self::MAX_WAITING / 2,
            RequestClass::Write => Self::MAX_WAITING,
        };
        let add = |waiting: u32| (waiting < most).then_some(waiting + 1);
        self.waiting
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, add)
            .ok()?;
        let wait = Self::MAX_WAIT.min(deadline.left(now) / 4);
        Some(RoomWait {
            room: Arc::clone(self),
            give_up_at: now + wait,
        })
    }

    /// Returns the requests that wait now.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }
}

/// The wait of one request; dropping it makes room for another.
#[derive(Debug)]
pub struct RoomWait {
    room: Arc<WaitingRoom>,
    give_up_at: Instant,
}

impl RoomWait {
    /// Returns how long to pause before the next try, or nothing when the request is given up.
    pub fn pause(&self, now: Instant, retry_after: Duration) -> Option<Duration> {
        let pause = retry_after.max(Duration::from_millis(1));
        (now + pause <= self.give_up_at).then_some(pause)
    }
}

impl Drop for RoomWait {
    fn drop(&mut self) {
        self.room.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
