//! Adaptive concurrency limit of one backend server.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::atomic::{self, AtomicFloat};

/// Outcome of one attempt, as far as it affects the concurrency limit of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitSample {
    /// The server answered; the value is the latency.
    Answered(Duration),
    /// The server refused the request because its own limit was reached.
    Shed,
    /// The server gave no complete answer in time.
    Failed,
}

/// Concurrency limit of one backend server at one entry host.
///
/// The fair share of an entry host is the server's slots divided by the entry hosts that use the
/// server. The limit follows additive increase and multiplicative decrease:
///
/// - It starts at one request and grows by about one for each limit's worth of answers, up to the
///   fair share.
/// - Above the fair share, up to all slots, it grows slowly and only while the latency stays near
///   its baseline.
/// - Shed and failed attempts multiply it by a factor below one.
/// - Slow answers set it back to the fair share, so that the latency without a queue is measured
///   again.
#[derive(Debug)]
pub struct AdaptiveLimit {
    in_flight: AtomicU32,
    limit: AtomicFloat,
    fair_share: AtomicFloat,
    slots: AtomicU32,
    /// Moving average of the latency, in seconds; infinite before the first answer.
    latency: AtomicFloat,
    /// Lowest average latency, in seconds, which drifts up slowly.
    baseline_latency: AtomicFloat,
    /// Time of the last decrease, in nanoseconds of [`atomic::nanos_of`]; 0 means never.
    decreased_at: AtomicU64,
}

/// Lower bound of the limit; one request at a time keeps probing the server.
const MIN_LIMIT: f64 = 1.0;

/// Factor on the limit after a shed or failed attempt.
const DECREASE_FACTOR: f64 = 0.7;

/// Shortest time between two decreases, so that one overload counts once.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Ratio of the average latency to the baseline above which answers count as slow.
const SLOW_LATENCY_RATIO: f64 = 3.0;

/// Weight of each new latency in the moving average, small enough that random variation of single
/// latencies doesn't count as slowness.
const LATENCY_WEIGHT: f64 = 0.02;

/// Relative increase of the baseline with each answer, so that an old minimum is forgotten.
const BASELINE_DRIFT: f64 = 0.0005;

/// Increase above the fair share for each answer, before division by the limit.
const STEP_ABOVE_FAIR_SHARE: f64 = 0.1;

impl AdaptiveLimit {
    /// Creates the limit of a server that has just started; `hosts` entry hosts share its `slots`.
    pub fn new(slots: u32, hosts: u32) -> Self {
        let limit = Self {
            in_flight: AtomicU32::new(0),
            limit: AtomicFloat::new(MIN_LIMIT),
            fair_share: AtomicFloat::new(MIN_LIMIT),
            slots: AtomicU32::new(slots),
            latency: AtomicFloat::new(f64::INFINITY),
            baseline_latency: AtomicFloat::new(f64::INFINITY),
            decreased_at: AtomicU64::new(0),
        };
        limit.set_share(slots, hosts);
        limit
    }

    /// Sets the server's slots and the number of entry hosts that share them. A limit above the new
    /// number of slots is lowered immediately.
    pub fn set_share(&self, slots: u32, hosts: u32) {
        let share = f64::from(slots) / f64::from(hosts.max(1));
        let share = share.max(MIN_LIMIT);
        self.slots.store(slots.max(1), Ordering::Relaxed);
        self.fair_share.set(share);
        let max_limit = f64::from(slots.max(1));
        self.limit.update(|limit| limit.min(max_limit));
    }

    /// Resets the limit to one request and forgets all latencies, for a server that is probed or
    /// has restarted.
    pub fn reset(&self) {
        self.limit.set(MIN_LIMIT);
        self.latency.set(f64::INFINITY);
        self.baseline_latency.set(f64::INFINITY);
    }

    /// Acquires a slot for one request and returns whether one was free. Each success requires one
    /// call of [`AdaptiveLimit::release`].
    #[must_use]
    pub fn try_acquire(&self) -> bool {
        let limit = self.limit() as u32;
        let acquire = |in_flight: u32| (in_flight < limit).then(|| in_flight + 1);
        self.in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, acquire)
            .is_ok()
    }

    /// Releases the slot of one request.
    pub fn release(&self) {
        let release = |in_flight: u32| in_flight.checked_sub(1);
        let _none_in_flight =
            self.in_flight
                .fetch_update(Ordering::AcqRel, Ordering::Relaxed, release);
    }

    /// Records the outcome of an attempt and adapts the limit.
    pub fn record(&self, now: Instant, sample: LimitSample) {
        match sample {
            LimitSample::Answered(latency) => self.record_latency(now, latency),
            LimitSample::Shed | LimitSample::Failed => {
                self.decrease(now, DECREASE_FACTOR, MIN_LIMIT)
            }
        }
    }

    /// Returns the number of in-flight requests.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the current limit.
    pub fn limit(&self) -> f64 {
        self.limit.get()
    }

    /// Returns the fair share of this entry host in the server's slots.
    pub fn fair_share(&self) -> f64 {
        self.fair_share.get()
    }

    /// Returns the ratio of in-flight requests to the limit.
    pub fn utilisation(&self) -> f64 {
        f64::from(self.in_flight()) / self.limit().floor().max(MIN_LIMIT)
    }

    fn record_latency(&self, now: Instant, latency: Duration) {
        let share = self.fair_share.get();
        if self.is_slow(latency.as_secs_f64()) && self.limit() > share {
            self.decrease(now, 0.0, share);
            return;
        }
        let in_flight = f64::from(self.in_flight()) + 1.0;
        let max_limit = f64::from(self.slots.load(Ordering::Relaxed)).max(share);
        self.limit.update(|limit| {
            if in_flight < limit.floor() {
                return limit;
            }
            let step = if limit < share {
                1.0
            } else {
                STEP_ABOVE_FAIR_SHARE
            };
            (limit + step / limit).min(max_limit)
        });
    }

    /// Records a latency in seconds and returns whether the average latency counts as slow.
    fn is_slow(&self, latency: f64) -> bool {
        let average = self.latency.update(|average| match average.is_finite() {
            true => average + LATENCY_WEIGHT * (latency - average),
            false => latency,
        });
        let baseline = self
            .baseline_latency
            .update(|baseline| (baseline * (1.0 + BASELINE_DRIFT)).min(average));
        average > baseline * SLOW_LATENCY_RATIO
    }

    /// Multiplies the limit by `factor`, but doesn't lower it below `floor`. Does nothing within
    /// [`MIN_DECREASE_INTERVAL`] of the last decrease.
    fn decrease(&self, now: Instant, factor: f64, floor: f64) {
        let now = atomic::nanos_of(now);
        let interval = MIN_DECREASE_INTERVAL.as_nanos() as u64;
        let if_due = |last: u64| (last == 0 || now >= last + interval).then_some(now);
        let decrease_due =
            self.decreased_at
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, if_due);
        if decrease_due.is_ok() {
            self.limit
                .update(|limit| (limit * factor).max(floor.min(limit)));
        }
    }
}
