//! Limit on the growth of a place's traffic.

use std::time::{Duration, Instant};

use crate::meter::{decay, RateMeter, TimedValue};

/// Limits how fast the traffic of one place grows.
///
/// The rate limit rises with the allowed growth while it holds traffic back. Otherwise it decays
/// slowly to the admitted rate, because caches of the backend servers stay warm for a while.
#[derive(Debug)]
pub struct ShiftRamp {
    /// Rate limit at its last raise, in requests a second.
    limit: TimedValue,
    /// Requests that may pass immediately.
    credit: TimedValue,
    admitted: RateMeter,
}

/// Shortest time between two raises of the limit.
const MIN_RAISE_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time over which one raise adds growth.
const MAX_RAISE_INTERVAL: Duration = Duration::from_millis(250);

/// Lower bound of the limit, as the growth over this many seconds.
const MIN_LIMIT_SECONDS: f64 = 0.1;

/// Time constant with which the limit decays, in seconds.
const DECAY_SECONDS: f64 = 10.0;

/// Time over which unused credit accumulates, in seconds.
const MAX_CREDIT_SECONDS: f64 = 0.1;

/// Longest wait that is returned, in seconds.
const MAX_WAIT_SECONDS: f64 = 30.0;

impl ShiftRamp {
    /// Creates the ramp of a place whose traffic is `rate`, in requests a second.
    pub fn new(now: Instant, rate: f64) -> Self {
        Self {
            limit: TimedValue::new(now, rate),
            credit: TimedValue::new(now, 1.0),
            admitted: RateMeter::default(),
        }
    }

    /// Admits one request if the limit allows it. `max_growth` is the allowed growth of the
    /// traffic, in requests a second per second.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry, if the request exceeds the limit.
    pub fn try_admit(&self, now: Instant, max_growth: f64) -> Result<(), Duration> {
        let limit = self.limit(now).max(max_growth * MIN_LIMIT_SECONDS);
        let max_credit = (limit * MAX_CREDIT_SECONDS).max(1.0);
        let spend = |credit: f64, age: Duration| {
            let credit = (credit + limit * age.as_secs_f64()).min(max_credit);
            (credit >= 1.0).then_some(credit - 1.0)
        };
        let Err(credit) = self.credit.update(now, spend) else {
            self.admitted.add(now, 1.0);
            return Ok(());
        };
        let limit = self.raise_limit(now, max_growth);
        let wait = (1.0 - credit).max(0.0) / (limit + max_growth).max(1e-3);
        Err(Duration::from_secs_f64(wait.min(MAX_WAIT_SECONDS)))
    }

    /// Refunds a request that was admitted and not sent.
    pub fn refund(&self, now: Instant) {
        let limit = self.limit(now);
        let refill = |credit: f64, age: Duration| Some(credit + limit * age.as_secs_f64() + 1.0);
        let _credit = self.credit.update(now, refill);
        self.admitted.add(now, -1.0);
    }

    /// Returns the rate limit, in requests a second.
    pub fn limit(&self, now: Instant) -> f64 {
        let (limit, age) = self.limit.get(now);
        self.decayed_limit(now, limit, age)
    }

    /// Returns the rate of admitted requests, in requests a second.
    pub fn admitted_rate(&self, now: Instant) -> f64 {
        self.admitted.rate(now).max(0.0)
    }

    /// Returns a limit of some age after its decay towards the admitted rate.
    fn decayed_limit(&self, now: Instant, limit: f64, age: Duration) -> f64 {
        let base = self.admitted_rate(now).min(limit);
        base + decay(limit - base, age, DECAY_SECONDS)
    }

    /// Raises the limit, because it holds traffic back, and returns the new limit.
    fn raise_limit(&self, now: Instant, max_growth: f64) -> f64 {
        let step = |limit: f64, age: Duration| {
            let increase = max_growth * age.min(MAX_RAISE_INTERVAL).as_secs_f64();
            let current = self.decayed_limit(now, limit, age);
            let current = current.max(max_growth * MIN_LIMIT_SECONDS);
            (age >= MIN_RAISE_INTERVAL).then_some(current + increase)
        };
        match self.limit.update(now, step) {
            Ok(limit) | Err(limit) => limit,
        }
    }
}
