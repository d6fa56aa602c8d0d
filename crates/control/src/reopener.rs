//! Opening of the data folder, at the start and again after the disk failed.

use std::io;
use std::time::{Duration, Instant};

use quorum::entry::RecoveredState;
use store::error::StoreError;
use store::replica::ReplicaStore;
use store::writer::DiskWriter;

use crate::call::{CoreCall, CoreHandle};
use crate::core::ReplicaCore;
use crate::error::ControlError;
use crate::settings::ControlSettings;

/// Opens the data folder again after a disk failure, with retries.
#[derive(Debug)]
pub(crate) struct StoreReopener {
    settings: ControlSettings,
    handle: CoreHandle,
    /// Time of the next attempt, where the disk has failed.
    next_attempt: Option<Instant>,
}

impl StoreReopener {
    /// Delay before each attempt.
    const DELAY: Duration = Duration::from_millis(250);

    pub(crate) fn new(settings: ControlSettings, handle: CoreHandle) -> Self {
        Self {
            settings,
            handle,
            next_attempt: None,
        }
    }

    /// Returns the time of the next attempt, where the disk has failed.
    pub(crate) fn next_attempt(&self) -> Option<Instant> {
        self.next_attempt
    }

    /// Recovers the core from the data folder once an attempt is due. Returns the new disk writer where that
    /// succeeds.
    pub(crate) fn recover(&mut self, now: Instant, core: &mut ReplicaCore) -> Option<DiskWriter> {
        if !core.has_failed_disk() {
            return None;
        }
        if now < *self.next_attempt.get_or_insert(now + Self::DELAY) {
            return None;
        }
        match self.reopen(now, core) {
            Ok(disk) => {
                self.next_attempt = None;
                Some(disk)
            }
            Err(e) => {
                log::warn!(target: "store", "data folder can't be used yet, trying again: {e}");
                self.next_attempt = Some(now + Self::DELAY);
                None
            }
        }
    }

    fn reopen(&self, now: Instant, core: &mut ReplicaCore) -> Result<DiskWriter, ControlError> {
        let (store, recovered) = open(&self.settings)?;
        core.recover(now, recovered)?;
        Ok(start_writer(store, &self.handle)?)
    }
}

/// Opens the data folder and recovers the state that it holds.
pub(crate) fn open(
    settings: &ControlSettings,
) -> Result<(ReplicaStore, RecoveredState), StoreError> {
    let (store, recovered) = ReplicaStore::open(&settings.data_folder, settings.id)?;
    log::info!(
        target: "store",
        "opened data folder {} with a snapshot at entry {} and {} entries after it",
        settings.data_folder.display(),
        recovered.snapshot.index,
        recovered.entries.len()
    );
    Ok((store, recovered))
}

/// Starts the thread that writes to the disk and reports to the core.
pub(crate) fn start_writer(store: ReplicaStore, handle: &CoreHandle) -> io::Result<DiskWriter> {
    let reports = handle.clone();
    DiskWriter::start(store, move |report| {
        reports.send_blocking(CoreCall::Disk(report));
    })
}
