//! Limit on the traffic to one region.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use guard::{RequestClass, WindowLimit};
use model::ids;

use crate::meter::TimedValue;
use crate::place::PlaceLimiter;
use crate::share::DelayedRate;

/// Limits the requests of one entry host to one region.
///
/// Half of the region's cap is divided equally between the hosts. The other half follows the
/// leases of the region's places, scaled down if the caps of the places add up to more than the cap
/// of the region. So the sum over all hosts stays within the region's cap.
#[derive(Debug)]
pub struct RegionLimiter {
    /// Region.
    pub region: ids::RegionName,
    share: ArcSwap<RegionShare>,
    /// Cached sum of the leases of the region's places.
    leased: TimedValue,
    window: WindowLimit,
}

/// Age at which the cached sum of leases is refreshed. An expired lease counts for up to this much
/// longer, well within the delay with which another host uses a raised lease.
const MAX_LEASED_AGE: Duration = Duration::from_millis(10);

/// The share of one entry host in the cap of one region.
#[derive(Debug, Clone)]
pub struct RegionShare {
    /// Fixed share, in requests a second.
    pub fixed: DelayedRate,
    /// Factor on the leases of the region's places, from 0 to 1.
    pub lease_factor: DelayedRate,
    /// Places of the region.
    pub places: Vec<Arc<PlaceLimiter>>,
}

impl RegionShare {
    fn leased(&self, now: Instant) -> f64 {
        self.places.iter().map(|place| place.leased(now)).sum()
    }
}

impl RegionLimiter {
    /// Creates the limiter of a region with an empty share.
    pub fn new(now: Instant, region: &str) -> Self {
        let share = RegionShare {
            fixed: DelayedRate::new(now, 0.0),
            lease_factor: DelayedRate::new(now, 0.0),
            places: Vec::new(),
        };
        Self {
            region: region.to_string(),
            share: ArcSwap::from_pointee(share),
            leased: TimedValue::new(now, 0.0),
            window: WindowLimit::default(),
        }
    }

    /// Counts one request if the limit of its class admits it. Bulk may use 70% and reads 90% of
    /// the rate; the rest is reserved for higher classes.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry, if the request exceeds the limit.
    pub fn try_take(&self, now: Instant, class: RequestClass) -> Result<(), Duration> {
        let part = match class {
            RequestClass::Bulk => 0.7,
            RequestClass::Read => 0.9,
            RequestClass::Write => 1.0,
        };
        let rate = self.rate(now) * part;
        self.window.try_take(now, rate)
    }

    /// Refunds a request that was counted at `taken_at` and not sent.
    pub fn refund(&self, taken_at: Instant) {
        self.window.refund(taken_at);
    }

    /// Returns the rate limit of the host, in requests a second.
    pub fn rate(&self, now: Instant) -> f64 {
        let share = self.share.load();
        let refresh = |_, age| (age >= MAX_LEASED_AGE).then(|| share.leased(now));
        let leased = match self.leased.update(now, refresh) {
            Ok(leased) | Err(leased) => leased,
        };
        share.fixed.get(now) + share.lease_factor.get(now) * leased
    }

    /// Replaces the share.
    pub fn set_share(&self, now: Instant, share: RegionShare) {
        let leased = share.leased(now);
        self.share.store(Arc::new(share));
        let _leased = self.leased.update(now, |_, _| Some(leased));
    }

    /// Returns the share.
    pub fn share(&self) -> Arc<RegionShare> {
        self.share.load_full()
    }
}
