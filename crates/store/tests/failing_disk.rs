//! A full or failing disk acknowledges nothing, and a crash loses nothing that was acknowledged.
#![allow(missing_docs, clippy::unwrap_used)]

mod common;

use common::{append, snapshot, Fault, FaultDisk};
use quorum::entry::RecoveredState;
use quorum::event::PersistWrite;
use rstest::rstest;
use std::path::Path;
use store::error::StoreError;
use store::replica::ReplicaStore;

/// Writes until a write fails and returns the number of acknowledged writes.
fn write_all(store: &mut ReplicaStore, writes: &[PersistWrite]) -> usize {
    let mut done = 0;
    for write in writes {
        match store.write(write) {
            Ok(()) => done += 1,
            Err(_) => break,
        }
    }
    if done < writes.len() {
        let refused = store.write(&append(99));
        assert!(matches!(refused, Err(StoreError::Closed)), "{refused:?}");
    }
    done
}

fn script() -> Vec<PersistWrite> {
    vec![
        append(1),
        append(2),
        append(3),
        snapshot(2),
        append(4),
        append(5),
        snapshot(5),
        append(6),
    ]
}

/// Returns the last entry, term and snapshot index after the first `done` writes of the script.
fn expected(done: usize) -> (u64, u64, u64) {
    [
        (0, 0, 0),
        (1, 1, 0),
        (2, 2, 0),
        (3, 3, 0),
        (3, 3, 2),
        (4, 4, 2),
        (5, 5, 2),
        (5, 5, 5),
        (6, 6, 5),
    ][done]
}

fn summary(state: &RecoveredState) -> (u64, u64, u64) {
    let last = state
        .entries
        .last()
        .map_or(state.snapshot.index, |e| e.index);
    (last, state.hard.term, state.snapshot.index)
}

fn reopen(folder: &Path) -> RecoveredState {
    ReplicaStore::open(folder, 1).unwrap().1
}

#[rstest]
fn a_crash_at_any_operation_keeps_acknowledged_writes(
    #[values(Fault::Error, Fault::ShortWrite)] fault: Fault,
    #[values(true, false)] unsynced_lost: bool,
) {
    let mut faults = 0;
    for operation in 0..200 {
        let folder = tempfile::tempdir().unwrap();
        let disk = FaultDisk::default();
        let (mut store, first) =
            ReplicaStore::open_with_disk(Box::new(disk.clone()), folder.path(), 1).unwrap();
        disk.fail_at(operation, fault);
        let done = write_all(&mut store, &script());
        drop(store);
        if unsynced_lost {
            disk.crash();
        }
        drop(disk);
        let state = reopen(folder.path());
        let (recovered, acknowledged) = (summary(&state), expected(done));
        let next = expected((done + 1).min(script().len()));
        assert!(
            recovered.0 >= acknowledged.0
                && recovered.1 >= acknowledged.1
                && recovered.2 >= acknowledged.2,
            "{operation}: {recovered:?} {acknowledged:?}"
        );
        assert!(
            recovered.0 <= next.0 && recovered.1 <= next.1 && recovered.2 <= next.2,
            "{operation}: {recovered:?} {next:?}"
        );
        assert_eq!(state.incarnation, first.incarnation);
        assert!(!state.blank);
        if done == script().len() {
            break;
        }
        faults += 1;
    }
    assert!(faults > 20, "only {faults} faults occurred");
}

/// A process is killed between a write and its sync. The next one counts what it reads as synced, so a loss of
/// power after its start must not take it away.
#[test]
fn what_a_start_recovers_after_a_kill_survives_a_loss_of_power() {
    let mut faults = 0;
    for operation in 0..200 {
        let folder = tempfile::tempdir().unwrap();
        let disk = FaultDisk::default();
        let open = || ReplicaStore::open_with_disk(Box::new(disk.clone()), folder.path(), 1);
        let (mut store, _) = open().unwrap();
        disk.fail_at(operation, Fault::Error);
        let done = write_all(&mut store, &script());
        drop(store);
        disk.kill();
        let (store, recovered) = open().unwrap();
        drop(store);
        disk.crash();
        let (_, kept) = open().unwrap();
        assert_eq!(summary(&kept), summary(&recovered), "{operation}");
        if done == script().len() {
            break;
        }
        faults += 1;
    }
    assert!(faults > 20, "only {faults} faults occurred");
}

#[rstest]
fn a_folder_opens_after_a_crash_at_any_operation_of_its_first_start(
    #[values(Fault::Error, Fault::ShortWrite)] fault: Fault,
) {
    for operation in 0..8 {
        let folder = tempfile::tempdir().unwrap();
        let disk = FaultDisk::default();
        disk.fail_at(operation, fault);
        let opened = ReplicaStore::open_with_disk(Box::new(disk.clone()), folder.path(), 1);
        assert!(
            opened.is_err(),
            "operation {operation} is not part of the start"
        );
        drop(opened);
        disk.crash();
        drop(disk);
        assert_eq!(summary(&reopen(folder.path())), (0, 0, 0));
    }
}

/// A folder that is opened again and again while its disk is full must stay readable, and take writes once there is
/// room again.
#[test]
fn a_folder_on_a_disk_that_is_full_for_a_time_takes_writes_again() {
    let script = script();
    for first in 0..=script.len() {
        let folder = tempfile::tempdir().unwrap();
        let disk = FaultDisk::default();
        let open = || {
            disk.kill();
            ReplicaStore::open_with_disk(Box::new(disk.clone()), folder.path(), 1)
        };
        let (mut store, _) = open().unwrap();
        assert_eq!(write_all(&mut store, &script[..first]), first);
        drop(store);
        disk.set_full(true);
        for _ in 0..5 {
            if let Ok((mut store, recovered)) = open() {
                assert_eq!(summary(&recovered), expected(first));
                assert_eq!(write_all(&mut store, &script[first..]), 0);
            }
        }
        disk.set_full(false);
        let (mut store, recovered) = open().unwrap();
        assert_eq!(summary(&recovered), expected(first), "{first}");
        let rest = &script[first..];
        assert_eq!(write_all(&mut store, rest), rest.len());
        drop(store);
        disk.kill();
        assert_eq!(summary(&reopen(folder.path())), expected(script.len()));
    }
}
