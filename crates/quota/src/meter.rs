//! Rates of events.

use std::time::Duration;

/// Mean rate of events, in which the weight of an event falls exponentially with its age.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RateMeter {
    rate: f64,
    updated_at: Duration,
    /// Age at which the weight of an event has fallen to 37%.
    period: Duration,
}

impl RateMeter {
    pub(crate) fn new(now: Duration, period: Duration) -> Self {
        Self {
            rate: 0.0,
            updated_at: now,
            period,
        }
    }

    /// Records events that happen now.
    pub(crate) fn record(&mut self, now: Duration, events: f64) {
        self.rate = self.rate(now) + events / self.period.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    /// Records events that happened evenly over a time that ends now.
    pub(crate) fn record_over(&mut self, now: Duration, events: f64, time: Duration) {
        let (time, period) = (time.as_secs_f64(), self.period.as_secs_f64());
        let weight = if time > 0.0 {
            (1.0 - (-time / period).exp()) * period / time
        } else {
            1.0
        };
        self.record(now, events * weight);
    }

    /// Returns the rate in events a second.
    pub(crate) fn rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate * (-age / self.period.as_secs_f64()).exp()
    }
}
