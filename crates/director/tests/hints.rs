//! Hints that backend servers are leaving: how long they hold, and what replicas tell each other.
#![allow(missing_docs, clippy::unwrap_used)]

use std::time::{Duration, Instant};

use director::hints::{self, LeavingTable};
use fleet::hint::ServerIncarnation;

fn server(id: &str, born: u64) -> ServerIncarnation {
    ServerIncarnation {
        id: id.to_string(),
        born,
    }
}

fn servers(table: &mut LeavingTable, now: Instant) -> Vec<ServerIncarnation> {
    let hints = table.current(now).into_iter();
    hints.map(|hint| hint.server).collect()
}

#[test]
fn a_hint_ends_after_its_time_although_it_is_repeated() {
    let start = Instant::now();
    let mut table = LeavingTable::default();
    assert!(table.record(start, server("s1", 1)));
    assert!(table.take_changed());
    let later = start + Duration::from_secs(9);
    assert!(!table.record(later, server("s1", 1)));
    assert!(!table.take_changed());
    let end = start + Duration::from_secs(10);
    let before_end = end - Duration::from_millis(1);
    assert_eq!(servers(&mut table, before_end), [server("s1", 1)]);
    assert!(servers(&mut table, end).is_empty());
    assert!(table.record(end, server("s1", 1)));
}

#[test]
fn incarnations_have_hints_of_their_own() {
    let now = Instant::now();
    let mut table = LeavingTable::default();
    let digest = |table: &mut LeavingTable| hints::digest(now, now, &table.current(now));
    assert_eq!(digest(&mut table), 0);
    table.record(now, server("s1", 1));
    let first = digest(&mut table);
    assert!(table.record(now, server("s1", 2)));
    let both = [server("s1", 1), server("s1", 2)];
    assert_eq!(servers(&mut table, now), both);
    assert_ne!(digest(&mut table), first);
}

/// A list that is taken later, with shorter times left, is the same list.
#[test]
fn the_digest_stays_until_a_hint_ends() {
    let start = Instant::now();
    let mut table = LeavingTable::default();
    table.record(start, server("s1", 1));
    let mut digest = |now: Instant| hints::digest(now, start, &table.current(now));
    let first = digest(start);
    assert_eq!(digest(start + Duration::from_secs(9)), first);
    assert_eq!(digest(start + Duration::from_secs(10)), 0);
}

/// Two replicas must not keep a hint alive by telling it to each other.
#[test]
fn a_hint_is_reported_once_and_not_passed_on_by_other_replicas() {
    let start = Instant::now();
    let (mut first, mut second) = (LeavingTable::default(), LeavingTable::default());
    first.record(start, server("s1", 1));
    let later = start + Duration::from_secs(4);
    let report = first.take_report(later);
    assert_eq!(report.len(), 1);
    assert!(first.take_report(later).is_empty());
    second.merge(later, &report[0]);
    assert!(second.take_changed());
    assert!(second.take_report(later).is_empty());
    let end = start + Duration::from_secs(10);
    let before_end = end - Duration::from_millis(1);
    assert_eq!(servers(&mut second, before_end).len(), 1);
    assert!(servers(&mut second, end).is_empty());
}
