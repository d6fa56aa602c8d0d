//! Power losses after which removed files reappear, each or not: the folder opens, and nothing that was
//! acknowledged is lost.
#![allow(missing_docs, clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use quorum::entry::{EntryPayload, LogEntry, LogSnapshot};
use quorum::event::PersistWrite;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use store::disk::{DiskIo, SystemDisk};
use store::replica::ReplicaStore;

const SEEDS: u64 = 300;

/// A disk on which removals are lost by a crash before their folder is synced.
#[derive(Clone, Default)]
struct RemovalDisk {
    disk: Arc<Mutex<SystemDisk>>,
    /// Content of the files that were removed since the latest sync of the folder.
    removed: Arc<Mutex<BTreeMap<PathBuf, Vec<u8>>>>,
}

impl RemovalDisk {
    /// Simulates a crash; each removed file may reappear.
    fn crash(&self, random: &mut SmallRng) {
        *self.disk.lock().unwrap() = SystemDisk::default();
        for (path, bytes) in std::mem::take(&mut *self.removed.lock().unwrap()) {
            if random.random_bool(0.5) {
                fs::write(path, bytes).unwrap();
            }
        }
    }
}

impl DiskIo for RemovalDisk {
    fn create_folder(&mut self, folder: &Path) -> io::Result<()> {
        self.disk.lock().unwrap().create_folder(folder)
    }

    fn lock(&mut self, path: &Path) -> io::Result<bool> {
        self.disk.lock().unwrap().lock(path)
    }

    fn list(&mut self, folder: &Path) -> io::Result<Vec<String>> {
        self.disk.lock().unwrap().list(folder)
    }

    fn read(&mut self, path: &Path) -> io::Result<Vec<u8>> {
        self.disk.lock().unwrap().read(path)
    }

    fn append(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.disk.lock().unwrap().append(path, bytes)
    }

    fn overwrite(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.disk.lock().unwrap().overwrite(path, bytes)
    }

    fn truncate(&mut self, path: &Path, length: u64) -> io::Result<()> {
        self.disk.lock().unwrap().truncate(path, length)
    }

    fn sync_file(&mut self, path: &Path) -> io::Result<()> {
        self.disk.lock().unwrap().sync_file(path)
    }

    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        self.removed.lock().unwrap().clear();
        self.disk.lock().unwrap().sync_folder(folder)
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.disk.lock().unwrap().rename(from, to)
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        let bytes = fs::read(path).unwrap();
        self.removed
            .lock()
            .unwrap()
            .insert(path.to_path_buf(), bytes);
        self.disk.lock().unwrap().remove(path)
    }
}

/// The log of a replica, as the consensus writes it: entries are written in groups, and a snapshot may
/// cover entries that were never written or lie behind the last written one.
struct LogModel {
    /// Term of each entry after the snapshot.
    terms: BTreeMap<u64, u64>,
    snapshot: u64,
    /// Index of the last entry that was written.
    written: u64,
    term: u64,
}

impl LogModel {
    fn last(&self) -> u64 {
        self.terms
            .keys()
            .next_back()
            .copied()
            .unwrap_or(self.snapshot)
    }

    fn grow(&mut self, count: u64) {
        for index in self.last() + 1..=self.last() + count {
            self.terms.insert(index, self.term);
        }
    }

    /// Returns the write of all entries that weren't written yet.
    fn write(&mut self) -> PersistWrite {
        let append = self
            .terms
            .range(self.written + 1..)
            .map(|(index, term)| LogEntry {
                term: *term,
                index: *index,
                payload: EntryPayload::Command(vec![0; 40]),
            });
        let append = append.collect();
        self.written = self.last();
        PersistWrite {
            append,
            ..PersistWrite::default()
        }
    }

    /// Returns the write of a snapshot at `index` with all entries that weren't written yet.
    fn compact(&mut self, index: u64) -> PersistWrite {
        let term = self.terms[&index];
        self.snapshot = index;
        self.terms = self.terms.split_off(&(index + 1));
        self.written = self.written.max(index);
        PersistWrite {
            snapshot: Some(LogSnapshot {
                index,
                term,
                admitted: Vec::new(),
                data: Vec::new(),
            }),
            ..self.write()
        }
    }

    /// Returns the write that replaces the entries from `from` on by entries of a new term.
    fn replace(&mut self, from: u64, count: u64) -> PersistWrite {
        self.terms.split_off(&from);
        self.term += 1;
        let truncate_from = (from <= self.written).then_some(from);
        self.written = self.written.min(from - 1);
        self.grow(count);
        PersistWrite {
            truncate_from,
            ..self.write()
        }
    }

    /// Returns the write of a snapshot of the leader that is ahead of the log.
    fn install(&mut self, index: u64) -> PersistWrite {
        self.term += 1;
        self.terms.clear();
        self.snapshot = index;
        self.written = index;
        PersistWrite {
            snapshot: Some(LogSnapshot {
                index,
                term: self.term,
                admitted: Vec::new(),
                data: Vec::new(),
            }),
            truncate_from: Some(index + 1),
            ..PersistWrite::default()
        }
    }

    fn next_writes(&mut self, random: &mut SmallRng) -> Vec<PersistWrite> {
        let mut writes = Vec::new();
        for _ in 0..random.random_range(1..4) {
            match random.random_range(0..10) {
                0..5 => {
                    self.grow(random.random_range(1..20));
                    writes.push(self.write());
                }
                5..8 => {
                    // Entries that wait for the group when the snapshot is taken.
                    self.grow(random.random_range(0..20));
                    if let Some(index) = self.terms.keys().next().copied() {
                        let index = random.random_range(index..=self.last());
                        writes.push(self.compact(index));
                    }
                }
                8 => {
                    let from = random.random_range(self.snapshot + 1..=self.last() + 1);
                    writes.push(self.replace(from, random.random_range(1..10)));
                }
                _ => {
                    let index = self.last() + random.random_range(1..30);
                    writes.push(self.install(index));
                }
            }
        }
        writes
    }
}

#[test]
fn a_power_loss_that_brings_removed_files_back_loses_no_entry() {
    for seed in 0..SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let folder = tempfile::tempdir().unwrap();
        let mut model = LogModel {
            terms: BTreeMap::new(),
            snapshot: 0,
            written: 0,
            term: 1,
        };
        for life in 0..4 {
            let disk = RemovalDisk::default();
            let opened = ReplicaStore::open_with_disk(Box::new(disk.clone()), folder.path(), 1);
            let (mut store, state) = match opened {
                Ok(opened) => opened,
                Err(e) => panic!("seed {seed}, life {life}: {e}"),
            };
            assert_eq!(
                state.snapshot.index, model.snapshot,
                "seed {seed}, life {life}"
            );
            let entries = state.entries.iter().map(|entry| (entry.index, entry.term));
            let entries: BTreeMap<_, _> = entries.collect();
            assert_eq!(entries, model.terms, "seed {seed}, life {life}");
            for _ in 0..random.random_range(1..12) {
                store.write_group(&model.next_writes(&mut random)).unwrap();
            }
            drop(store);
            disk.crash(&mut random);
        }
    }
}
