//! A disk that injects faults, and writes for tests.
#![allow(dead_code, clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use quorum::entry::{EntryPayload, HardState, LogEntry, LogSnapshot};
use quorum::event::PersistWrite;
use store::disk::{DiskIo, SystemDisk};

/// Fault at the chosen operation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    /// The operation fails without an effect.
    Error,
    /// An append writes half of its bytes and then fails for lack of space.
    ShortWrite,
}

#[derive(Debug, Default)]
pub(crate) struct DiskState {
    operations: usize,
    /// Number of the operation that fails, and how it fails.
    fault: Option<(usize, Fault)>,
    /// Whether the disk takes no more bytes.
    is_full: bool,
    /// Length of each file.
    written: BTreeMap<PathBuf, u64>,
    /// Synced length of each file.
    synced: BTreeMap<PathBuf, u64>,
    /// Renames, old and new path, that are undone by a crash before their folder is synced.
    renamed: Vec<(PathBuf, PathBuf)>,
}

/// A disk on the real file system that fails one chosen operation and simulates crashes that lose
/// unsynced changes.
#[derive(Clone, Default)]
pub(crate) struct FaultDisk {
    state: Arc<Mutex<DiskState>>,
    disk: Arc<Mutex<SystemDisk>>,
}

impl FaultDisk {
    pub(crate) fn fail_at(&self, operation: usize, fault: Fault) {
        let mut state = self.state.lock().unwrap();
        state.fault = Some((state.operations + operation, fault));
    }

    /// Lets the disk take no more bytes; appends write half of theirs. Files can still be removed and renamed.
    pub(crate) fn set_full(&self, is_full: bool) {
        self.state.lock().unwrap().is_full = is_full;
    }

    pub(crate) fn operations(&self) -> usize {
        self.state.lock().unwrap().operations
    }

    /// Simulates a kill of the process: releases the files, which keep their unsynced changes.
    pub(crate) fn kill(&self) {
        *self.disk.lock().unwrap() = SystemDisk::default();
        self.state.lock().unwrap().fault = None;
    }

    /// Simulates a crash: releases the files and loses all unsynced changes.
    pub(crate) fn crash(&self) {
        *self.disk.lock().unwrap() = SystemDisk::default();
        let mut state = self.state.lock().unwrap();
        for (path, written) in &state.written {
            let synced = state.synced.get(path).copied().unwrap_or(0);
            if synced < *written && path.exists() {
                let file = OpenOptions::new().write(true).open(path).unwrap();
                file.set_len(synced).unwrap();
            }
        }
        while let Some((from, to)) = state.renamed.pop() {
            fs::rename(to, from).unwrap();
        }
    }

    fn next_fault(&self) -> Option<Fault> {
        let mut state = self.state.lock().unwrap();
        let operation = state.operations;
        state.operations += 1;
        state
            .fault
            .filter(|(at, _)| *at == operation)
            .map(|(_, f)| f)
    }

    fn run_operation<T>(
        &self,
        operation: impl FnOnce(&mut SystemDisk) -> io::Result<T>,
    ) -> io::Result<T> {
        match self.next_fault() {
            Some(_) => Err(io::Error::from(io::ErrorKind::StorageFull)),
            None => operation(&mut self.disk.lock().unwrap()),
        }
    }
}

impl DiskIo for FaultDisk {
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
        let is_full = self.state.lock().unwrap().is_full;
        let fault = self.next_fault().or(is_full.then_some(Fault::ShortWrite));
        let written = match fault {
            None => bytes,
            Some(Fault::ShortWrite) => &bytes[..bytes.len() / 2],
            Some(Fault::Error) => &[],
        };
        self.disk.lock().unwrap().append(path, written)?;
        let length = fs::metadata(path).unwrap().len();
        self.state
            .lock()
            .unwrap()
            .written
            .insert(path.to_path_buf(), length);
        match fault {
            None => Ok(()),
            Some(_) => Err(io::Error::from(io::ErrorKind::StorageFull)),
        }
    }

    fn overwrite(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        if self.state.lock().unwrap().is_full {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        self.run_operation(|disk| disk.overwrite(path, bytes))
    }

    fn truncate(&mut self, path: &Path, length: u64) -> io::Result<()> {
        self.run_operation(|disk| disk.truncate(path, length))
    }

    fn sync_file(&mut self, path: &Path) -> io::Result<()> {
        self.run_operation(|disk| disk.sync_file(path))?;
        let mut state = self.state.lock().unwrap();
        let length = state.written.get(path).copied().unwrap_or(0);
        state.synced.insert(path.to_path_buf(), length);
        Ok(())
    }

    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        self.run_operation(|disk| disk.sync_folder(folder))?;
        self.state.lock().unwrap().renamed.clear();
        Ok(())
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.run_operation(|disk| disk.rename(from, to))?;
        let mut state = self.state.lock().unwrap();
        move_length(&mut state.written, from, to);
        move_length(&mut state.synced, from, to);
        state.renamed.push((from.to_path_buf(), to.to_path_buf()));
        Ok(())
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        self.run_operation(|disk| disk.remove(path))?;
        let mut state = self.state.lock().unwrap();
        state.written.remove(path);
        state.synced.remove(path);
        Ok(())
    }
}

fn move_length(lengths: &mut BTreeMap<PathBuf, u64>, from: &Path, to: &Path) {
    if let Some(length) = lengths.remove(from) {
        lengths.insert(to.to_path_buf(), length);
    }
}

pub(crate) fn command(index: u64) -> LogEntry {
    LogEntry {
        term: 1,
        index,
        payload: EntryPayload::Command(format!("command {index}").into_bytes()),
    }
}

pub(crate) fn append(index: u64) -> PersistWrite {
    PersistWrite {
        hard: Some(HardState {
            term: index,
            vote: Some(2),
            ..HardState::default()
        }),
        append: vec![command(index)],
        ..PersistWrite::default()
    }
}

pub(crate) fn snapshot(index: u64) -> PersistWrite {
    PersistWrite {
        snapshot: Some(LogSnapshot {
            index,
            term: 1,
            admitted: vec![(1, 7)],
            data: format!("state {index}").into_bytes(),
        }),
        ..PersistWrite::default()
    }
}

/// Returns the path of the only file in a folder whose name starts with a prefix.
pub(crate) fn only_file(folder: &Path, prefix: &str) -> PathBuf {
    let mut paths: Vec<_> = fs::read_dir(folder)
        .unwrap()
        .map(|item| item.unwrap().path())
        .filter(|path| {
            path.file_name()
                .unwrap()
                .to_string_lossy()
                .starts_with(prefix)
        })
        .collect();
    assert_eq!(paths.len(), 1, "{paths:?}");
    paths.pop().unwrap()
}
