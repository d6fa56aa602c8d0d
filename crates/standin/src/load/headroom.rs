//! Peak load relative to the caps, in windows of 100 ms.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::backend::request_counts::{WindowCount, WINDOW};
use crate::backend::server::ServerStatus;
use crate::backend::work;
use crate::load::deployment::Deployment;

/// Peak load relative to the caps; 1 is exactly the cap.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct HeadroomReport {
    /// Peak over all places.
    pub place: f64,
    /// Peak over all regions.
    pub region: f64,
    /// Peak over all links and directions.
    pub link: f64,
    /// Peak over all places, in windows of one second.
    pub place_second: f64,
    /// Place with the peak in `place`, as `service/zone`.
    pub place_name: String,
}

/// The servers and traffic counts of one stand-in process.
#[derive(Debug, Clone)]
pub struct ProcessCounts {
    /// Status of the servers, ordered by index.
    pub servers: Vec<ServerStatus>,
    /// Traffic of the servers by time window.
    pub windows: Vec<WindowCount>,
}

/// Time windows of [`WINDOW`] per second.
const WINDOWS_PER_SECOND: u64 = 10;

impl HeadroomReport {
    /// Computes the peaks from the counts of all stand-in processes.
    pub fn new(deployment: &Deployment, counts: &[ProcessCounts]) -> Self {
        let mut places: BTreeMap<(String, u64), u64> = BTreeMap::new();
        let mut seconds: BTreeMap<(String, u64), u64> = BTreeMap::new();
        let mut regions: BTreeMap<(String, u64), u64> = BTreeMap::new();
        let mut links: BTreeMap<(String, u64), u64> = BTreeMap::new();
        for process in counts {
            for count in &process.windows {
                let Some(server) = process.servers.get(count.server) else {
                    continue;
                };
                let place = format!("{}/{}", server.service, server.zone);
                let second = count.window / WINDOWS_PER_SECOND;
                let to = work::region_of(&server.zone).to_string();
                let from = work::region_of(&count.from).to_string();
                *places.entry((place.clone(), count.window)).or_default() += count.requests;
                *seconds.entry((place, second)).or_default() += count.requests;
                *regions.entry((to.clone(), count.window)).or_default() += count.requests;
                if !from.is_empty() && from != to {
                    let forward = (format!("{from}>{to}"), count.window);
                    *links.entry(forward).or_default() += count.bytes_in;
                    let backward = (format!("{to}>{from}"), count.window);
                    *links.entry(backward).or_default() += count.bytes_out;
                }
            }
        }
        let window = WINDOW.as_secs_f64();
        let link_bytes = deployment.link_mbits * 1e6 / 8.0 * window;
        let (place, place_name) = peak_place(deployment, &places, window);
        Self {
            place,
            region: peak_count(&regions) / (deployment.region_capacity() * window),
            link: peak_count(&links) / link_bytes,
            place_second: peak_place(deployment, &seconds, 1.0).0,
            place_name,
        }
    }
}

fn peak_count(counts: &BTreeMap<(String, u64), u64>) -> f64 {
    counts.values().max().copied().unwrap_or(0) as f64
}

/// Returns the peak load of a place relative to its cap in windows of the given length in seconds,
/// and the name of that place.
fn peak_place(
    deployment: &Deployment,
    counts: &BTreeMap<(String, u64), u64>,
    window_seconds: f64,
) -> (f64, String) {
    let mut peak = (0.0, String::new());
    for ((place, _), count) in counts {
        let service = place.split('/').next().unwrap_or_default();
        let model = deployment.services.iter().find(|s| s.name == service);
        let Some(model) = model else {
            continue;
        };
        let load = *count as f64 / (deployment.place_capacity(model) * window_seconds);
        if load > peak.0 {
            peak = (load, place.clone());
        }
    }
    peak
}
