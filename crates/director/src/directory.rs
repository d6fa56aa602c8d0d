//! Which entry hosts a client may use.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use fleet::ids;

use crate::message::HostStatus;

/// How long a client may keep an answer: short, as a host that stops leaves the answers first.
pub const TTL: Duration = Duration::from_secs(1);

/// Fewest hosts in an answer where there are as many: one may be lost without notice.
const MIN_HOSTS: usize = 2;

/// Returns the hosts that a client may use: those of its zone, and of its region and beyond where
/// those are too few.
pub fn nearest(
    hosts: &[HostStatus],
    zone: &str,
    region: &str,
    regions: &BTreeMap<ids::ZoneName, ids::RegionName>,
) -> Vec<SocketAddr> {
    let ready = hosts.iter().filter(|host| host.ready);
    let distance = |host: &HostStatus| {
        let own = regions.get(&host.zone).map_or("", String::as_str);
        match (host.zone == zone, own == region) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        }
    };
    let mut rings: [Vec<SocketAddr>; 3] = Default::default();
    for host in ready {
        rings[distance(host)].push(host.address);
    }
    let mut chosen = Vec::new();
    for ring in rings {
        if chosen.len() >= MIN_HOSTS {
            break;
        }
        chosen.extend(ring);
    }
    chosen
}
