//! Bounds and the place of the host.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::ids;

/// What a balancer is told at its start.
#[derive(Debug, Clone)]
pub struct BalanceSettings {
    /// Name of this entry host.
    pub host: String,
    /// Its availability zone.
    pub zone: ids::ZoneName,
    /// Region of each availability zone.
    pub regions: BTreeMap<ids::ZoneName, ids::RegionName>,
    /// Second attempts for each request that all entry hosts together may send to a service.
    pub retry_ratio: f64,
    /// Second attempts beyond those that all entry hosts together may send in one window.
    pub retry_slack: f64,
    /// Factor by which the requests to a cold backend server may exceed what it bears.
    pub cold_factor: f64,
    /// Largest share of a region's requests that may change the region where they run, from one
    /// window of [`SHIFT_WINDOW`] to the next.
    pub max_shift: f64,
}

/// Window over which the share of moved requests is bounded.
pub const SHIFT_WINDOW: Duration = Duration::from_secs(2);

impl BalanceSettings {
    /// Returns the region of a zone; a zone that isn't known is a region of its own.
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.regions.get(zone).map_or(zone, String::as_str)
    }
}
