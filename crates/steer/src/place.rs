//! Allowances and gauges of one place.

use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use guard::WindowLimit;
use model::ids;

use crate::damper::SpillDamper;
use crate::meter::RateMeter;
use crate::ramp::ShiftRamp;
use crate::share::PlaceShare;

/// Gauges of one place, one service in one availability zone; they outlive each table.
#[derive(Debug)]
pub struct PlaceGauge {
    /// Service.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    share: ArcSwap<PlaceShare>,
    window: WindowLimit,
    ramp: ShiftRamp,
    damper: SpillDamper,
    demand: RateMeter,
}

impl PlaceGauge {
    /// Creates the gauges of a place whose traffic was at a rate, in requests a second.
    pub fn new(now: Instant, service: &str, zone: &str, rate: f64) -> Self {
        Self {
            service: service.to_string(),
            zone: zone.to_string(),
            share: ArcSwap::from_pointee(PlaceShare::new(now)),
            window: WindowLimit::default(),
            ramp: ShiftRamp::new(now, rate),
            damper: SpillDamper::new(now),
            demand: RateMeter::default(),
        }
    }

    /// Takes room for one request under the ramp and the cap share.
    ///
    /// # Errors
    ///
    /// Returns how long to wait before it is worth trying again.
    pub fn try_take(&self, now: Instant, pace: f64) -> Result<(), Duration> {
        self.demand.add(now, 1.0);
        let share = self.share.load();
        let rate = share.rate(now);
        if rate <= 0.0 {
            return Err(WindowLimit::WINDOW);
        }
        if !share.is_retiring() {
            self.ramp.try_pass(now, pace)?;
        }
        let taken = self.window.try_take(now, rate);
        if taken.is_err() && !share.is_retiring() {
            self.ramp.give_back(now);
        }
        taken
    }

    /// Gives back the room of a request that was not sent.
    pub fn give_back(&self, taken_at: Instant) {
        self.window.give_back(taken_at);
        if !self.share.load().is_retiring() {
            self.ramp.give_back(taken_at);
        }
    }

    /// Replaces the share by a function of it.
    pub fn change_share(&self, change: impl Fn(PlaceShare) -> PlaceShare) {
        self.share.rcu(|share| change(PlaceShare::clone(share)));
    }

    /// Returns the share of the place's cap.
    pub fn share(&self) -> PlaceShare {
        PlaceShare::clone(&self.share.load())
    }

    /// Returns the leased part of the share, in requests a second.
    pub fn leased(&self, now: Instant) -> f64 {
        self.share.load().leased(now)
    }

    /// Returns the ramp.
    pub fn ramp(&self) -> &ShiftRamp {
        &self.ramp
    }

    /// Returns the damper of measured pressure.
    pub fn damper(&self) -> &SpillDamper {
        &self.damper
    }

    /// Returns the rate of requests that this host would send, in requests a second.
    pub fn demand(&self, now: Instant) -> f64 {
        self.demand.rate(now)
    }
}
