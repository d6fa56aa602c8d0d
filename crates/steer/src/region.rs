//! Headroom of one region.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use guard::{RequestClass, WindowLimit};
use model::ids;

use crate::meter::TimedValue;
use crate::place::PlaceGauge;
use crate::share::SettledRate;

/// What one entry host may send to one region.
///
/// Half of the region's cap is divided equally over the hosts. The other half follows the leases
/// of the region's places, scaled so that they stay under that half even when the caps of the
/// places together pass the cap of the region. So the sum over all hosts stays under the cap.
#[derive(Debug)]
pub struct RegionGauge {
    /// Region.
    pub region: ids::RegionName,
    share: ArcSwap<RegionShare>,
    /// Sum of the leases of the region's places, summed anew after [`LEASED_AGE`].
    leased: TimedValue,
    window: WindowLimit,
}

/// Age from which the sum of leases is summed anew. A lease that ended counts for that much
/// longer, well within the time for which another host waits before it uses a raised lease.
const LEASED_AGE: Duration = Duration::from_millis(10);

/// A region's share of one entry host.
#[derive(Debug, Clone)]
pub struct RegionShare {
    /// Fixed part, in requests a second.
    pub floor: SettledRate,
    /// Factor on the leases of the region's places, from 0 to 1.
    pub factor: SettledRate,
    /// Places of the region.
    pub places: Vec<Arc<PlaceGauge>>,
}

impl RegionShare {
    fn leased(&self, now: Instant) -> f64 {
        self.places.iter().map(|place| place.leased(now)).sum()
    }
}

impl RegionGauge {
    /// Creates the gauge of a region with a share of nothing.
    pub fn new(now: Instant, region: &str) -> Self {
        let share = RegionShare {
            floor: SettledRate::new(now, 0.0),
            factor: SettledRate::new(now, 0.0),
            places: Vec::new(),
        };
        Self {
            region: region.to_string(),
            share: ArcSwap::from_pointee(share),
            leased: TimedValue::new(now, 0.0),
            window: WindowLimit::default(),
        }
    }

    /// Takes room for one request; lower classes leave a part of the room to higher ones.
    ///
    /// # Errors
    ///
    /// Returns how long to wait before it is worth trying again.
    pub fn try_take(&self, now: Instant, class: RequestClass) -> Result<(), Duration> {
        let part = match class {
            RequestClass::Bulk => 0.7,
            RequestClass::Read => 0.9,
            RequestClass::Write => 1.0,
        };
        let rate = self.rate(now) * part;
        self.window.try_take(now, rate)
    }

    /// Gives back the room of a request that was not sent.
    pub fn give_back(&self, taken_at: Instant) {
        self.window.give_back(taken_at);
    }

    /// Returns the rate that the host may send, in requests a second.
    pub fn rate(&self, now: Instant) -> f64 {
        let share = self.share.load();
        let sum_anew = |_, age| (age >= LEASED_AGE).then(|| share.leased(now));
        let leased = match self.leased.update(now, sum_anew) {
            Ok(leased) | Err(leased) => leased,
        };
        share.floor.get(now) + share.factor.get(now) * leased
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
