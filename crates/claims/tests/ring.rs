//! Which hosts keep a key, and what a change of the list does.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::time::{Duration, Instant};

use claims::ring::KeeperRing;
use rstest::rstest;

const OVERLAP: Duration = Duration::from_secs(600);

fn names(hosts: usize) -> Vec<String> {
    (1..=hosts).map(|n| format!("entry-{n}")).collect()
}

#[rstest]
#[case(0, 0)]
#[case(1, 1)]
#[case(2, 2)]
#[case(3, 3)]
#[case(10, 3)]
fn a_key_has_three_keepers_or_all_hosts(#[case] hosts: usize, #[case] keepers: usize) {
    let ring = KeeperRing::new(names(hosts), OVERLAP);
    let groups = ring.groups(Instant::now(), &"key".to_string());
    assert_eq!(groups.len(), 1);
    assert_eq!(groups[0].len(), keepers);
}

#[test]
fn keys_spread_evenly_over_the_hosts() {
    let ring = KeeperRing::new(names(10), OVERLAP);
    let now = Instant::now();
    let mut counts = std::collections::BTreeMap::new();
    for key in 0..10_000 {
        for keeper in ring.groups(now, &format!("key-{key}")).remove(0) {
            *counts.entry(keeper).or_insert(0) += 1;
        }
    }
    assert_eq!(counts.len(), 10);
    assert!(counts.values().all(|count| (2700..3300).contains(count)));
}

#[test]
fn old_and_new_keepers_both_decide_during_the_overlap() {
    let now = Instant::now();
    let key = "key".to_string();
    let mut ring = KeeperRing::new(names(10), OVERLAP);
    let old = ring.groups(now, &key).remove(0);
    let without_first = names(10).into_iter().filter(|name| *name != old[0]);
    ring.set_hosts(now, without_first);
    let groups = ring.groups(now, &key);
    assert_eq!(groups.len(), 2);
    assert_eq!(groups[1], old);
    assert!(!groups[0].contains(&old[0]));
    assert!(ring.hosts(now).contains(&old[0]));
    assert_eq!(ring.groups(now + OVERLAP, &key).len(), 1);
}

#[test]
fn a_host_that_keeps_nothing_of_a_key_changes_nothing_by_leaving() {
    let now = Instant::now();
    let key = "key".to_string();
    let mut ring = KeeperRing::new(names(10), OVERLAP);
    let old = ring.groups(now, &key).remove(0);
    let other = names(10).into_iter().find(|name| !old.contains(name));
    let left = names(10)
        .into_iter()
        .filter(|name| Some(name) != other.as_ref());
    ring.set_hosts(now, left);
    assert_eq!(ring.groups(now, &key), vec![old]);
}
