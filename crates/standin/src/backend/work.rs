//! How long a server works on a request.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::Rng;

/// Least and greatest part of the mean time that a piece of work takes.
const JITTER: (f64, f64) = (0.7, 1.3);

/// How a server works.
#[derive(Debug, Clone)]
pub struct WorkProfile {
    /// Requests worked on at once.
    pub slots: u32,
    /// Requests that may wait for a slot.
    pub queue: u32,
    /// Mean time of a GET.
    pub read_time: Duration,
    /// Mean time of a POST.
    pub write_time: Duration,
    /// Mean time of a PUT.
    pub upload_time: Duration,
    /// Bytes of an answer's body.
    pub answer_bytes: u32,
    /// Time from the first request to full speed.
    pub cold_time: Duration,
    /// How many times slower a cold server works.
    pub cold_factor: u32,
    /// Cost of a new connection.
    pub connection_time: Duration,
    /// One-way delay between zones of a region.
    pub zone_delay: Duration,
    /// One-way delay between regions.
    pub region_delay: Duration,
}

impl WorkProfile {
    /// Returns the time of one piece of work on a server whose first request came at `first`.
    pub fn work_time(
        &self,
        method: &http::Method,
        first: Instant,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Duration {
        let mean = match *method {
            http::Method::POST => self.write_time,
            http::Method::PUT => self.upload_time,
            _ => self.read_time,
        };
        let jitter = rng.random_range(JITTER.0..JITTER.1);
        mean.mul_f64(jitter * self.slowness(now.saturating_duration_since(first)))
    }

    /// Returns how many times slower a server works at an age since its first request.
    fn slowness(&self, age: Duration) -> f64 {
        let warmth = (age.as_secs_f64() / self.cold_time.as_secs_f64()).min(1.0);
        1.0 + (f64::from(self.cold_factor) - 1.0) * (1.0 - warmth)
    }

    /// Returns the one-way delay between two zones.
    pub fn delay(&self, from: &str, to: &str) -> Duration {
        if from.is_empty() || from == to {
            return Duration::ZERO;
        }
        if region(from) == region(to) {
            return self.zone_delay;
        }
        self.region_delay
    }
}

/// Returns the region of a zone that is named `region-letter`.
pub fn region(zone: &str) -> &str {
    zone.rsplit_once('-').map_or(zone, |(region, _)| region)
}
