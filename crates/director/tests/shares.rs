//! Mean spill shares over the entry hosts of a region.
#![allow(missing_docs, clippy::unwrap_used, clippy::float_cmp)]

use std::time::{Duration, Instant};

use director::message::SpillShare;
use director::shares::ShareTable;

const SERVICE: &str = "reads";

fn share(share: f32) -> Vec<SpillShare> {
    vec![SpillShare {
        service: SERVICE.to_string(),
        share,
    }]
}

fn mean(table: &ShareTable, now: Instant, region: &str) -> Option<f32> {
    let means = table.means(now);
    means.get(region)?.first().map(|mean| mean.share)
}

#[test]
fn the_mean_covers_the_hosts_of_all_replicas() {
    let now = Instant::now();
    let (mut here, mut there) = (ShareTable::default(), ShareTable::default());
    here.record_host(now, "host-1", "east", share(0.1));
    here.record_host(now, "host-2", "east", share(0.2));
    here.record_host(now, "host-3", "west", share(0.9));
    there.record_host(now, "host-4", "east", share(0.6));
    here.record_replica(now, 2, there.report(now));
    assert!((mean(&here, now, "east").unwrap() - 0.3).abs() < 1e-6);
    assert_eq!(mean(&here, now, "west"), Some(0.9));
    assert_eq!(mean(&here, now, "south"), None);
}

#[test]
fn the_share_of_a_silent_host_becomes_stale() {
    let now = Instant::now();
    let mut table = ShareTable::default();
    table.record_host(now, "host-1", "east", share(0.1));
    let later = now + Duration::from_secs(2);
    table.record_host(later, "host-2", "east", share(0.5));
    assert_eq!(mean(&table, later, "east"), Some(0.5));
    assert_eq!(table.report(later).first().unwrap().hosts, 1);
}

#[test]
fn the_shares_of_a_silent_replica_become_stale() {
    let now = Instant::now();
    let (mut here, mut there) = (ShareTable::default(), ShareTable::default());
    there.record_host(now, "host-4", "east", share(0.6));
    here.record_replica(now, 2, there.report(now));
    assert_eq!(mean(&here, now + Duration::from_secs(2), "east"), None);
}
