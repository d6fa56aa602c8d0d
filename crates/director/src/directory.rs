//! Selection of the entry hosts whose addresses a client receives.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use fleet::ids;

use crate::hosts::HostList;

/// Time for which a client may cache an answer. It is short because a stopping host is removed from
/// the answers before it refuses clients.
pub const TTL: Duration = Duration::from_secs(1);

/// Fewest hosts in an answer where that many are ready, because one may fail without notice.
const MIN_HOSTS: usize = 2;

/// Returns the addresses of the ready hosts in the client's zone. Where these are fewer than
/// two, the hosts of the region are added, and then those of other regions.
pub fn nearest(
    hosts: &HostList,
    zone: &str,
    region: &str,
    regions: &BTreeMap<ids::ZoneName, ids::RegionName>,
) -> Vec<SocketAddr> {
    let distance = |host_zone: &str| {
        let own = regions.get(host_zone).map_or("", String::as_str);
        match (host_zone == zone, own == region) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        }
    };
    let mut by_distance: [Vec<SocketAddr>; 3] = Default::default();
    for (host_zone, addresses) in hosts.ready() {
        by_distance[distance(host_zone)].extend(addresses);
    }
    let mut chosen = Vec::new();
    for addresses in by_distance {
        if chosen.len() >= MIN_HOSTS {
            break;
        }
        chosen.extend(addresses);
    }
    chosen
}
