//! The share of a region's requests that runs in other regions.
//!
//! The share follows the wish for it, at a bounded pace: moving traffic quickly makes caches cold
//! and regions oscillate.

use std::time::{Duration, Instant};

use crate::settings::SHIFT_WINDOW;

/// Part of the permitted shift that is used, as each host sees only its own requests.
const SHIFT_USED: f64 = 0.6;

/// Time over which the wish is averaged.
const WISH_MEMORY: Duration = Duration::from_millis(1_000);

/// Share of the requests for one service that leaves this host's region.
#[derive(Debug, Clone)]
pub struct RegionSpill {
    share: f64,
    wish: f64,
    /// Parts of requests that are due to leave.
    credit: f64,
    moved_at: Instant,
}

impl RegionSpill {
    /// Creates a share of nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            share: 0.0,
            wish: 0.0,
            credit: 0.0,
            moved_at: now,
        }
    }

    /// Returns the share.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Notes a request and whether its own region is full, and tells whether it is one that
    /// leaves. Requests for the same object leave together, so that it is warm in one region only.
    pub fn decide(
        &mut self,
        now: Instant,
        object: Option<u64>,
        full: bool,
        max_shift: f64,
    ) -> bool {
        let passed = now.saturating_duration_since(self.moved_at).as_secs_f64();
        self.moved_at = now;
        let weight = 1.0 - (-passed / WISH_MEMORY.as_secs_f64()).exp();
        // A full region wishes for more than now, a region with room for less.
        let wanted = if full { 1.0 } else { 0.0 };
        self.wish += (wanted - self.wish) * weight;
        let pace = max_shift * SHIFT_USED / SHIFT_WINDOW.as_secs_f64();
        let step = pace * passed.min(1.0);
        self.share += (self.wish - self.share).clamp(-step, step);
        if let Some(object) = object {
            // Another part of the digest than the one that ranks backend servers.
            let place = (object.rotate_left(32) >> 11) as f64 / (1_u64 << 53) as f64;
            return place < self.share;
        }
        self.credit = (self.credit + self.share).min(2.0);
        if self.credit >= 1.0 {
            self.credit -= 1.0;
            return true;
        }
        false
    }

    /// Sets the share at once, for a region that has no backend server left.
    pub fn set(&mut self, now: Instant, share: f64) {
        self.share = share;
        self.wish = share;
        self.credit = 0.0;
        self.moved_at = now;
    }
}
