//! Simulated processing times and network delays.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::Rng;

/// Smallest and greatest factor between the processing time of one request and the mean.
const JITTER_RANGE: (f64, f64) = (0.7, 1.3);

/// Capacity and timing of a stand-in backend server.
#[derive(Debug, Clone)]
pub struct WorkProfile {
    /// Requests that the server processes concurrently.
    pub slots: u32,
    /// Requests that the server queues for a slot.
    pub queue: u32,
    /// Mean processing time of a GET.
    pub read_time: Duration,
    /// Mean processing time of a POST.
    pub write_time: Duration,
    /// Mean processing time of a PUT.
    pub upload_time: Duration,
    /// Length of an answer's body, in bytes.
    pub answer_bytes: u32,
    /// Warm-up time from the first request to full speed.
    pub cold_time: Duration,
    /// Factor by which processing times are longer at the start of the warm-up.
    pub cold_factor: u32,
    /// Delay before a new connection is served.
    pub connection_time: Duration,
    /// One-way delay between zones of a region.
    pub zone_delay: Duration,
    /// One-way delay between regions.
    pub region_delay: Duration,
}

impl WorkProfile {
    /// Returns a random processing time for a request that starts `now` on a server whose first
    /// request started at `first_request`.
    pub fn processing_time(
        &self,
        method: &http::Method,
        first_request: Instant,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Duration {
        let mean = match *method {
            http::Method::POST => self.write_time,
            http::Method::PUT => self.upload_time,
            _ => self.read_time,
        };
        let jitter = rng.random_range(JITTER_RANGE.0..JITTER_RANGE.1);
        mean.mul_f64(jitter * self.slowdown(now.saturating_duration_since(first_request)))
    }

    /// Returns the factor by which processing times are longer at a time since the first request.
    /// It falls linearly from `cold_factor` to 1 during `cold_time`.
    fn slowdown(&self, since_first_request: Duration) -> f64 {
        let warm_up_progress =
            (since_first_request.as_secs_f64() / self.cold_time.as_secs_f64()).min(1.0);
        1.0 + (f64::from(self.cold_factor) - 1.0) * (1.0 - warm_up_progress)
    }

    /// Returns the one-way network delay between two zones; zero if the caller's zone is unknown.
    pub fn network_delay(&self, from: &str, to: &str) -> Duration {
        if from.is_empty() || from == to {
            return Duration::ZERO;
        }
        if region_of(from) == region_of(to) {
            return self.zone_delay;
        }
        self.region_delay
    }
}

/// Returns the region of a zone, whose name has the form `REGION-LETTER`.
pub fn region_of(zone: &str) -> &str {
    zone.rsplit_once('-').map_or(zone, |(region, _)| region)
}
