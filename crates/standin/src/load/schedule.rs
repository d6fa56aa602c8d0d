//! The schedule of requests in a phase, which is the same for the same seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::load::deployment::Deployment;

/// A scheduled request.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedRequest {
    /// Time since the start of the phase.
    pub at: Duration,
    /// Index of the service in the deployment.
    pub service: usize,
    /// Index of the caller's zone in [`Deployment::zones`].
    pub zone: usize,
}

/// Schedules the requests of a phase as Poisson arrivals. The `load` is the offered load relative
/// to the capacity of all backend servers.
pub fn plan(
    deployment: &Deployment,
    load: f64,
    length: Duration,
    seed: u64,
) -> Vec<PlannedRequest> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let zones = deployment.zones().len();
    let mut requests = Vec::new();
    for (service, model) in deployment.services.iter().enumerate() {
        let rate = deployment.place_capacity(model) * zones as f64 * load;
        let mut at = 0.0;
        loop {
            // The times between Poisson arrivals are exponentially distributed.
            at -= (1.0 - rng.random::<f64>()).ln() / rate;
            if at >= length.as_secs_f64() {
                break;
            }
            requests.push(PlannedRequest {
                at: Duration::from_secs_f64(at),
                service,
                zone: rng.random_range(0..zones),
            });
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}
