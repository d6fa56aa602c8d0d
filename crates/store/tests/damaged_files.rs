//! Torn, truncated, bit-flipped and missing files; folders of others.
#![allow(missing_docs, clippy::unwrap_used)]

mod common;

use common::{append, only_file, snapshot};
use quorum::entry::RecoveredState;
use rstest::rstest;
use std::fs;
use std::path::Path;
use store::disk::HostDisk;
use store::error::{Result, StoreError};
use store::mark::SyncMark;
use store::replica::ReplicaStore;

fn open(folder: &Path) -> Result<RecoveredState> {
    ReplicaStore::open(folder, 1).map(|(_, state)| state)
}

/// Makes a folder with a snapshot up to entry 2 and entries 3 to 5.
fn filled() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = ReplicaStore::open(folder.path(), 1).unwrap();
    for write in [
        append(1),
        append(2),
        snapshot(2),
        append(3),
        append(4),
        append(5),
    ] {
        store.write(&write).unwrap();
    }
    folder
}

/// Offset of the last write: a term record and an entry record.
fn tail(log: &[u8]) -> usize {
    let mut offsets = vec![0];
    let mut offset = 0;
    while offset < log.len() {
        let length = u32::from_le_bytes(log[offset..offset + 4].try_into().unwrap());
        offset += store::record::HEAD_BYTES + length as usize;
        offsets.push(offset);
    }
    offsets[offsets.len() - 3]
}

/// Takes back that the last write was synced, as after a crash before the sync.
fn unsync(folder: &Path, log: &[u8]) {
    let mark = SyncMark::new(2, tail(log) as u64);
    mark.write(&mut HostDisk::default(), folder).unwrap();
}

#[test]
fn a_log_that_lost_what_was_synced_stops_the_start() {
    let folder = filled();
    let path = only_file(folder.path(), "log-");
    let log = fs::read(&path).unwrap();
    for length in tail(&log)..log.len() {
        fs::write(&path, &log[..length]).unwrap();
        let error = open(folder.path()).unwrap_err().to_string();
        assert!(error.contains("shorter than it was"), "{error}");
    }
}

#[test]
fn a_torn_tail_is_cut_at_every_byte_and_writing_goes_on() {
    let folder = filled();
    let path = only_file(folder.path(), "log-");
    let log = fs::read(&path).unwrap();
    for length in tail(&log)..log.len() {
        fs::write(&path, &log[..length]).unwrap();
        unsync(folder.path(), &log);
        assert_tail_cut(folder.path());
    }
}

#[test]
fn zeroes_after_the_last_whole_record_are_cut() {
    let folder = filled();
    let path = only_file(folder.path(), "log-");
    let mut log = fs::read(&path).unwrap();
    unsync(folder.path(), &log);
    log.truncate(tail(&log));
    log.resize(log.len() + 4096, 0);
    fs::write(&path, &log).unwrap();
    assert_tail_cut(folder.path());
}

fn assert_tail_cut(folder: &Path) {
    let (mut store, state) = ReplicaStore::open(folder, 1).unwrap();
    assert_eq!(state.entries.last().unwrap().index, 4);
    store.write(&append(5)).unwrap();
    drop(store);
    assert_eq!(open(folder).unwrap().entries.last().unwrap().index, 5);
}

#[rstest]
#[case::log("log-")]
#[case::snapshot("snapshot-")]
#[case::identity("identity")]
fn a_flipped_bit_stops_the_start_and_names_file_and_offset(#[case] prefix: &str) {
    let folder = filled();
    let path = only_file(folder.path(), prefix);
    let whole = fs::read(&path).unwrap();
    for position in 0..whole.len() {
        let mut flipped = whole.clone();
        flipped[position] ^= 1 << (position % 8);
        fs::write(&path, &flipped).unwrap();
        match open(folder.path()) {
            Err(StoreError::Damaged(named, offset, _)) => {
                assert_eq!(named, path);
                assert!(offset <= position as u64);
            }
            other => panic!("byte {position}: {other:?}"),
        }
    }
}

