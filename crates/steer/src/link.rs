//! Byte budget of one link between regions, in both directions.

use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use guard::{RateBucket, RequestClass};
use model::ids;

use crate::share::DelayedRate;

/// Part of a link's capacity that forwarded requests may use. Together with the burst of
/// [`BURST_TIME`] every 100 ms window stays under 96% of the capacity; the rest is for packet
/// headers and the system's own traffic.
pub const USABLE_PART: f64 = 0.8;

/// Burst of a link, as the time in which its budget provides that many bytes.
pub const BURST_TIME: Duration = Duration::from_millis(20);

/// Part of the budget that bulk requests may use.
pub const BULK_PART: f64 = 0.7;

/// Byte budget of one direction of a link at one entry host.
#[derive(Debug, Default)]
pub struct DirectionLimiter {
    all: RateBucket,
    bulk: RateBucket,
}

impl DirectionLimiter {
    /// Debits `bytes`, but at most one burst, and returns the debited bytes. Bytes above that are
    /// charged as they are transferred. `rate` is in bytes a second.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry, if the budget is used up.
    fn try_take(
        &self,
        now: Instant,
        class: RequestClass,
        bytes: f64,
        rate: f64,
    ) -> Result<f64, Duration> {
        let burst = rate * BURST_TIME.as_secs_f64();
        let bytes = bytes.min(burst);
        if class != RequestClass::Bulk {
            self.all.try_take(now, bytes, rate, burst)?;
            return Ok(bytes);
        }
        let bulk_rate = rate * BULK_PART;
        let bytes = bytes.min(burst * BULK_PART);
        if self.all.backlog(now) > BURST_TIME.mul_f64(BULK_PART) {
            return Err(self.all.backlog(now));
        }
        self.bulk
            .try_take(now, bytes, bulk_rate, burst * BULK_PART)?;
        self.all.charge(now, bytes, rate);
        Ok(bytes)
    }

    /// Charges the bytes of a transfer and returns how long to delay it.
    fn charge(&self, now: Instant, class: RequestClass, bytes: f64, rate: f64) -> Duration {
        let backlog = self.all.charge(now, bytes, rate);
        if class != RequestClass::Bulk {
            return backlog.saturating_sub(BURST_TIME);
        }
        let bulk = self.bulk.charge(now, bytes, rate * BULK_PART);
        bulk.max(backlog)
            .saturating_sub(BURST_TIME.mul_f64(BULK_PART))
    }

    fn refund(&self, class: RequestClass, bytes: f64, rate: f64) {
        self.all.refund(bytes, rate);
        if class == RequestClass::Bulk {
            self.bulk.refund(bytes, rate * BULK_PART);
        }
    }
}

/// Limits the bytes that one entry host sends and receives over one link.
///
/// Only the entry hosts of the link's two regions use it, so the budget is divided equally between
/// them.
#[derive(Debug)]
pub struct LinkLimiter {
    /// Region at the other end of the link.
    pub region: ids::RegionName,
    rate: ArcSwap<DelayedRate>,
    up: DirectionLimiter,
    down: DirectionLimiter,
}

/// Bytes debited for one request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LinkDebit {
    /// Bytes towards the other region.
    pub up: f64,
    /// Bytes from the other region.
    pub down: f64,
}

impl LinkLimiter {
    /// Creates the limiter of a link with a budget of zero.
    pub fn new(now: Instant, region: &str) -> Self {
        Self {
            region: region.to_string(),
            rate: ArcSwap::from_pointee(DelayedRate::new(now, 0.0)),
            up: DirectionLimiter::default(),
            down: DirectionLimiter::default(),
        }
    }

    /// Debits the expected bytes of one request in both directions and returns the debited bytes.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry, if the budget is used up.
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
                self.up.refund(class, up, rate);
                Err(wait)
            }
        }
    }

    /// Charges bytes towards the other region and returns how long to delay them.
    pub fn charge_up(&self, now: Instant, class: RequestClass, bytes: f64) -> Duration {
        self.up.charge(now, class, bytes, self.rate(now))
    }

    /// Charges bytes from the other region and returns how long to delay the next read.
    pub fn charge_down(&self, now: Instant, class: RequestClass, bytes: f64) -> Duration {
        self.down.charge(now, class, bytes, self.rate(now))
    }

    /// Refunds debited bytes that were not used.
    pub fn refund(&self, now: Instant, class: RequestClass, debit: LinkDebit) {
        let rate = self.rate(now);
        self.up.refund(class, debit.up, rate);
        self.down.refund(class, debit.down, rate);
    }

    /// Returns the budget in bytes a second, for each direction.
    pub fn rate(&self, now: Instant) -> f64 {
        self.rate.load().get(now)
    }

    /// Sets the budget in bytes a second. A lower budget holds immediately, a higher one after
    /// `raise_delay`.
    pub fn set_rate(&self, now: Instant, rate: f64, raise_delay: Duration) {
        self.rate.rcu(|old| old.set(now, rate, raise_delay));
    }
}
