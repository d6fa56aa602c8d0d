//! The share of a region's requests that runs in other regions.
//!
//! The share rises while the region has more load than the others and falls while it has less, at a
//! bounded pace: moving traffic quickly makes caches cold and regions oscillate. After a change of
//! the region's own capacity it may move faster, as its traffic has to go somewhere. Hosts of a
//! region move towards the mean of their shares, as each sees few of its requests.

use std::time::{Duration, Instant};

use crate::settings::SHIFT_WINDOW;

/// Part of the permitted shift that is used, as each host sees only its own requests.
const SHIFT_USED: f64 = 0.55;

/// Time over which the urge to move is averaged.
const URGE_MEMORY: Duration = Duration::from_millis(600);

/// Factor by which the pace rises after a change of capacity.
const CHANGED_FACTOR: f64 = 6.0;

/// Time for which it does.
const CHANGED_PERIOD: Duration = Duration::from_secs(3);

/// Change of capacity, as a part of it, from which the pace rises.
const CHANGED_PART: f64 = 0.1;

/// Weight of the latest request in the share that has left.
const LEFT_WEIGHT: f64 = 0.015;

/// How far the share may be beyond what has left.
const MAX_LEAD: f64 = 0.05;

/// How far the share may move at once.
const MAX_MOVES: f64 = 0.02;

/// Part of the way to the mean of all hosts that the share moves each time the mean is told, some
/// three times a second: hosts agree within a second or two.
const MEAN_WEIGHT: f64 = 0.3;

/// Rise of the share for one request that its region can't take.
const STARVED_STEP: f64 = 0.005;

/// Share of the requests for one service that leaves this host's region; the first request sets it.
#[derive(Debug, Clone, Default)]
pub struct RegionSpill {
    share: f64,
    /// Share that has left of late; the others may have no room for all that should.
    left: f64,
    urge: f64,
    /// How far the share may move now.
    moves: f64,
    /// Parts of requests without an object that are due to leave.
    credit: f64,
    moved_at: Option<Instant>,
    capacity: f64,
    changed_at: Option<Instant>,
}

impl RegionSpill {
    /// Returns the share.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Tells whether a first request has set it.
    pub fn is_set(&self) -> bool {
        self.moved_at.is_some()
    }

    /// Moves the share towards the mean of all hosts of the region, which that doesn't change.
    pub fn approach(&mut self, mean: f64) {
        if self.is_set() {
            self.share += (mean.clamp(0.0, 1.0) - self.share) * MEAN_WEIGHT;
        }
    }

    /// Notes the slots of the region that may be used, and what share would leave if all zones
    /// asked for the same; the first request starts with that.
    pub fn note_capacity(&mut self, now: Instant, capacity: f64, fair_share: f64) {
        if self.moved_at.is_none() {
            self.share = fair_share;
            self.left = fair_share;
            self.capacity = capacity;
            self.moved_at = Some(now);
        }
        if capacity == 0.0 {
            self.share = 1.0;
        }
        if (capacity - self.capacity).abs() > self.capacity * CHANGED_PART {
            self.capacity = capacity;
            self.changed_at = Some(now);
        }
    }

    /// Tells whether a request leaves. Requests for the same object leave together, so that it is
    /// warm in one region only.
    pub fn decide(&mut self, object: Option<u64>) -> bool {
        if object.is_some() {
            return self.leaves(object);
        }
        self.credit = (self.credit + self.share).min(2.0);
        if self.credit >= 1.0 {
            self.credit -= 1.0;
            return true;
        }
        false
    }

    /// Tells whether requests for an object leave at present.
    pub fn leaves(&self, object: Option<u64>) -> bool {
        object.is_some_and(|object| place_of(object) < self.share)
    }

    /// Notes whether a request left.
    pub fn note_run(&mut self, left: bool) {
        let left = if left { 1.0 } else { 0.0 };
        self.left += (left - self.left) * LEFT_WEIGHT;
    }

    /// Raises the share for a request that the region can't take and others can, as far as the
    /// pace permits, and tells whether that request leaves by it.
    pub fn starve(&mut self, object: Option<u64>) -> bool {
        if self.moves < STARVED_STEP {
            return false;
        }
        self.moves -= STARVED_STEP;
        self.share = (self.share + STARVED_STEP).min(1.0);
        object.is_none_or(|object| place_of(object) < self.share)
    }

    /// Moves the share by how much the region wants to be relieved, from -1 (it has room for what
    /// left) to 1.
    pub fn note_urge(&mut self, now: Instant, urge: f64, max_shift: f64) {
        let moved_at = self.moved_at.replace(now).unwrap_or(now);
        let passed = now.saturating_duration_since(moved_at).as_secs_f64();
        let weight = 1.0 - (-passed / URGE_MEMORY.as_secs_f64()).exp();
        self.urge += (urge.clamp(-1.0, 1.0) - self.urge) * weight;
        let changed = self
            .changed_at
            .is_some_and(|changed_at| now < changed_at + CHANGED_PERIOD);
        let factor = if changed { CHANGED_FACTOR } else { 1.0 };
        let pace = factor * max_shift * SHIFT_USED / SHIFT_WINDOW.as_secs_f64();
        self.moves = (self.moves + pace * passed).min(MAX_MOVES);
        let most = self.moves;
        let step = (self.urge * pace * passed.min(1.0)).clamp(-most, most);
        self.moves -= step.abs();
        // A share that nobody takes up would be taken up at once when others get room.
        let most = (self.left + MAX_LEAD).max(self.share - pace * passed.min(1.0));
        self.share = (self.share + step).min(most).clamp(0.0, 1.0);
    }
}

/// Returns the place of an object between 0 and 1, by another part of its digest than the one
/// that ranks backend servers.
fn place_of(object: u64) -> f64 {
    (object.rotate_left(32) >> 11) as f64 / (1_u64 << 53) as f64
}
