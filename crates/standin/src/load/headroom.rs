//! Greatest load over cap, in windows of 100 ms.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::backend::run_log::{WindowCount, WINDOW};
use crate::backend::server::ServerWord;
use crate::backend::work;
use crate::load::deployment::Deployment;

/// Greatest load over cap; 1 is at the cap.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct HeadroomReport {
    /// Greatest over all places.
    pub place: f64,
    /// Greatest over all regions.
    pub region: f64,
    /// Greatest over all links and directions.
    pub link: f64,
    /// Greatest over all places, in windows of a second.
    pub place_second: f64,
    /// Where and when the place's greatest was, as `service/zone`.
    pub place_name: String,
}

/// Counts of one stand-in process.
#[derive(Debug, Clone)]
pub struct ProcessCounts {
    /// Its servers.
    pub servers: Vec<ServerWord>,
    /// Their windows.
    pub windows: Vec<WindowCount>,
}

/// Windows of a second.
const WINDOWS_PER_SECOND: u64 = 10;

impl HeadroomReport {
    /// Computes the report from the counts of all processes.
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
                let to = work::region(&server.zone).to_string();
                let from = work::region(&count.from).to_string();
                *places.entry((place.clone(), count.window)).or_default() += count.requests;
                *seconds.entry((place, second)).or_default() += count.requests;
                *regions.entry((to.clone(), count.window)).or_default() += count.requests;
                if !from.is_empty() && from != to {
                    let there = (format!("{from}>{to}"), count.window);
                    *links.entry(there).or_default() += count.bytes_in;
                    let back = (format!("{to}>{from}"), count.window);
                    *links.entry(back).or_default() += count.bytes_out;
                }
            }
        }
        let window = WINDOW.as_secs_f64();
        let link_bytes = deployment.link_mbits * 1e6 / 8.0 * window;
        let (place, place_name) = greatest_place(deployment, &places, window);
        Self {
            place,
            region: greatest(&regions) / (deployment.region_rate() * window),
            link: greatest(&links) / link_bytes,
            place_second: greatest_place(deployment, &seconds, 1.0).0,
            place_name,
        }
    }
}

fn greatest(counts: &BTreeMap<(String, u64), u64>) -> f64 {
    counts.values().max().copied().unwrap_or(0) as f64
}

/// Returns the greatest load over cap of a place, and its name.
fn greatest_place(
    deployment: &Deployment,
    counts: &BTreeMap<(String, u64), u64>,
    seconds: f64,
) -> (f64, String) {
    let mut greatest = (0.0, String::new());
    for ((place, _), count) in counts {
        let service = place.split('/').next().unwrap_or_default();
        let model = deployment.services.iter().find(|s| s.name == service);
        let Some(model) = model else {
            continue;
        };
        let load = *count as f64 / (deployment.place_rate(model) * seconds);
        if load > greatest.0 {
            greatest = (load, place.clone());
        }
    }
    greatest
}
