//! Which hosts keep a key, and what a change of the list does.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::time::{Duration, Instant};

use claims::ring::KeeperRing;
use rstest::rstest;

const OVERLAP: Duration = Duration::from_secs(600);

fn ring(hosts: usize) -> KeeperRing {
    let mut ring = KeeperRing::new(Instant::now(), names(hosts), OVERLAP);
    ring.start_empty();
    ring
}

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
    let ring = ring(hosts);
    let groups = ring.groups(Instant::now(), &"key".to_string()).unwrap();
    assert_eq!(groups.len(), 1);
    assert_eq!(groups[0].len(), keepers);
}

#[test]
fn keys_spread_evenly_over_the_hosts() {
    let ring = ring(10);
    let now = Instant::now();
    let mut counts = std::collections::BTreeMap::new();
    for key in 0..10_000 {
        for keeper in ring.groups(now, &format!("key-{key}")).unwrap().remove(0) {
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
    let mut ring = ring(10);
    let old = ring.groups(now, &key).unwrap().remove(0);
    let without_first = names(10).into_iter().filter(|name| *name != old[0]);
    ring.set_hosts(now, without_first);
    let groups = ring.groups(now, &key).unwrap();
    assert_eq!(groups.len(), 2);
    assert_eq!(groups[1], old);
    assert!(!groups[0].contains(&old[0]));
    assert!(ring.hosts(now).contains(&old[0]));
    assert_eq!(ring.groups(now + OVERLAP, &key).unwrap().len(), 1);
}

#[test]
fn a_host_that_keeps_nothing_of_a_key_changes_nothing_by_leaving() {
    let now = Instant::now();
    let key = "key".to_string();
    let mut ring = ring(10);
    let old = ring.groups(now, &key).unwrap().remove(0);
    let other = names(10).into_iter().find(|name| !old.contains(name));
    let left = names(10)
        .into_iter()
        .filter(|name| Some(name) != other.as_ref());
    ring.set_hosts(now, left);
    assert_eq!(ring.groups(now, &key), Some(vec![old]));
}

#[test]
fn a_host_that_starts_claims_nothing_until_it_knows_the_former_lists() {
    let now = Instant::now();
    let key = "key".to_string();
    let mut old = ring(10);
    old.set_hosts(now, names(5));
    let mut started = KeeperRing::new(now, names(5), OVERLAP);
    assert_eq!(started.groups(now, &key), None);
    assert_eq!(started.lists(now), None);
    assert!(started.clone().groups(now + OVERLAP, &key).is_some());
    started.learn(now, old.lists(now).unwrap());
    assert_eq!(started.groups(now, &key), old.groups(now, &key));
    let later = now + OVERLAP;
    assert_eq!(started.groups(later, &key), old.groups(later, &key));
}
