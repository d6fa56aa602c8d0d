//! The share of a region's requests that runs in other regions.
//!
//! The share rises while the region has a higher load than the others and falls while it has a
//! lower one, at a limited rate: shifting traffic quickly makes caches cold and regions oscillate.
//! After a change of the region's own capacity the rate limit is higher, as the traffic has to go
//! somewhere. Each host sees few of its region's requests, so the hosts of a region also move their
//! shares towards their mean.

use std::time::{Duration, Instant};

use crate::settings::SHIFT_WINDOW;

/// Fraction of the permitted shift that is used, as each host sees only its own requests.
const SHIFT_FRACTION: f64 = 0.55;

/// Time constant of the average of the pressure.
const PRESSURE_TIME_CONSTANT: Duration = Duration::from_millis(600);

/// Factor by which the rate limit of the share rises after a change of capacity.
const CAPACITY_CHANGE_FACTOR: f64 = 6.0;

/// Time after a change of capacity for which the higher rate limit applies.
const CAPACITY_CHANGE_PERIOD: Duration = Duration::from_secs(3);

/// Smallest relative change of capacity that raises the rate limit.
const MIN_CAPACITY_CHANGE: f64 = 0.1;

/// EWMA weight of the latest request in the share that actually spilled.
const SPILLED_EWMA_WEIGHT: f64 = 0.015;

/// Largest amount by which the share may exceed the share that actually spilled.
const MAX_EXCESS: f64 = 0.05;

/// Largest change of the share that may accumulate for one step.
const MAX_SHIFT_BUDGET: f64 = 0.02;

/// Fraction of the distance to the mean of all hosts by which the share moves for each exchange of
/// means. There are about three exchanges a second, so hosts agree within a second or two.
const MEAN_WEIGHT: f64 = 0.3;

/// Increase of the share for one request that its region can't admit.
const OVERFLOW_STEP: f64 = 0.005;

/// Share of the requests for one service that leaves this host's region.
///
/// The first request initialises the share.
#[derive(Debug, Clone, Default)]
pub struct RegionSpill {
    share: f64,
    /// EWMA of the share that actually spilled; the other regions may have no room for the whole
    /// share.
    spilled: f64,
    /// Average of the pressure, from -1 to 1.
    pressure: f64,
    /// Amount by which the share may change at present.
    shift_budget: f64,
    /// Accumulated fractions of requests without an object that are due to spill.
    credit: f64,
    updated_at: Option<Instant>,
    /// Usable slots of the region.
    capacity: f64,
    capacity_changed_at: Option<Instant>,
}

impl RegionSpill {
    /// Returns the share, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns whether a first request has initialised the share.
    pub fn is_initialised(&self) -> bool {
        self.updated_at.is_some()
    }

    /// Moves the share towards the mean of all hosts of the region; the mean itself stays the same
    /// when all of them do so.
    pub fn approach_mean(&mut self, mean: f64) {
        if self.is_initialised() {
            self.share += (mean.clamp(0.0, 1.0) - self.share) * MEAN_WEIGHT;
        }
    }

    /// Updates the usable slots of the region.
    ///
    /// `fair_share` initialises the share: it is the one that would spill if all zones had the same
    /// demand.
    pub fn update_capacity(&mut self, now: Instant, capacity: f64, fair_share: f64) {
        if self.updated_at.is_none() {
            self.share = fair_share;
            self.spilled = fair_share;
            self.capacity = capacity;
            self.updated_at = Some(now);
        }
        if capacity == 0.0 {
            self.share = 1.0;
        }
        if (capacity - self.capacity).abs() > self.capacity * MIN_CAPACITY_CHANGE {
            self.capacity = capacity;
            self.capacity_changed_at = Some(now);
        }
    }

    /// Decides whether a new request spills. All requests for an object spill together, so that the
    /// object is cached in one region only.
    pub fn decide(&mut self, object: Option<u64>) -> bool {
        if object.is_some() {
            return self.spills_object(object);
        }
        self.credit = (self.credit + self.share).min(2.0);
        if self.credit >= 1.0 {
            self.credit -= 1.0;
            return true;
        }
        false
    }

    /// Returns whether requests for an object spill at present; false without an object.
    pub fn spills_object(&self, object: Option<u64>) -> bool {
        object.is_some_and(|object| object_position(object) < self.share)
    }

    /// Records whether a request was sent to another region.
    pub fn record_request(&mut self, spilled: bool) {
        let spilled = if spilled { 1.0 } else { 0.0 };
        self.spilled += (spilled - self.spilled) * SPILLED_EWMA_WEIGHT;
    }

    /// Raises the share by one step, within the rate limit, for a request that other regions can
    /// admit and this region can't. Returns whether the request spills at the new share.
    pub fn overflow(&mut self, object: Option<u64>) -> bool {
        if self.shift_budget < OVERFLOW_STEP {
            return false;
        }
        self.shift_budget -= OVERFLOW_STEP;
        self.share = (self.share + OVERFLOW_STEP).min(1.0);
        object.is_none_or(|object| object_position(object) < self.share)
    }

    /// Changes the share by the time since the last update and by the pressure, which ranges from
    /// -1 (the region has room for the spilled requests) to 1 (it is overloaded).
    ///
    /// `max_shift` is the largest change of the share for each [`SHIFT_WINDOW`].
    pub fn update_share(&mut self, now: Instant, pressure: f64, max_shift: f64) {
        let updated_at = self.updated_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(updated_at).as_secs_f64();
        let weight = 1.0 - (-elapsed / PRESSURE_TIME_CONSTANT.as_secs_f64()).exp();
        self.pressure += (pressure.clamp(-1.0, 1.0) - self.pressure) * weight;
        let changed = self
            .capacity_changed_at
            .is_some_and(|changed_at| now < changed_at + CAPACITY_CHANGE_PERIOD);
        let factor = if changed { CAPACITY_CHANGE_FACTOR } else { 1.0 };
        let rate = factor * max_shift * SHIFT_FRACTION / SHIFT_WINDOW.as_secs_f64();
        self.shift_budget = (self.shift_budget + rate * elapsed).min(MAX_SHIFT_BUDGET);
        let max_step = self.shift_budget;
        let step = (self.pressure * rate * elapsed.min(1.0)).clamp(-max_step, max_step);
        self.shift_budget -= step.abs();
        // The part of the share that the other regions have no room for would all spill at once
        // when they get room, so the share stays close to what actually spills.
        let max_share = (self.spilled + MAX_EXCESS).max(self.share - rate * elapsed.min(1.0));
        self.share = (self.share + step).min(max_share).clamp(0.0, 1.0);
    }
}

/// Returns the position of an object between 0 and 1: the object spills while the share is above
/// it. The position is derived separately from the ranking of backend servers.
fn object_position(object: u64) -> f64 {
    (object.rotate_left(32) >> 11) as f64 / (1_u64 << 53) as f64
}
