//! A clock that a test advances.

use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

/// A clock that stands still until a test advances it; clones share the time.
#[derive(Debug, Clone)]
pub struct ManualClock {
    shared: Arc<Mutex<ClockState>>,
}

#[derive(Debug)]
struct ClockState {
    now: Instant,
    waiting: Vec<Waker>,
}

impl ManualClock {
    /// Creates a clock at the present moment.
    pub fn new() -> Self {
        let state = ClockState {
            now: Instant::now(),
            waiting: Vec::new(),
        };
        Self {
            shared: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the clock's moment.
    pub fn now(&self) -> Instant {
        self.state().now
    }

    /// Moves the clock on and wakes what waits for it.
    pub fn advance(&self, step: Duration) {
        let waiting = {
            let mut state = self.state();
            state.now += step;
            std::mem::take(&mut state.waiting)
        };
        waiting.into_iter().for_each(Waker::wake);
    }

    /// Waits until the clock has reached a moment.
    pub async fn wait_until(&self, moment: Instant) {
        poll_fn(|context| {
            let mut state = self.state();
            if state.now >= moment {
                return Poll::Ready(());
            }
            state.waiting.push(context.waker().clone());
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
