//! Opening folders with torn, truncated, corrupted or missing files, and folders of other replicas.
#![allow(missing_docs, clippy::unwrap_used)]

mod common;

use common::{append, only_file, snapshot};
use quorum::entry::RecoveredState;
use rstest::rstest;
use std::fs;
use std::path::Path;
use store::disk::SystemDisk;
use store::error::{Result, StoreError};
use store::replica::ReplicaStore;
use store::watermark::SyncWatermark;

fn open(folder: &Path) -> Result<RecoveredState> {
    ReplicaStore::open(folder, 1).map(|(_, state)| state)
}

/// Creates a folder with a snapshot up to entry 2 and the entries 3 to 5.
fn filled_folder() -> tempfile::TempDir {
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

/// Returns the offset of the last write, which consists of a term record and an entry record.
fn last_write_offset(log: &[u8]) -> usize {
    let mut offsets = vec![0];
    let mut offset = 0;
    while offset < log.len() {
        let length = u32::from_le_bytes(log[offset..offset + 4].try_into().unwrap());
        offset += store::record::HEADER_BYTES + length as usize;
        offsets.push(offset);
    }
    offsets[offsets.len() - 3]
}

/// Sets the watermark back to before the last write, as after a crash before its sync.
fn mark_last_write_unsynced(folder: &Path, log: &[u8]) {
    let watermark = SyncWatermark::new(2, last_write_offset(log) as u64);
    watermark.write(&mut SystemDisk::default(), folder).unwrap();
}

#[test]
fn open_fails_if_the_log_is_shorter_than_its_synced_length() {
    let folder = filled_folder();
    let path = only_file(folder.path(), "log-");
    let log = fs::read(&path).unwrap();
    for length in last_write_offset(&log)..log.len() {
        fs::write(&path, &log[..length]).unwrap();
        let error = open(folder.path()).unwrap_err().to_string();
        assert!(error.contains("shorter than it was"), "{error}");
    }
}

#[test]
fn an_unsynced_torn_record_is_truncated_and_writing_continues() {
    let folder = filled_folder();
    let path = only_file(folder.path(), "log-");
    let log = fs::read(&path).unwrap();
    for length in last_write_offset(&log)..log.len() {
        fs::write(&path, &log[..length]).unwrap();
        mark_last_write_unsynced(folder.path(), &log);
        assert_last_write_truncated(folder.path());
    }
}

#[test]
fn zeroes_after_the_last_complete_record_are_truncated() {
    let folder = filled_folder();
    let path = only_file(folder.path(), "log-");
    let mut log = fs::read(&path).unwrap();
    mark_last_write_unsynced(folder.path(), &log);
    log.truncate(last_write_offset(&log));
    log.resize(log.len() + 4096, 0);
    fs::write(&path, &log).unwrap();
    assert_last_write_truncated(folder.path());
}

fn assert_last_write_truncated(folder: &Path) {
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
fn open_fails_on_a_flipped_bit_and_reports_file_and_offset(#[case] prefix: &str) {
    let folder = filled_folder();
    let path = only_file(folder.path(), prefix);
    let whole = fs::read(&path).unwrap();
    for position in 0..whole.len() {
        let mut flipped = whole.clone();
        flipped[position] ^= 1 << (position % 8);
        fs::write(&path, &flipped).unwrap();
        match open(folder.path()) {
            Err(StoreError::Corrupted(named, offset, _)) => {
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
#[case::snapshot("snapshot-", 20, "the file is not a single complete record")]
#[case::identity("identity", 5, "the file is not a single complete record")]
fn open_fails_on_a_truncated_file(
    #[case] prefix: &str,
    #[case] length: usize,
    #[case] reason: &str,
) {
    let folder = filled_folder();
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
fn open_fails_on_a_missing_file(#[case] prefix: &str, #[case] reason: &str) {
    let folder = filled_folder();
    fs::remove_file(only_file(folder.path(), prefix)).unwrap();
    let error = open(folder.path()).unwrap_err().to_string();
    assert!(error.contains(reason), "{error}");
}

#[test]
fn a_folder_of_another_replica_is_rejected() {
    let folder = filled_folder();
    let error = ReplicaStore::open(folder.path(), 2).unwrap_err();
    assert!(
        matches!(error, StoreError::WrongReplica(_, 1, 2)),
        "{error}"
    );
}

#[test]
fn a_folder_in_use_is_rejected() {
    let folder = filled_folder();
    let held = ReplicaStore::open(folder.path(), 1).unwrap();
    assert!(matches!(open(folder.path()), Err(StoreError::InUse(_))));
    drop(held);
    open(folder.path()).unwrap();
}

#[test]
fn a_deleted_folder_is_recreated_blank_with_a_new_incarnation() {
    let folder = filled_folder();
    let before = open(folder.path()).unwrap();
    fs::remove_dir_all(folder.path()).unwrap();
    let after = open(folder.path()).unwrap();
    assert!(after.blank && !before.blank);
    assert_ne!(after.incarnation, before.incarnation);
    assert!(after.entries.is_empty());
}

/// A power loss can keep some of the bytes after the last sync and lose others. These bytes were
/// never acknowledged, so a start must truncate them rather than fail.
#[rstest]
#[case::first_bytes_lost(0, 8)]
#[case::middle_lost(10, 16)]
#[case::header_of_the_entry_lost(20, 30)]
fn a_hole_in_unsynced_bytes_is_truncated(#[case] from: usize, #[case] to: usize) {
    let folder = filled_folder();
    let path = only_file(folder.path(), "log-");
    let log = fs::read(&path).unwrap();
    mark_last_write_unsynced(folder.path(), &log);
    let mut damaged = log.clone();
    let start = last_write_offset(&log);
    damaged[start + from..start + to].fill(0);
    fs::write(&path, damaged).unwrap();
    assert_last_write_truncated(folder.path());
}

/// A power loss can bring back log files that were removed after a snapshot. A start must ignore
/// them.
#[rstest]
#[case::oldest_only(&[1])]
#[case::gap(&[1, 3])]
#[case::all(&[1, 2, 3])]
fn reappeared_log_files_are_ignored(#[case] reappeared: &[u64]) {
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
    for number in reappeared {
        let (path, bytes) = &kept[*number as usize - 1];
        fs::write(path, bytes).unwrap();
    }
    let state = open(folder.path()).unwrap();
    assert_eq!(state.snapshot.index, 3);
    let entries: Vec<_> = state.entries.iter().map(|entry| entry.index).collect();
    assert_eq!(entries, [4]);
}
