//! Growth of a place's traffic at a bounded pace.

use std::time::{Duration, Instant};

use crate::meter::{decay, RateMeter, TimedValue};

/// Lets the traffic of one place grow by at most a pace, from what it was.
///
/// The level is the rate that may pass. It rises by the pace while the traffic uses it, stays at
/// most one second's growth above the traffic, and falls slowly when the traffic does, as caches
/// stay warm for a while.
#[derive(Debug)]
pub struct ShiftRamp {
    level: TimedValue,
    credit: TimedValue,
    passed: RateMeter,
}

/// Shortest time between two changes of the level.
const LEVEL_STEP: Duration = Duration::from_millis(20);

/// Longest time that one change of the level accounts for.
const MAX_LEVEL_STEP: Duration = Duration::from_millis(100);

/// Time constant of the level's fall, in seconds.
const COOLING_TIME: f64 = 60.0;

/// Time over which unused credit adds up, in seconds.
const CREDIT_TIME: f64 = 0.2;

/// Time by which the level may run ahead of the traffic, in seconds.
const LEAD_TIME: f64 = 1.0;

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
        let level = self.grow(now, pace);
        let most = (level * CREDIT_TIME).max(1.0);
        let spend = |credit: f64, age: Duration| {
            let credit = (credit + level * age.as_secs_f64()).min(most);
            (credit >= 1.0).then_some(credit - 1.0)
        };
        match self.credit.update(now, spend) {
            Ok(_) => {
                self.passed.add(now, 1.0);
                Ok(())
            }
            Err(credit) => {
                let rate = level + pace * LEAD_TIME;
                let wait = (1.0 - credit).max(0.0) / rate.max(1e-3);
                Err(Duration::from_secs_f64(wait.min(60.0)))
            }
        }
    }

    /// Takes back a request that passed and was not used.
    pub fn give_back(&self, now: Instant) {
        let level = self.level.get(now).0;
        let refill = |credit: f64, age: Duration| Some(credit + level * age.as_secs_f64() + 1.0);
        let _credit = self.credit.update(now, refill);
        self.passed.add(now, -1.0);
    }

    /// Returns the rate that may pass, in requests a second.
    pub fn level(&self, now: Instant) -> f64 {
        let (level, age) = self.level.get(now);
        decay(level, age, COOLING_TIME)
    }

    /// Returns the rate that passed, in requests a second.
    pub fn passed(&self, now: Instant) -> f64 {
        self.passed.rate(now).max(0.0)
    }

    fn grow(&self, now: Instant, pace: f64) -> f64 {
        let passed = self.passed(now);
        let step = |level: f64, age: Duration| {
            if age < LEVEL_STEP {
                return None;
            }
            let raised = level + pace * age.min(MAX_LEVEL_STEP).as_secs_f64();
            let cooled = decay(level, age, COOLING_TIME);
            Some(raised.min(passed + pace * LEAD_TIME).max(cooled))
        };
        match self.level.update(now, step) {
            Ok(level) | Err(level) => level,
        }
    }
}
