//! Limits and measurements of one place.

use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use guard::WindowLimit;
use model::ids;

use crate::meter::RateMeter;
use crate::ramp::ShiftRamp;
use crate::share::PlaceShare;
use crate::spill::SpillController;

/// Limits and measurements of one place, that is one service in one availability zone.
///
/// Successive tables share the limiter, so that it outlives each table.
#[derive(Debug)]
pub struct PlaceLimiter {
    /// Service name.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    share: ArcSwap<PlaceShare>,
    window: WindowLimit,
    ramp: ShiftRamp,
    spill_controller: SpillController,
    demand: RateMeter,
}

impl PlaceLimiter {
    /// Creates the limiter of a place whose traffic is `rate`, in requests a second.
    pub fn new(now: Instant, service: &str, zone: &str, rate: f64) -> Self {
        Self {
            service: service.to_string(),
            zone: zone.to_string(),
            share: ArcSwap::from_pointee(PlaceShare::new(now)),
            window: WindowLimit::default(),
            ramp: ShiftRamp::new(now, rate),
            spill_controller: SpillController::new(now),
            demand: RateMeter::default(),
        }
    }

    /// Counts one request if the ramp and the share of the cap admit it. `max_growth` is the
    /// allowed growth of the traffic, in requests a second per second.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry, if the request exceeds a limit.
    pub fn try_take(&self, now: Instant, max_growth: f64) -> Result<(), Duration> {
        self.demand.add(now, 1.0);
        let share = self.share.load();
        let rate = share.rate(now);
        if rate <= 0.0 {
            return Err(WindowLimit::WINDOW);
        }
        if !share.is_retiring() {
            self.ramp.try_admit(now, max_growth)?;
        }
        let taken = self.window.try_take(now, rate);
        if taken.is_err() && !share.is_retiring() {
            self.ramp.refund(now);
        }
        taken
    }

    /// Refunds a request that was counted at `taken_at` and not sent.
    pub fn refund(&self, taken_at: Instant) {
        self.window.refund(taken_at);
        if !self.share.load().is_retiring() {
            self.ramp.refund(taken_at);
        }
    }

    /// Replaces the share by a function of it.
    pub fn change_share(&self, change: impl Fn(PlaceShare) -> PlaceShare) {
        self.share.rcu(|share| change(PlaceShare::clone(share)));
    }

    /// Returns this host's share of the place's cap.
    pub fn share(&self) -> PlaceShare {
        PlaceShare::clone(&self.share.load())
    }

    /// Returns the leased part of the share, in requests a second.
    pub fn leased(&self, now: Instant) -> f64 {
        self.share.load().leased(now)
    }

    /// Returns the ramp that limits the growth of the traffic.
    pub fn ramp(&self) -> &ShiftRamp {
        &self.ramp
    }

    /// Returns the controller that spills traffic to other places.
    pub fn spill_controller(&self) -> &SpillController {
        &self.spill_controller
    }

    /// Returns the demand: the rate of requests that this host tries to send, admitted or not, in
    /// requests a second.
    pub fn demand(&self, now: Instant) -> f64 {
        self.demand.rate(now)
    }
}
