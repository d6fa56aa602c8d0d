//! The thread that writes to the disk.

use std::io;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use crate::error::StoreError;
use crate::replica::ReplicaStore;
use quorum::event::PersistWrite;
use quorum::ids;

/// Result of a group of writes.
#[derive(Debug)]
pub enum DiskReport {
    /// All writes up to `token` are synced.
    Synced {
        /// Token of the last synced write.
        token: ids::PersistToken,
        /// Time to write and sync the group.
        took: Duration,
    },
    /// The disk failed; all later writes are dropped.
    Failed(StoreError),
}

/// Passes writes to a thread that makes them durable in order. Queued writes share a sync.
#[derive(Debug)]
pub struct DiskWriter {
    writes: mpsc::Sender<PersistWrite>,
}

impl DiskWriter {
    /// Maximum number of writes that share one sync.
    pub const MAX_WRITES_PER_SYNC: usize = 256;

    /// Starts the thread. It calls `report` after each group of writes.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start(
        store: ReplicaStore,
        report: impl FnMut(DiskReport) + Send + 'static,
    ) -> io::Result<Self> {
        let (writes, queue) = mpsc::channel();
        thread::Builder::new()
            .name("disk".to_string())
            .spawn(move || write_groups(store, &queue, report))?;
        Ok(Self { writes })
    }

    /// Queues a write. After a disk failure, which was reported, the thread has ended and the write
    /// is dropped.
    pub fn queue(&self, write: PersistWrite) {
        let _ = self.writes.send(write);
    }
}

fn write_groups(
    mut store: ReplicaStore,
    queue: &mpsc::Receiver<PersistWrite>,
    mut report: impl FnMut(DiskReport),
) {
    while let Ok(first) = queue.recv() {
        let mut group = vec![first];
        group.extend(queue.try_iter().take(DiskWriter::MAX_WRITES_PER_SYNC - 1));
        let token = group.last().map_or(0, |write| write.token);
        let start = Instant::now();
        match store.write_group(&group) {
            Ok(()) => report(DiskReport::Synced {
                token,
                took: start.elapsed(),
            }),
            Err(e) => {
                log::error!(target: "store", "disk write failed; all later writes are dropped: {e}");
                return report(DiskReport::Failed(e));
            }
        }
    }
}
