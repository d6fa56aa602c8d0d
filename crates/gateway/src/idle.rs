//! Time for which a client connection may be idle.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::state::GatewayState;

/// Time for which an idle connection stays open beyond the limit of the configuration: a request may be in transit,
/// and the client may already go by a configuration with a higher limit that hasn't reached this host.
const IDLE_MARGIN: Duration = Duration::from_secs(3);

/// Measures how long a client connection has been idle.
#[derive(Debug)]
pub(crate) struct IdleClock<'a> {
    state: &'a GatewayState,
    /// Time since which no request is being served; `None` while one is.
    idle_since: Mutex<Option<Instant>>,
}

impl<'a> IdleClock<'a> {
    /// Creates the clock of a connection that is idle from now on.
    pub(crate) fn new(state: &'a GatewayState) -> Self {
        Self {
            state,
            idle_since: Mutex::new(Some(Instant::now())),
        }
    }

    /// Records that a request is being served. Returns the time for which the connection was idle.
    pub(crate) fn begin_request(&self) -> Duration {
        let idle_since = self.lock().take();
        idle_since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Records that no request is being served any more, or that bytes of the next one came.
    pub(crate) fn restart(&self) {
        *self.lock() = Some(Instant::now());
    }

    /// Returns the longest idle time that the configuration in force allows.
    pub(crate) fn limit(&self) -> Duration {
        self.state.routes().site.limits.idle_timeout
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Instant>> {
        self.idle_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the connection has been idle for longer than the configuration in force allows. It may
    /// change meanwhile.
    pub(crate) async fn expired(&self) {
        loop {
            let limit = self.limit() + IDLE_MARGIN;
            let idle_since = *self.lock();
            let idle = idle_since.map_or(Duration::ZERO, |since| since.elapsed());
            let left = limit.saturating_sub(idle);
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left).await;
        }
    }
}
