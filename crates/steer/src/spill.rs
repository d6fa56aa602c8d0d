//! Controller that moves traffic away from places under pressure.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::meter::TimedValue;

/// Integral controller for the part of a place's traffic that goes to other places.
///
/// The pressure of a place is the utilisation of its backend servers' limits. The spilled part
/// grows while the pressure exceeds [`TARGET_PRESSURE`], and shrinks below it. The gain is low
/// enough that the control loop doesn't oscillate although measurements lag: gain times the
/// greatest lag is 0.5, and oscillation starts at about 1.6.
#[derive(Debug)]
pub struct SpillController {
    spilled_part: TimedValue,
    /// State of the low-discrepancy sequence that selects the spilled requests.
    sequence: AtomicU32,
}

/// Set point of the controller: utilisation of the backend servers' limits.
pub const TARGET_PRESSURE: f64 = 0.8;

/// Change of the spilled part for each second and unit of pressure above the target.
const GAIN_PER_SECOND: f64 = 0.1;

/// Longest time over which one measurement is integrated.
const MAX_STEP: Duration = Duration::from_secs(1);

/// Upper bound of the spilled part; the remaining traffic keeps the pressure measurable.
const MAX_SPILL: f64 = 0.95;

/// Step of the low-discrepancy sequence that spreads the spilled requests evenly: 2^32 divided by
/// the golden ratio.
const SEQUENCE_STEP: u32 = 2_654_435_769;

impl SpillController {
    /// Creates a controller with a spilled part of zero.
    pub fn new(now: Instant) -> Self {
        Self {
            spilled_part: TimedValue::new(now, 0.0),
            sequence: AtomicU32::new(0),
        }
    }

    /// Records a measured pressure; 1 means that the limits are fully used.
    pub fn record_pressure(&self, now: Instant, pressure: f64) {
        let excess = pressure.clamp(0.0, 2.0) - TARGET_PRESSURE;
        let change = |spilled_part: f64, age: Duration| {
            let age = age.min(MAX_STEP).as_secs_f64();
            Some((spilled_part + GAIN_PER_SECOND * excess * age).clamp(0.0, MAX_SPILL))
        };
        let _spilled_part = self.spilled_part.update(now, change);
    }

    /// Returns the part of the traffic that goes to other places, from 0 to 1.
    pub fn spilled_part(&self, now: Instant) -> f64 {
        self.spilled_part.get(now).0
    }

    /// Advances the sequence and returns whether the next request prefers another place.
    pub fn spills_next(&self, now: Instant) -> bool {
        let spilled_part = self.spilled_part(now);
        if spilled_part <= 0.0 {
            return false;
        }
        let sequence = self.sequence.fetch_add(SEQUENCE_STEP, Ordering::Relaxed);
        f64::from(sequence) < spilled_part * f64::from(u32::MAX)
    }
}
