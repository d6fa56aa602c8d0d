//! Room on a backend server for one attempt.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use registry::{BackendEntry, BackendOutcome, BackendRegistry, SlotPermit};
use steer::PlacePermit;

/// How an attempt ended, as seen by the choice of later ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// A whole answer came.
    Answered,
    /// The backend server shed it.
    Shed {
        /// Time after which the backend server wants to be asked again.
        retry_after: Option<Duration>,
    },
    /// No byte was sent.
    NotSent,
    /// The answer was cut or malformed, or never came.
    Broken,
}

/// Bytes of one attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptBytes {
    /// Bytes of the request's body that were sent.
    pub up: u64,
    /// Bytes of the answer's body that came.
    pub down: u64,
}

/// Room on a backend server for one attempt; dropping it gives the room back.
#[derive(Debug)]
pub struct RouteLease {
    address: SocketAddr,
    started: Instant,
    late_from: Instant,
    hold: Option<LeaseHold>,
}

/// What holds the room.
#[derive(Debug)]
pub(crate) enum LeaseHold {
    /// A count of requests.
    Fixed {
        /// One request more in the count.
        _slot: FixedSlot,
    },
    /// Limits of the backend server and of its place.
    Steered(Box<SteeredHold>),
}

impl RouteLease {
    pub(crate) fn new(now: Instant, address: SocketAddr, due: Instant, hold: LeaseHold) -> Self {
        Self {
            address,
            started: now,
            late_from: due,
            hold: Some(hold),
        }
    }

    /// Returns the address of the backend server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how long answers of the backend server take, where that is known.
    pub fn usual_latency(&self) -> Option<Duration> {
        match self.hold.as_ref()? {
            LeaseHold::Fixed { .. } => None,
            LeaseHold::Steered(hold) => Some(hold.entry.gauge.latency()),
        }
    }

    /// Counts the attempt as timed out when it is given up after a moment before its deadline.
    #[must_use]
    pub fn late_from(mut self, moment: Instant) -> Self {
        self.late_from = self.late_from.min(moment);
        self
    }

    /// Returns a handle that paces bytes on the link to the backend server.
    pub fn pacer(&self) -> LinkPacer {
        match self.hold.as_ref() {
            Some(LeaseHold::Steered(hold)) => LinkPacer(Some(hold.place.clone())),
            _ => LinkPacer(None),
        }
    }

    /// Gives the room back; only for an attempt of which nothing was sent.
    pub fn give_back(mut self, now: Instant) {
        if let Some(LeaseHold::Steered(hold)) = self.hold.take() {
            hold.give_back(now);
        }
    }

    /// Gives the room back and says how the attempt ended.
    pub fn finish(mut self, now: Instant, result: AttemptResult, bytes: AttemptBytes) {
        if let Some(LeaseHold::Steered(hold)) = self.hold.take() {
            let latency = now.saturating_duration_since(self.started);
            let outcome = match result {
                AttemptResult::Answered => BackendOutcome::Answered { latency },
                AttemptResult::Shed { retry_after } => BackendOutcome::Shed { retry_after },
                AttemptResult::NotSent => BackendOutcome::ConnectFailed,
                AttemptResult::Broken => BackendOutcome::Broken,
            };
            hold.end(now, outcome, result == AttemptResult::NotSent, bytes);
        }
    }
}

impl Drop for RouteLease {
    /// Counts an attempt that nobody waits for any more as timed out when it was late by then.
    fn drop(&mut self) {
        let now = Instant::now();
        if let Some(LeaseHold::Steered(hold)) = self.hold.take() {
            if now >= self.late_from {
                hold.report(now, BackendOutcome::TimedOut);
            }
        }
    }
}

/// A count of requests that holds one of them.
#[derive(Debug)]
pub(crate) struct FixedSlot(Arc<AtomicUsize>);

impl FixedSlot {
    /// Counts one request more.
    pub(crate) fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }

    /// Returns the number of requests.
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for FixedSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

type SharedPermit = Arc<Mutex<Option<PlacePermit>>>;

/// Room under the limits of a backend server and its place.
#[derive(Debug)]
pub(crate) struct SteeredHold {
    registry: Arc<BackendRegistry>,
    entry: Arc<BackendEntry>,
    place: SharedPermit,
    _slot: SlotPermit,
}

impl SteeredHold {
    /// Holds a backend server's slot and its place's permit.
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

    fn end(&self, now: Instant, outcome: BackendOutcome, unused: bool, bytes: AttemptBytes) {
        self.report(now, outcome);
        if unused {
            self.give_back(now);
            return;
        }
        let permit = lock(&self.place).take();
        if let Some(permit) = permit {
            permit.settle(now, bytes.up, bytes.down);
        }
    }

    fn give_back(&self, now: Instant) {
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

/// Charges bytes to the link that an attempt crosses, if it crosses one.
#[derive(Debug, Clone, Default)]
pub struct LinkPacer(Option<SharedPermit>);

impl LinkPacer {
    /// Charges bytes that are about to be sent and returns how long to hold the next ones.
    pub fn pace_up(&self, now: Instant, bytes: u64) -> Duration {
        self.pace(|permit| permit.pace_up(now, bytes))
    }

    /// Charges bytes that came and returns how long to wait before reading more.
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
