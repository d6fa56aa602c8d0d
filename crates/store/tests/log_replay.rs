//! A restart recovers what was written: truncations, snapshots, several log files.
#![allow(missing_docs, clippy::unwrap_used)]

mod common;

use common::{append, command, snapshot};
use quorum::event::PersistWrite;
use rstest::rstest;
use store::replica::ReplicaStore;

fn truncate(index: u64) -> PersistWrite {
    PersistWrite {
        truncate_from: Some(index),
        ..PersistWrite::default()
    }
}

#[rstest]
#[case::appended(vec![append(1), append(2)], 0, &[1, 2])]
#[case::truncated(vec![append(1), append(2), append(3), truncate(2)], 0, &[1])]
#[case::overwritten(vec![append(1), append(2), append(3), append(2)], 0, &[1, 2])]
#[case::snapshot_of_part(vec![append(1), append(2), append(3), snapshot(2)], 2, &[3])]
#[case::snapshot_of_all(vec![append(1), append(2), snapshot(2)], 2, &[])]
#[case::snapshot_ahead(vec![append(1), snapshot(9), append(10)], 9, &[10])]
#[case::two_snapshots(vec![append(1), append(2), snapshot(1), append(3), snapshot(3), append(4)], 3, &[4])]
#[case::snapshot_at_the_end_of_a_file(vec![append(1), append(2), snapshot(1), append(3), snapshot(2)], 2, &[3])]
#[case::appended_after_such_a_snapshot(vec![append(1), append(2), snapshot(1), append(3), snapshot(2), append(4)], 2, &[3, 4])]
#[case::snapshots_behind_the_log(
    vec![append(1), append(2), append(3), snapshot(1), append(4), append(5), snapshot(2), append(6), snapshot(3), append(7)],
    3,
    &[4, 5, 6, 7]
)]
#[case::older_snapshot_ignored(vec![append(1), append(2), snapshot(2), snapshot(1)], 2, &[])]
fn a_restart_recovers_what_was_written(
    #[case] writes: Vec<PersistWrite>,
    #[case] base: u64,
    #[case] indexes: &[u64],
) {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = ReplicaStore::open(folder.path(), 1).unwrap();
    writes.iter().for_each(|write| store.write(write).unwrap());
    drop(store);
    for _ in 0..2 {
        let (_, state) = ReplicaStore::open(folder.path(), 1).unwrap();
        assert_eq!(state.snapshot.index, base);
        let entries: Vec<_> = indexes.iter().map(|index| command(*index)).collect();
        assert_eq!(state.entries, entries);
    }
}

#[test]
fn a_full_log_file_is_followed_by_another_and_removed_after_a_snapshot() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = ReplicaStore::open(folder.path(), 1).unwrap();
    for index in 1..=40 {
        let mut write = append(index);
        write.append[0].payload = quorum::entry::EntryPayload::Command(vec![7; 1 << 20]);
        store.write(&write).unwrap();
    }
    let logs = || {
        let names = std::fs::read_dir(folder.path()).unwrap();
        let names = names.map(|item| item.unwrap().file_name().into_string().unwrap());
        names.filter(|name| name.starts_with("log-")).count()
    };
    assert_eq!(logs(), 3);
    drop(store);
    let (mut store, state) = ReplicaStore::open(folder.path(), 1).unwrap();
    assert_eq!((state.entries.len(), state.hard.term), (40, 40));
    store.write(&snapshot(40)).unwrap();
    assert_eq!(logs(), 1);
    drop(store);
    let (_, state) = ReplicaStore::open(folder.path(), 1).unwrap();
    assert_eq!(
        (state.entries.len(), state.hard.term, state.snapshot.index),
        (0, 40, 40)
    );
}
