//! Selection of the keepers of a key, and changes of the host list.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::time::{Duration, Instant};

use claims::selector::KeeperSelector;
use rstest::rstest;

const OVERLAP: Duration = Duration::from_secs(600);

fn selector(hosts: usize) -> KeeperSelector {
    let mut selector = KeeperSelector::new(Instant::now(), names(hosts), OVERLAP);
    selector.skip_recovery();
    selector
}

fn names(hosts: usize) -> Vec<String> {
    (1..=hosts)
        .map(|number| format!("entry-{number}"))
        .collect()
}

#[rstest]
#[case(0, 0)]
#[case(1, 1)]
#[case(2, 2)]
#[case(3, 3)]
#[case(10, 3)]
fn a_key_has_three_keepers_or_as_many_as_there_are_hosts(
    #[case] hosts: usize,
    #[case] keepers: usize,
) {
    let selector = selector(hosts);
    let groups = selector.groups(Instant::now(), &"key".to_string()).unwrap();
    assert_eq!(groups.len(), 1);
    assert_eq!(groups[0].len(), keepers);
}

#[test]
fn keys_spread_evenly_over_the_hosts() {
    let selector = selector(10);
    let now = Instant::now();
    let mut counts = std::collections::BTreeMap::new();
    for key in 0..10_000 {
        for keeper in selector
            .groups(now, &format!("key-{key}"))
            .unwrap()
            .remove(0)
        {
            *counts.entry(keeper).or_insert(0) += 1;
        }
    }
    assert_eq!(counts.len(), 10);
    assert!(counts.values().all(|count| (2700..3300).contains(count)));
}

#[test]
fn claims_need_old_and_new_keepers_during_the_overlap() {
    let now = Instant::now();
    let key = "key".to_string();
    let mut selector = selector(10);
    let old = selector.groups(now, &key).unwrap().remove(0);
    let without_first = names(10).into_iter().filter(|name| *name != old[0]);
    selector.set_hosts(now, without_first);
    let groups = selector.groups(now, &key).unwrap();
    assert_eq!(groups.len(), 2);
    assert_eq!(groups[1], old);
    assert!(!groups[0].contains(&old[0]));
    assert!(selector.hosts(now).contains(&old[0]));
    assert_eq!(selector.groups(now + OVERLAP, &key).unwrap().len(), 1);
}

#[test]
fn removing_a_host_leaves_the_keepers_of_other_keys_unchanged() {
    let now = Instant::now();
    let key = "key".to_string();
    let mut selector = selector(10);
    let old = selector.groups(now, &key).unwrap().remove(0);
    let other = names(10).into_iter().find(|name| !old.contains(name));
    let remaining = names(10)
        .into_iter()
        .filter(|name| Some(name) != other.as_ref());
    selector.set_hosts(now, remaining);
    assert_eq!(selector.groups(now, &key), Some(vec![old]));
}

#[test]
fn a_restarted_host_selects_no_keepers_until_it_knows_the_former_lists() {
    let now = Instant::now();
    let key = "key".to_string();
    let mut old = selector(10);
    old.set_hosts(now, names(5));
    let mut restarted = KeeperSelector::new(now, names(5), OVERLAP);
    assert_eq!(restarted.groups(now, &key), None);
    assert_eq!(restarted.lists(now), None);
    assert!(restarted.clone().groups(now + OVERLAP, &key).is_some());
    restarted.add_lists(now, old.lists(now).unwrap());
    assert_eq!(restarted.groups(now, &key), old.groups(now, &key));
    let later = now + OVERLAP;
    assert_eq!(restarted.groups(later, &key), old.groups(later, &key));
}
