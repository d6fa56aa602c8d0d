//! What a client connection is used for, from its start to its end.

use std::pin::pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_util::future;
use tokio::sync::watch;

use crate::close::{CloseCause, ConnectionState, Continuation};
use crate::server::ServerPhase;
use crate::state::GatewayState;

/// Tracks what a client connection is used for, and when it ends.
#[derive(Debug)]
pub(crate) struct ConnectionTracker<'a> {
    gateway: &'a GatewayState,
    state: Mutex<ConnectionState>,
}

impl<'a> ConnectionTracker<'a> {
    /// Creates the tracker of a connection that begins now.
    pub(crate) fn new(gateway: &'a GatewayState) -> Self {
        let state = ConnectionState::Idle {
            since: Instant::now(),
            announced: Duration::ZERO,
        };
        Self {
            gateway,
            state: Mutex::new(state),
        }
    }

    /// Records bytes that were read. Unless they are blank, a request begins with them where none is being received or
    /// served.
    pub(crate) fn receive(&self, bytes: &[u8]) {
        // Some clients send an empty line behind a body.
        let is_blank = bytes.iter().all(|byte| matches!(byte, b'\r' | b'\n'));
        let mut state = self.lock();
        if let ConnectionState::Idle { since, .. } = *state {
            if !is_blank {
                *state = ConnectionState::Receiving {
                    since: Instant::now(),
                    idle: since.elapsed(),
                };
            }
        }
    }

    /// Records that a request is being served. Returns the time for which the connection was idle.
    pub(crate) fn begin_request(&self) -> Duration {
        match std::mem::replace(&mut *self.lock(), ConnectionState::Serving) {
            ConnectionState::Idle { since, .. } => since.elapsed(),
            ConnectionState::Receiving { idle, .. } => idle,
            ConnectionState::Serving => Duration::ZERO,
        }
    }

    /// Records that all requests are answered, and how the connection goes on after the last answer.
    pub(crate) fn end_request(&self, next: Continuation) {
        let since = Instant::now();
        let announced = match next {
            Continuation::KeepAlive(timeout) => timeout,
            Continuation::Close | Continuation::Unstated => Duration::ZERO,
        };
        *self.lock() = ConnectionState::Idle { since, announced };
    }

    /// Returns the time that a client has for the head of a request.
    pub(crate) fn header_timeout(&self) -> Duration {
        self.gateway.routes().site.limits.header_timeout
    }

    /// Returns the longest idle time that the configuration in force allows.
    pub(crate) fn idle_limit(&self) -> Duration {
        self.gateway.routes().site.limits.idle_timeout
    }

    /// Returns how a connection goes on that stays open after an answer.
    pub(crate) fn continuation(&self) -> Continuation {
        match self.idle_limit().as_secs() {
            0 => Continuation::Unstated,
            seconds => Continuation::KeepAlive(Duration::from_secs(seconds)),
        }
    }

    /// Waits until the connection ends unless its state changes, and returns the cause.
    pub(crate) async fn end(&self, phase: &mut watch::Receiver<ServerPhase>) -> CloseCause {
        loop {
            let current = *phase.borrow_and_update();
            let state = *self.lock();
            let end = state.end(&self.gateway.routes().site.limits, current);
            let Some((at, cause)) = end else {
                return future::pending().await;
            };
            if at <= Instant::now() {
                return cause;
            }
            // The configuration may change meanwhile, so the end is determined anew.
            let passing = pin!(tokio::time::sleep_until(at.into()));
            let _ = future::select(passing, pin!(phase.changed())).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
