//! Capacity of a backend server that is reserved for one attempt.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use registry::{BackendEntry, BackendOutcome, BackendRegistry, SlotPermit};
use steer::PlacePermit;

/// Result of an attempt, as reported to the registry of backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The backend server sent a complete response.
    Answered,
    /// The backend server shed the request.
    Shed {
        /// Time after which the backend server wants to receive requests again.
        retry_after: Option<Duration>,
    },
    /// No byte of the request was sent.
    NotSent,
    /// The response was incomplete, malformed or missing.
    Broken,
}

/// Number of body bytes that one attempt transferred.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptBytes {
    /// Bytes of the request's body that were sent.
    pub up: u64,
    /// Bytes of the response's body that were received.
    pub down: u64,
}

/// Capacity of a backend server that is reserved for one attempt; dropping the permit frees it.
#[derive(Debug)]
pub struct AttemptPermit {
    address: SocketAddr,
    started_at: Instant,
    timeout_from: Instant,
    /// `None` once the attempt was finished or cancelled.
    reserved: Option<ReservedCapacity>,
}

/// Capacity that a permit reserves.
#[derive(Debug)]
pub(crate) enum ReservedCapacity {
    /// One of the requests that a fixed backend server may have in flight.
    Fixed {
        /// Frees the capacity when dropped.
        _slot: FixedSlot,
    },
    /// Capacity under the limits of a backend server and its place.
    Steered(Box<SteeredCapacity>),
}

impl AttemptPermit {
    pub(crate) fn new(
        now: Instant,
        address: SocketAddr,
        deadline: Instant,
        reserved: ReservedCapacity,
    ) -> Self {
        Self {
            address,
            started_at: now,
            timeout_from: deadline,
            reserved: Some(reserved),
        }
    }

    /// Returns the address of the backend server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the response latency that is expected of the backend server. Returns `None` if it
    /// is not measured, as for fixed backend servers.
    pub fn expected_latency(&self) -> Option<Duration> {
        match self.reserved.as_ref()? {
            ReservedCapacity::Fixed { .. } => None,
            ReservedCapacity::Steered(capacity) => Some(capacity.entry.gauge.latency()),
        }
    }

    /// Counts the attempt as timed out if it is dropped at `instant` or later, even before the
    /// deadline of the request.
    #[must_use]
    pub fn timeout_from(mut self, instant: Instant) -> Self {
        self.timeout_from = self.timeout_from.min(instant);
        self
    }

    /// Returns a handle that limits the byte rate on the link to the backend server.
    pub fn pacer(&self) -> LinkPacer {
        match self.reserved.as_ref() {
            Some(ReservedCapacity::Steered(capacity)) => LinkPacer(Some(capacity.place.clone())),
            _ => LinkPacer(None),
        }
    }

    /// Frees the capacity of an attempt that sent nothing and refunds its units to the limiters of
    /// the place.
    pub fn cancel(mut self, now: Instant) {
        if let Some(ReservedCapacity::Steered(capacity)) = self.reserved.take() {
            capacity.cancel(now);
        }
    }

    /// Frees the capacity and reports the result of the attempt to the registry.
    pub fn finish(mut self, now: Instant, result: AttemptResult, bytes: AttemptBytes) {
        if let Some(ReservedCapacity::Steered(capacity)) = self.reserved.take() {
            let latency = now.saturating_duration_since(self.started_at);
            let outcome = match result {
                AttemptResult::Answered => BackendOutcome::Answered { latency },
                AttemptResult::Shed { retry_after } => BackendOutcome::Shed { retry_after },
                AttemptResult::NotSent => BackendOutcome::ConnectFailed,
                AttemptResult::Broken => BackendOutcome::Broken,
            };
            let unused = result == AttemptResult::NotSent;
            capacity.finish(now, outcome, unused, bytes);
        }
    }
}

impl Drop for AttemptPermit {
    /// Reports an abandoned attempt as timed out if it ran until the time set with
    /// [`timeout_from`](Self::timeout_from).
    fn drop(&mut self) {
        let now = Instant::now();
        if let Some(ReservedCapacity::Steered(capacity)) = self.reserved.take() {
            if now >= self.timeout_from {
                capacity.report(now, BackendOutcome::TimedOut);
            }
        }
    }
}

/// One unit in the number of in-flight requests of a fixed backend server.
#[derive(Debug)]
pub(crate) struct FixedSlot(Arc<AtomicUsize>);

impl FixedSlot {
    /// Increments the number of in-flight requests until the slot is dropped.
    pub(crate) fn new(in_flight: Arc<AtomicUsize>) -> Self {
        in_flight.fetch_add(1, Ordering::Relaxed);
        Self(in_flight)
    }

    /// Returns the number of in-flight requests, including this one.
    pub(crate) fn in_flight(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for FixedSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

type SharedPermit = Arc<Mutex<Option<PlacePermit>>>;

/// Capacity under the limits of a backend server and its place.
#[derive(Debug)]
pub(crate) struct SteeredCapacity {
    registry: Arc<BackendRegistry>,
    entry: Arc<BackendEntry>,
    place: SharedPermit,
    _slot: SlotPermit,
}

impl SteeredCapacity {
    /// Combines a slot of a backend server with a permit of its place.
    pub(crate) fn new(
        registry: Arc<BackendRegistry>,
        entry: Arc<BackendEntry>,
        place: PlacePermit,
        slot: SlotPermit,
    ) -> Self {
        Self {
            registry,
            entry,
            place: Arc::new(Mutex::new(Some(place))),
            _slot: slot,
        }
    }

    fn finish(&self, now: Instant, outcome: BackendOutcome, unused: bool, bytes: AttemptBytes) {
        self.report(now, outcome);
        if unused {
            self.cancel(now);
            return;
        }
        let permit = lock(&self.place).take();
        if let Some(permit) = permit {
            permit.settle(now, bytes.up, bytes.down);
        }
    }

    fn cancel(&self, now: Instant) {
        let permit = lock(&self.place).take();
        if let Some(permit) = permit {
            permit.cancel(now);
        }
    }

    fn report(&self, now: Instant, outcome: BackendOutcome) {
        self.registry.record_outcome(now, self.entry.key, outcome);
    }
}

fn lock(permit: &SharedPermit) -> MutexGuard<'_, Option<PlacePermit>> {
    permit.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Paces the bytes of an attempt on the link that they cross. Attempts that cross no link are not
/// paced.
#[derive(Debug, Clone, Default)]
pub struct LinkPacer(Option<SharedPermit>);

impl LinkPacer {
    /// Charges `bytes` that are about to be sent to the link and returns the delay before the next
    /// bytes may be sent.
    pub fn pace_up(&self, now: Instant, bytes: u64) -> Duration {
        self.pace(|permit| permit.pace_up(now, bytes))
    }

    /// Charges `bytes` that were received to the link and returns the delay before more bytes may
    /// be read.
    pub fn pace_down(&self, now: Instant, bytes: u64) -> Duration {
        self.pace(|permit| permit.pace_down(now, bytes))
    }

    fn pace(&self, charge: impl FnOnce(&mut PlacePermit) -> Duration) -> Duration {
        let Some(shared) = &self.0 else {
            return Duration::ZERO;
        };
        lock(shared).as_mut().map_or(Duration::ZERO, charge)
    }
}
