//! The thread that writes to the disk.

use std::io;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use crate::error::StoreError;
use crate::replica::ReplicaStore;
use quorum::event::PersistWrite;
use quorum::ids;

/// What became of a group of writes.
#[derive(Debug)]
pub enum DiskReport {
    /// All writes up to a token are synced.
    Synced {
        /// The last of them.
        token: ids::PersistToken,
        /// Time that the group took.
        took: Duration,
    },
    /// The disk failed; no later write is taken.
    Failed(StoreError),
}

/// Hands writes to a thread that makes them durable in order, as many at a time as wait.
#[derive(Debug)]
pub struct DiskWriter {
    writes: mpsc::Sender<PersistWrite>,
}

impl DiskWriter {
    /// Most writes that share one sync.
    pub const MAX_GROUP: usize = 256;

    /// Starts the thread; `report` is called on it after each group.
    ///
    /// # Errors
    ///
    /// Fails where the thread can't be started.
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

    /// Queues a write. Where the thread has ended after a failure, the write is dropped: the
    /// failure was reported.
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
        group.extend(queue.try_iter().take(DiskWriter::MAX_GROUP - 1));
        let token = group.last().map_or(0, |write| write.token);
        let start = Instant::now();
        match store.write_group(&group) {
            Ok(()) => report(DiskReport::Synced {
                token,
                took: start.elapsed(),
            }),
            Err(e) => {
                log::error!(target: "store", "the disk failed, nothing more is acknowledged: {e}");
                return report(DiskReport::Failed(e));
            }
        }
    }
}