#[rstest]
#[case::log("log-", 0, "shorter than it was when it was synced")]
#[case::log_start("log-", 7, "shorter than it was when it was synced")]
#[case::snapshot("snapshot-", 20, "it is not one whole record")]
#[case::identity("identity", 5, "it is not one whole record")]
fn a_truncated_file_stops_the_start(
    #[case] prefix: &str,
    #[case] length: usize,
    #[case] reason: &str,
) {
    let folder = filled();
    let path = only_file(folder.path(), prefix);
    let whole = fs::read(&path).unwrap();
    fs::write(&path, &whole[..length]).unwrap();
    let error = open(folder.path()).unwrap_err().to_string();
    assert!(
        error.contains(reason) && error.contains(path.to_str().unwrap()),
        "{error}"
    );
}

#[rstest]
#[case::log("log-", "log files are missing")]
#[case::snapshot("snapshot-", "entries after the snapshot are missing")]
#[case::identity("identity", "identity: No such file")]
fn a_missing_file_stops_the_start(#[case] prefix: &str, #[case] reason: &str) {
    let folder = filled();
    fs::remove_file(only_file(folder.path(), prefix)).unwrap();
    let error = open(folder.path()).unwrap_err().to_string();
    assert!(error.contains(reason), "{error}");
}

#[test]
fn a_folder_of_another_replica_is_refused() {
    let folder = filled();
    let error = ReplicaStore::open(folder.path(), 2).unwrap_err();
    assert!(matches!(error, StoreError::Foreign(_, 1, 2)), "{error}");
}

#[test]
fn two_processes_never_share_a_folder() {
    let folder = filled();
    let held = ReplicaStore::open(folder.path(), 1).unwrap();
    assert!(matches!(open(folder.path()), Err(StoreError::InUse(_))));
    drop(held);
    open(folder.path()).unwrap();
}

#[test]
fn a_deleted_folder_comes_back_blank_under_another_incarnation() {
    let folder = filled();
    let before = open(folder.path()).unwrap();
    fs::remove_dir_all(folder.path()).unwrap();
    let after = open(folder.path()).unwrap();
    assert!(after.blank && !before.blank);
    assert_ne!(after.incarnation, before.incarnation);
    assert!(after.entries.is_empty());
}

/// A power loss keeps some of the bytes after the last sync and loses others: what is garbage
/// there was never acknowledged.
#[rstest]
#[case::first_bytes_lost(0, 8)]
#[case::middle_lost(10, 16)]
#[case::head_of_the_entry_lost(20, 30)]
fn a_hole_in_what_was_not_synced_is_cut(#[case] from: usize, #[case] to: usize) {
    let folder = filled();
    let path = only_file(folder.path(), "log-");
    let log = fs::read(&path).unwrap();
    unsync(folder.path(), &log);
    let mut holed = log.clone();
    let start = tail(&log);
    holed[start + from..start + to].fill(0);
    fs::write(&path, holed).unwrap();
    assert_tail_cut(folder.path());
}

/// Log files that a snapshot replaced were removed; a power loss may bring some of them back.
#[rstest]
#[case::oldest_only(&[1])]
#[case::gap(&[1, 3])]
#[case::all(&[1, 2, 3])]
fn removed_log_files_may_come_back(#[case] back: &[u64]) {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = ReplicaStore::open(folder.path(), 1).unwrap();
    let mut kept = Vec::new();
    for index in 1..=3 {
        store.write(&append(index)).unwrap();
        let path = only_file(folder.path(), "log-");
        kept.push((path.clone(), fs::read(&path).unwrap()));
        store.write(&snapshot(index)).unwrap();
    }
    store.write(&append(4)).unwrap();
    drop(store);
    for number in back {
        let (path, bytes) = &kept[*number as usize - 1];
        fs::write(path, bytes).unwrap();
    }
    let state = open(folder.path()).unwrap();
    assert_eq!(state.snapshot.index, 3);
    let entries: Vec<_> = state.entries.iter().map(|entry| entry.index).collect();
    assert_eq!(entries, [4]);
}
