//! Which request is sent when: the same seed gives the same sequence.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::load::deployment::Deployment;

/// A request to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedRequest {
    /// Time from the start of the phase.
    pub at: Duration,
    /// Index of the service.
    pub service: usize,
    /// Index of the caller's zone.
    pub zone: usize,
}

/// Plans the requests of a phase: independent arrivals at the given load over capacity.
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
        let rate = deployment.place_rate(model) * zones as f64 * load;
        let mut at = 0.0;
        loop {
            // The gaps of independent arrivals are exponential.
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
