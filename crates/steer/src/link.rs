//! Byte budget of one link, in both directions.

use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use guard::{RateBucket, RequestClass};
use model::ids;

use crate::share::SettledRate;

/// Part of a link's capacity that is steered. With [`BURST`] on top, every 100 ms window stays
/// under 96% of the capacity, and the rest covers packet headers and the system's own traffic.
pub const STEERED_PART: f64 = 0.8;

/// Time's worth of bytes that may pass at once.
pub const BURST: Duration = Duration::from_millis(20);

/// Part of the steered bytes that bulk may use.
pub const BULK_PART: f64 = 0.7;

/// One direction of a link at one entry host.
#[derive(Debug, Default)]
pub struct DirectionGauge {
    all: RateBucket,
    bulk: RateBucket,
}

impl DirectionGauge {
    /// Takes bytes at a rate in bytes a second, or at most a burst of them; the rest of the
    /// request is charged as it is sent.
    ///
    /// # Errors
    ///
    /// Returns how long to wait before it is worth trying again.
    fn try_take(
        &self,
        now: Instant,
        class: RequestClass,
        bytes: f64,
        rate: f64,
    ) -> Result<f64, Duration> {
        let burst = rate * BURST.as_secs_f64();
        let bytes = bytes.min(burst);
        if class != RequestClass::Bulk {
            self.all.try_take(now, bytes, rate, burst)?;
            return Ok(bytes);
        }
        let part = rate * BULK_PART;
        let bytes = bytes.min(burst * BULK_PART);
        if self.all.backlog(now) > BURST.mul_f64(BULK_PART) {
            return Err(self.all.backlog(now));
        }
        self.bulk.try_take(now, bytes, part, burst * BULK_PART)?;
        self.all.charge(now, bytes, rate);
        Ok(bytes)
    }

    /// Charges bytes that are about to pass and returns how long to hold them.
    fn charge(&self, now: Instant, class: RequestClass, bytes: f64, rate: f64) -> Duration {
        let backlog = self.all.charge(now, bytes, rate);
        if class != RequestClass::Bulk {
            return backlog.saturating_sub(BURST);
        }
        let bulk = self.bulk.charge(now, bytes, rate * BULK_PART);
        bulk.max(backlog).saturating_sub(BURST.mul_f64(BULK_PART))
    }

    fn give_back(&self, class: RequestClass, bytes: f64, rate: f64) {
        self.all.give_back(bytes, rate);
        if class == RequestClass::Bulk {
            self.bulk.give_back(bytes, rate * BULK_PART);
        }
    }
}

/// What one entry host may send and receive over one link.
///
/// Only the entry hosts of a link's two regions use it, so the budget is divided equally over
/// these.
#[derive(Debug)]
pub struct LinkGauge {
    /// Region at the other end.
    pub region: ids::RegionName,
    rate: ArcSwap<SettledRate>,
    up: DirectionGauge,
    down: DirectionGauge,
}

/// Bytes debited for one request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LinkDebit {
    /// Bytes towards the other region.
    pub up: f64,
    /// Bytes from the other region.
    pub down: f64,
}

impl LinkGauge {
    /// Creates the gauge of a link with a budget of nothing.
    pub fn new(now: Instant, region: &str) -> Self {
        Self {
            region: region.to_string(),
            rate: ArcSwap::from_pointee(SettledRate::new(now, 0.0)),
            up: DirectionGauge::default(),
            down: DirectionGauge::default(),
        }
    }

    /// Takes the expected bytes of one request in both directions.
    ///
    /// # Errors
    ///
    /// Returns how long to wait before it is worth trying again.
    pub fn try_take(
        &self,
        now: Instant,
        class: RequestClass,
        expected: LinkDebit,
    ) -> Result<LinkDebit, Duration> {
        let rate = self.rate(now);
        let up = self.up.try_take(now, class, expected.up, rate)?;
        match self.down.try_take(now, class, expected.down, rate) {
            Ok(down) => Ok(LinkDebit { up, down }),
            Err(wait) => {
                self.up.give_back(class, up, rate);
                Err(wait)
            }
        }
    }

    /// Charges bytes towards the other region and returns how long to hold them.
    pub fn charge_up(&self, now: Instant, class: RequestClass, bytes: f64) -> Duration {
        self.up.charge(now, class, bytes, self.rate(now))
    }

    /// Charges bytes from the other region and returns how long to hold the next ones.
    pub fn charge_down(&self, now: Instant, class: RequestClass, bytes: f64) -> Duration {
        self.down.charge(now, class, bytes, self.rate(now))
    }

    /// Gives back bytes that were taken and not used.
    pub fn give_back(&self, now: Instant, class: RequestClass, debit: LinkDebit) {
        let rate = self.rate(now);
        self.up.give_back(class, debit.up, rate);
        self.down.give_back(class, debit.down, rate);
    }

    /// Returns the budget in bytes a second, each way.
    pub fn rate(&self, now: Instant) -> f64 {
        self.rate.load().get(now)
    }

    /// Sets the budget: a cut holds at once, a raise after `wait`.
    pub fn set_rate(&self, now: Instant, rate: f64, wait: Duration) {
        self.rate.rcu(|old| old.set(now, rate, wait));
    }
}
