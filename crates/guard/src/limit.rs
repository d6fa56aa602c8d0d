//! Adaptive concurrency limit of one backend server.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::atomic::{self, AtomicFigure};

/// What one finished attempt tells of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitSample {
    /// It answered within a time.
    Answered(Duration),
    /// It refused the request because it is at its own limit.
    Shed,
    /// It gave no whole answer in time.
    Failed,
}

/// Concurrency limit of one backend server at one entry host.
///
/// The server's slots are divided over the entry hosts that use it. The limit starts at one
/// request and grows by one with each round of answers, up to the fair share; above it, up to all
/// slots, it grows slowly and only while answers come as fast as ever. Sheds and failures cut it;
/// slow answers bring it back to the fair share, so that the time without a queue is seen again.
#[derive(Debug)]
pub struct AdaptiveLimit {
    in_flight: AtomicU32,
    limit: AtomicFigure,
    fair_share: AtomicFigure,
    slots: AtomicU32,
    latency: AtomicFigure,
    best_latency: AtomicFigure,
    cut_at: AtomicU64,
}

/// Smallest limit, so that a server is always probed.
const MIN_LIMIT: f64 = 1.0;

/// Factor on a shed or failed attempt.
const CUT: f64 = 0.7;

/// Shortest time between two cuts.
const CUT_PAUSE: Duration = Duration::from_millis(100);

/// Ratio of the average latency to the best average from which answers count as slow.
const SLOW_RATIO: f64 = 3.0;

/// Weight of each new latency in the average; a lower one would take chance for slowness.
const LATENCY_WEIGHT: f64 = 0.02;

/// Part by which the best average drifts up with each answer, so that it forgets.
const BEST_DRIFT: f64 = 0.0005;

/// Growth above the fair share for each answer, divided by the limit.
const PROBE_STEP: f64 = 0.1;

impl AdaptiveLimit {
    /// Creates the limit of a server that has just started.
    pub fn new(slots: u32, hosts: u32) -> Self {
        let limit = Self {
            in_flight: AtomicU32::new(0),
            limit: AtomicFigure::new(MIN_LIMIT),
            fair_share: AtomicFigure::new(MIN_LIMIT),
            slots: AtomicU32::new(slots),
            latency: AtomicFigure::new(f64::INFINITY),
            best_latency: AtomicFigure::new(f64::INFINITY),
            cut_at: AtomicU64::new(0),
        };
        limit.set_share(slots, hosts);
        limit
    }

    /// Sets the server's slots and the entry hosts that share them; a lower share holds at once.
    pub fn set_share(&self, slots: u32, hosts: u32) {
        let share = f64::from(slots) / f64::from(hosts.max(1));
        let share = share.max(MIN_LIMIT);
        self.slots.store(slots.max(1), Ordering::Relaxed);
        self.fair_share.set(share);
        let most = f64::from(slots.max(1));
        self.limit.update(|limit| limit.min(most));
    }

    /// Goes back to one request at a time, for a server that is probed or has restarted.
    pub fn restart(&self) {
        self.limit.set(MIN_LIMIT);
        self.latency.set(f64::INFINITY);
        self.best_latency.set(f64::INFINITY);
    }

    /// Takes room for one request; each success is paired with one [`AdaptiveLimit::release`].
    #[must_use]
    pub fn try_acquire(&self) -> bool {
        let limit = self.limit() as u32;
        let take = |used: u32| (used < limit).then(|| used + 1);
        self.in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, take)
            .is_ok()
    }

    /// Gives the room of one request back.
    pub fn release(&self) {
        let give = |used: u32| used.checked_sub(1);
        let _none = self
            .in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, give);
    }

    /// Records how an attempt ended.
    pub fn record(&self, now: Instant, sample: LimitSample) {
        match sample {
            LimitSample::Answered(latency) => self.record_answer(now, latency),
            LimitSample::Shed | LimitSample::Failed => self.cut(now, CUT, MIN_LIMIT),
        }
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the present limit.
    pub fn limit(&self) -> f64 {
        self.limit.get()
    }

    /// Returns the part of the limit in use.
    pub fn utilisation(&self) -> f64 {
        f64::from(self.in_flight()) / self.limit().floor().max(MIN_LIMIT)
    }

    fn record_answer(&self, now: Instant, latency: Duration) {
        let share = self.fair_share.get();
        if self.is_slow(latency.as_secs_f64()) && self.limit() > share {
            self.cut(now, 0.0, share);
            return;
        }
        let used = f64::from(self.in_flight()) + 1.0;
        let most = f64::from(self.slots.load(Ordering::Relaxed)).max(share);
        self.limit.update(|limit| {
            if used < limit.floor() {
                return limit;
            }
            let step = if limit < share { 1.0 } else { PROBE_STEP };
            (limit + step / limit).min(most)
        });
    }

    /// Takes a latency in seconds and tells whether answers have become slow.
    fn is_slow(&self, latency: f64) -> bool {
        let average = self.latency.update(|average| match average.is_finite() {
            true => average + LATENCY_WEIGHT * (latency - average),
            false => latency,
        });
        let best = self
            .best_latency
            .update(|best| (best * (1.0 + BEST_DRIFT)).min(average));
        average > best * SLOW_RATIO
    }

    /// Cuts the limit to a part of it, but not below a least one.
    fn cut(&self, now: Instant, part: f64, least: f64) {
        let now = atomic::nanos_of(now);
        let pause = CUT_PAUSE.as_nanos() as u64;
        let due = |last: u64| (last == 0 || now >= last + pause).then_some(now);
        let won = self
            .cut_at
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, due);
        if won.is_ok() {
            self.limit
                .update(|limit| (limit * part).max(least.min(limit)));
        }
    }
}
