//! Limits, and the location of the host.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::ids;

/// Settings of a balancer.
#[derive(Debug, Clone)]
pub struct BalanceSettings {
    /// Name of this entry host.
    pub host: String,
    /// Availability zone of this entry host.
    pub zone: ids::ZoneName,
    /// Region of each availability zone.
    pub regions: BTreeMap<ids::ZoneName, ids::RegionName>,
    /// Retries per client request that all entry hosts together may send to a service. Hedges count
    /// as retries.
    pub retry_ratio: f64,
    /// Retries in excess of the ratio that all entry hosts together may send to a service in one
    /// window.
    pub retry_slack: f64,
    /// Factor by which the request rate to a cold backend server may exceed the cold rate of its
    /// service.
    pub cold_factor: f64,
    /// Largest share of a region's requests that may change the region where they run, from one
    /// window of [`SHIFT_WINDOW`] to the next.
    pub max_shift: f64,
}

/// Window over which the share of requests that change their region is limited.
pub const SHIFT_WINDOW: Duration = Duration::from_secs(2);

impl BalanceSettings {
    /// Returns the region of a zone; an unknown zone is a region of its own.
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.regions.get(zone).map_or(zone, String::as_str)
    }
}
