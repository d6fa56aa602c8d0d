//! A full or failing disk acknowledges nothing, and a crash loses nothing acknowledged.
#![allow(missing_docs, clippy::unwrap_used)]

mod common;

use common::{append, snapshot, Fault, FaultDisk};
use quorum::entry::RecoveredState;
use quorum::event::PersistWrite;
use rstest::rstest;
use std::path::Path;
use store::error::StoreError;
use store::replica::ReplicaStore;

/// Writes until one fails; gives the number of writes acknowledged.
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

/// Last entry, term and snapshot that must be there after some writes of the script.
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

fn found(state: &RecoveredState) -> (u64, u64, u64) {
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
fn a_crash_at_any_step_keeps_what_was_acknowledged(
    #[values(Fault::Error, Fault::ShortWrite)] fault: Fault,
    #[values(true, false)] unsynced_lost: bool,
) {
    let mut faults = 0;
    for operation in 0..200 {
        let folder = tempfile::tempdir().unwrap();
        let disk = FaultDisk::default();
        let (mut store, first) =
            ReplicaStore::open_on(Box::new(disk.clone()), folder.path(), 1).unwrap();
        disk.fail_at(operation, fault);
        let done = write_all(&mut store, &script());
        drop(store);
        if unsynced_lost {
            disk.crash();
        }
        drop(disk);
        let state = reopen(folder.path());
        let (kept, known) = (found(&state), expected(done));
        let next = expected((done + 1).min(script().len()));
        assert!(
            kept.0 >= known.0 && kept.1 >= known.1 && kept.2 >= known.2,
            "{operation}: {kept:?} {known:?}"
        );
        assert!(
            kept.0 <= next.0 && kept.1 <= next.1 && kept.2 <= next.2,
            "{operation}: {kept:?} {next:?}"
        );
        assert_eq!(state.incarnation, first.incarnation);
        assert!(!state.blank);
        if done == script().len() {
            break;
        }
        faults += 1;
    }
    assert!(faults > 20, "only {faults} faults were met");
}

#[rstest]
fn a_crash_at_any_step_of_the_first_start_leaves_a_folder_that_opens(
    #[values(Fault::Error, Fault::ShortWrite)] fault: Fault,
) {
    for operation in 0..8 {
        let folder = tempfile::tempdir().unwrap();
        let disk = FaultDisk::default();
        disk.fail_at(operation, fault);
        let opened = ReplicaStore::open_on(Box::new(disk.clone()), folder.path(), 1);
        assert!(
            opened.is_err(),
            "operation {operation} is not part of the start"
        );
        drop(opened);
        disk.crash();
        drop(disk);
        assert_eq!(found(&reopen(folder.path())), (0, 0, 0));
    }
}
