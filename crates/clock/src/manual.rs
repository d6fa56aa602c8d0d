//! Manually advanced clock for tests.

use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

/// A clock whose time changes only by [`ManualClock::advance`]; clones share the time.
#[derive(Debug, Clone)]
pub struct ManualClock {
    shared: Arc<Mutex<ClockState>>,
}

#[derive(Debug)]
struct ClockState {
    now: Instant,
    /// Wakers of the tasks that wait for a later time.
    wakers: Vec<Waker>,
}

impl ManualClock {
    /// Creates a clock that starts at the current time.
    pub fn new() -> Self {
        let state = ClockState {
            now: Instant::now(),
            wakers: Vec::new(),
        };
        Self {
            shared: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the time of the clock.
    pub fn now(&self) -> Instant {
        self.state().now
    }

    /// Advances the clock and wakes all tasks that wait for it.
    pub fn advance(&self, step: Duration) {
        let wakers = {
            let mut state = self.state();
            state.now += step;
            std::mem::take(&mut state.wakers)
        };
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Waits until the clock has reached `deadline`.
    pub async fn wait_until(&self, deadline: Instant) {
        poll_fn(|context| {
            let mut state = self.state();
            if state.now >= deadline {
                return Poll::Ready(());
            }
            state.wakers.push(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    fn state(&self) -> MutexGuard<'_, ClockState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}
