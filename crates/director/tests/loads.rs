//! Mean loads of backend servers over the readings of all entry hosts.
#![allow(missing_docs, clippy::unwrap_used, clippy::float_cmp)]

use std::time::{Duration, Instant};

use director::loads::LoadTable;
use director::message::{LoadReading, LoadVector};
use fleet::ids::ServerId;

const REVISION: u64 = 7;

fn ids() -> Vec<ServerId> {
    ["s1", "s2", "s3"].map(str::to_string).to_vec()
}

fn reading(server_index: u32, requests: u32) -> LoadReading {
    LoadReading {
        server_index,
        requests,
    }
}

fn means(table: &LoadTable, now: Instant, ids: &[&ServerId]) -> Vec<Option<f64>> {
    table.vector(now, REVISION, ids).means().collect()
}

#[test]
fn the_first_reading_sets_the_mean_and_later_ones_move_it() {
    let (now, ids) = (Instant::now(), ids());
    let ids: Vec<_> = ids.iter().collect();
    let mut table = LoadTable::default();
    table.record_host(now, &ids, &[reading(1, 4)]);
    assert_eq!(means(&table, now, &ids), [None, Some(4.0), None]);
    table.record_host(now, &ids, &[reading(1, 0)]);
    assert_eq!(means(&table, now, &ids), [None, Some(3.0), None]);
}

#[test]
fn replicas_report_each_reading_once() {
    let (now, ids) = (Instant::now(), ids());
    let ids: Vec<_> = ids.iter().collect();
    let (mut here, mut there) = (LoadTable::default(), LoadTable::default());
    there.record_host(now, &ids, &[reading(0, 2), reading(2, 6), reading(2, 8)]);
    here.merge_sums(now, &ids, &there.take_sums(now, &ids));
    assert_eq!(means(&here, now, &ids), [Some(2.0), None, Some(7.0)]);
    assert!(there.take_sums(now, &ids).is_empty());
}

#[test]
fn a_stale_mean_is_unknown_and_replaced_by_the_next_reading() {
    let (now, ids) = (Instant::now(), ids());
    let ids: Vec<_> = ids.iter().collect();
    let mut table = LoadTable::default();
    table.record_host(now, &ids, &[reading(0, 9)]);
    let later = now + Duration::from_secs(2);
    assert_eq!(means(&table, later, &ids), [None, None, None]);
    table.record_host(later, &ids, &[reading(0, 1)]);
    assert_eq!(means(&table, later, &ids), [Some(1.0), None, None]);
}

/// An entry host of another build may send an index that the replica doesn't have.
#[test]
fn a_reading_with_an_unknown_index_is_ignored() {
    let (now, ids) = (Instant::now(), ids());
    let ids: Vec<_> = ids.iter().collect();
    let mut table = LoadTable::default();
    table.record_host(now, &ids, &[reading(9, 2)]);
    assert_eq!(means(&table, now, &ids), [None, None, None]);
}

#[test]
fn a_load_above_the_range_of_a_vector_is_clamped() {
    let vector = LoadVector::new(REVISION, [Some(1_000.0), Some(0.5), None].into_iter());
    let means: Vec<_> = vector.means().collect();
    assert_eq!(means, [Some(31.75), Some(0.5), None]);
}
