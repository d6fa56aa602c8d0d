//! Slow reaction to measurements that lag.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::meter::TimedValue;

/// Moves a part of a place's traffic elsewhere while the place reports pressure.
///
/// The part follows the pressure by integration with a gain so low that, at the greatest lag of
/// a measurement, the loop doesn't oscillate: gain times lag is 0.5, and it would start to
/// oscillate from about 1.6.
#[derive(Debug)]
pub struct SpillDamper {
    spill: TimedValue,
    draw: AtomicU32,
}

/// Pressure that is aimed at: the part of the backend servers' limits in use.
pub const TARGET_PRESSURE: f64 = 0.8;

/// Change of the part for each second and unit of pressure over the target.
const GAIN: f64 = 0.1;

/// Longest time that one report accounts for.
const MAX_STEP: Duration = Duration::from_secs(1);

/// Greatest part that is moved; the rest keeps the measurements alive.
const MAX_SPILL: f64 = 0.95;

/// Step of the low-discrepancy sequence that spreads the moved part evenly: 2^32 over the golden
/// ratio.
const DRAW_STEP: u32 = 2_654_435_769;

impl SpillDamper {
    /// Creates a damper that moves nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            spill: TimedValue::new(now, 0.0),
            draw: AtomicU32::new(0),
        }
    }

    /// Takes a measured pressure; 1 means that the limits are reached.
    pub fn report(&self, now: Instant, pressure: f64) {
        let over = pressure.clamp(0.0, 2.0) - TARGET_PRESSURE;
        let step = |spill: f64, age: Duration| {
            let age = age.min(MAX_STEP).as_secs_f64();
            Some((spill + GAIN * over * age).clamp(0.0, MAX_SPILL))
        };
        let _spill = self.spill.update(now, step);
    }

    /// Returns the part of the traffic that goes elsewhere, from 0 to 1.
    pub fn spill(&self, now: Instant) -> f64 {
        self.spill.get(now).0
    }

    /// Tells whether the next request goes elsewhere if it can.
    pub fn moves_next(&self, now: Instant) -> bool {
        let spill = self.spill(now);
        if spill <= 0.0 {
            return false;
        }
        let draw = self.draw.fetch_add(DRAW_STEP, Ordering::Relaxed);
        f64::from(draw) < spill * f64::from(u32::MAX)
    }
}
