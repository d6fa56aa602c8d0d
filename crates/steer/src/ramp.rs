//! Growth of a place's traffic at a bounded pace.

use std::time::{Duration, Instant};

use crate::meter::{decay, RateMeter, TimedValue};

/// Lets the traffic of one place grow by at most a pace, from what it was.
///
/// The level is the rate that may pass. It rises by the pace while the traffic is held back by
/// it, and falls slowly to the traffic otherwise, as caches stay warm for a while.
#[derive(Debug)]
pub struct ShiftRamp {
    level: TimedValue,
    credit: TimedValue,
    passed: RateMeter,
}

/// Shortest time between two rises of the level.
const LEVEL_STEP: Duration = Duration::from_millis(10);

/// Longest time that one rise of the level accounts for.
const MAX_LEVEL_STEP: Duration = Duration::from_millis(250);

/// Least level, as the growth of a time in seconds.
const LEAST_LEVEL_TIME: f64 = 0.1;

/// Time constant of the level's fall, in seconds.
const COOLING_TIME: f64 = 10.0;

/// Time over which unused credit adds up, in seconds.
const CREDIT_TIME: f64 = 0.1;

/// Longest wait that a refusal names.
const MAX_WAIT: f64 = 30.0;

impl ShiftRamp {
    /// Creates the ramp of a place whose traffic was at a rate, in requests a second.
    pub fn new(now: Instant, rate: f64) -> Self {
        Self {
            level: TimedValue::new(now, rate),
            credit: TimedValue::new(now, 1.0),
            passed: RateMeter::default(),
        }
    }

    /// Passes one request; `pace` is the growth in requests a second each second.
    ///
    /// # Errors
    ///
    /// Returns how long to wait before it is worth trying again.
    pub fn try_pass(&self, now: Instant, pace: f64) -> Result<(), Duration> {
        let level = self.level(now).max(pace * LEAST_LEVEL_TIME);
        let most = (level * CREDIT_TIME).max(1.0);
        let spend = |credit: f64, age: Duration| {
            let credit = (credit + level * age.as_secs_f64()).min(most);
            (credit >= 1.0).then_some(credit - 1.0)
        };
        let Err(credit) = self.credit.update(now, spend) else {
            self.passed.add(now, 1.0);
            return Ok(());
        };
        let level = self.rise(now, pace);
        let wait = (1.0 - credit).max(0.0) / (level + pace).max(1e-3);
        Err(Duration::from_secs_f64(wait.min(MAX_WAIT)))
    }

    /// Takes back a request that passed and was not sent.
    pub fn give_back(&self, now: Instant) {
        let level = self.level(now);
        let refill = |credit: f64, age: Duration| Some(credit + level * age.as_secs_f64() + 1.0);
        let _credit = self.credit.update(now, refill);
        self.passed.add(now, -1.0);
    }

    /// Returns the rate that may pass, in requests a second.
    pub fn level(&self, now: Instant) -> f64 {
        let (level, age) = self.level.get(now);
        self.cool(now, level, age)
    }

    /// Returns the rate that passed, in requests a second.
    pub fn passed(&self, now: Instant) -> f64 {
        self.passed.rate(now).max(0.0)
    }

    /// Returns a level after it has fallen towards the traffic for a time.
    fn cool(&self, now: Instant, level: f64, age: Duration) -> f64 {
        let base = self.passed(now).min(level);
        base + decay(level - base, age, COOLING_TIME)
    }

    /// Raises the level, as the traffic is held back by it.
    fn rise(&self, now: Instant, pace: f64) -> f64 {
        let step = |level: f64, age: Duration| {
            let growth = pace * age.min(MAX_LEVEL_STEP).as_secs_f64();
            let held = self.cool(now, level, age);
            let held = held.max(pace * LEAST_LEVEL_TIME);
            (age >= LEVEL_STEP).then_some(held + growth)
        };
        match self.level.update(now, step) {
            Ok(level) | Err(level) => level,
        }
    }
}
