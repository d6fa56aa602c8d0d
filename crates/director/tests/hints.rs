//! Hints that backend servers are leaving: how long they hold, and what replicas tell each other.
#![allow(missing_docs, clippy::unwrap_used)]

use std::time::{Duration, Instant};

use director::hints::{self, HintTable};
use director::message::LeavingServer;

fn server(id: &str, born: u64) -> LeavingServer {
    LeavingServer {
        id: id.to_string(),
        born,
    }
}

fn servers(table: &mut HintTable, now: Instant) -> Vec<LeavingServer> {
    let hints = table.current(now).into_iter();
    hints.map(|hint| hint.server).collect()
}

#[test]
fn a_hint_ends_after_its_time_although_it_is_repeated() {
    let start = Instant::now();
    let mut table = HintTable::default();
    assert!(table.record(start, server("s1", 1)));
    assert!(table.take_changed());
    let later = start + Duration::from_secs(9);
    assert!(!table.record(later, server("s1", 1)));
    assert!(!table.take_changed());
    let end = start + Duration::from_secs(10);
    assert_eq!(
        servers(&mut table, end - Duration::from_millis(1)),
        [server("s1", 1)]
    );
    assert!(servers(&mut table, end).is_empty());
    assert!(table.record(end, server("s1", 1)));
}

#[test]
fn incarnations_have_hints_of_their_own() {
    let now = Instant::now();
    let mut table = HintTable::default();
    table.record(now, server("s1", 1));
    let first = hints::digest(&table.current(now));
    assert!(table.record(now, server("s1", 2)));
    assert_eq!(servers(&mut table, now), [server("s1", 1), server("s1", 2)]);
    assert_ne!(hints::digest(&table.current(now)), first);
    assert_eq!(hints::digest(&[]), 0);
}

/// Two replicas must not keep a hint alive by telling it to each other.
#[test]
fn a_hint_is_reported_once_and_not_passed_on_by_other_replicas() {
    let start = Instant::now();
    let (mut first, mut second) = (HintTable::default(), HintTable::default());
    first.record(start, server("s1", 1));
    let later = start + Duration::from_secs(4);
    let report = first.take_report(later);
    assert_eq!(report.len(), 1);
    assert!(first.take_report(later).is_empty());
    second.merge(later, report);
    assert!(second.take_changed());
    assert!(second.take_report(later).is_empty());
    let end = start + Duration::from_secs(10);
    assert_eq!(
        servers(&mut second, end - Duration::from_millis(1)).len(),
        1
    );
    assert!(servers(&mut second, end).is_empty());
}
