//! Lists of entry hosts: who is alive, and the differences that replicas send.
#![allow(missing_docs, clippy::unwrap_used)]

use std::time::{Duration, Instant};

use director::hosts::{self, HostLists, HostsByName};
use director::liveness::{LivenessTable, HOST_TIMEOUT};
use director::message::{HostStatus, HostsUpdate};
use rstest::rstest;

fn status(name: &str, ready: bool) -> HostStatus {
    HostStatus {
        name: name.to_string(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "east-a".to_string(),
        ready,
    }
}

fn list(names: &[&str]) -> HostsByName {
    let hosts = names
        .iter()
        .map(|name| (name.to_string(), status(name, true)));
    hosts.collect()
}

#[rstest]
#[case::added(&["a"], &["a", "b"], 1)]
#[case::removed(&["a", "b"], &["b"], 1)]
#[case::replaced(&["a", "b"], &["b", "c"], 2)]
fn a_former_list_is_updated_by_the_differences(
    #[case] former: &[&str],
    #[case] current: &[&str],
    #[case] entries: usize,
) {
    let mut lists = HostLists::default();
    lists.set(list(former));
    let mut copy = list(former);
    let digest = hosts::digest(&copy);
    lists.set(list(current));
    let update = lists.update_since(digest);
    match &update {
        HostsUpdate::Changes { gone, changed } => assert_eq!(gone.len() + changed.len(), entries),
        other => panic!("{other:?}"),
    }
    assert!(update.apply(&mut copy));
    assert_eq!(copy, list(current));
    assert_eq!(hosts::digest(&copy), lists.current().digest());
    let update = lists.update_since(lists.current().digest());
    assert_eq!(update, HostsUpdate::Current);
}

#[test]
fn a_changed_status_is_a_difference() {
    let mut lists = HostLists::default();
    lists.set(list(&["a", "b"]));
    let digest = lists.current().digest();
    let mut stopping = list(&["a", "b"]);
    stopping.insert("b".to_string(), status("b", false));
    lists.set(stopping);
    let expected = HostsUpdate::Changes {
        gone: Vec::new(),
        changed: vec![status("b", false)],
    };
    assert_eq!(lists.update_since(digest), expected);
}

#[test]
fn an_unknown_list_is_replaced_as_a_whole() {
    let mut lists = HostLists::default();
    lists.set(list(&["a", "b"]));
    for digest in [0, 7] {
        let mut copy = list(&["z"]);
        assert!(lists.update_since(digest).apply(&mut copy));
        assert_eq!(copy, list(&["a", "b"]));
    }
}

/// Only changes build the list anew: a call that says nothing new costs no more with more hosts.
#[test]
fn the_list_of_hosts_changes_by_status_silence_and_return_only() {
    let start = Instant::now();
    let mut table = LivenessTable::new();
    let names = |table: &mut LivenessTable, now| {
        let hosts = table.take_changed_hosts(now)?;
        Some(hosts.into_keys().collect::<Vec<_>>().join(","))
    };
    table.record_host(start, &status("a", true));
    table.record_host(start, &status("b", true));
    assert_eq!(names(&mut table, start).as_deref(), Some("a,b"));
    let now = start + HOST_TIMEOUT / 2;
    table.record_host(now, &status("a", true));
    assert_eq!(names(&mut table, now), None);
    table.record_host(now, &status("a", false));
    assert_eq!(names(&mut table, now).as_deref(), Some("a,b"));
    let now = start + HOST_TIMEOUT;
    assert_eq!(names(&mut table, now).as_deref(), Some("a"));
    table.record_host(now, &status("b", true));
    assert_eq!(names(&mut table, now).as_deref(), Some("a,b"));
    assert_eq!(names(&mut table, now + Duration::from_millis(1)), None);
}

/// A cold server that the operator's zone change makes cold again isn't thereby seen.
#[test]
fn a_cold_mark_does_not_count_as_a_call_of_the_server() {
    let start = Instant::now();
    let later = start + Duration::from_secs(5);
    let mut table = LivenessTable::new();
    table.record_server(start, "s1", 7, Duration::ZERO);
    table.set_cold(later, "s1", 7, Duration::from_secs(3));
    assert_eq!(table.last_seen("s1", 7), Some(start));
    assert_eq!(table.cold(later).len(), 1);
    assert!(table.take_became_cold());
    assert!(!table.take_became_cold());
}

/// Announcements of one cold period come with different delays; they aren't news each time.
#[test]
fn announcements_of_the_same_cold_period_are_no_news() {
    let start = Instant::now();
    let mut table = LivenessTable::new();
    table.record_server(start, "s1", 7, Duration::from_secs(3));
    assert!(table.take_became_cold());
    for step in 1..10_u64 {
        let now = start + Duration::from_millis(100 * step);
        let left = Duration::from_millis(3_000 - 100 * step + (step % 3) * 40);
        table.record_server(now, "s1", 7, left);
        assert!(!table.take_became_cold(), "{step}");
    }
    let now = start + Duration::from_secs(2);
    table.record_server(now, "s1", 7, Duration::from_secs(3));
    assert!(table.take_became_cold());
}
