//! Starts, runs and stops the replica.

use std::time::{Duration, Instant};

use async_std::{future, task};
use quick_error::quick_error;
use store::error::StoreError;
use store::replica::ReplicaStore;
use store::writer::{DiskReport, DiskWriter};
use tokio::sync::mpsc;

use crate::address;
use crate::call::{CoreAction, CoreCall};
use crate::core::DirectorCore;
use crate::handle::{CoreQueue, DirectorHandle};
use crate::mesh::MeshLinks;
use crate::message::MeshRequest;
use crate::metrics::DirectorMetrics;
use crate::service::MeshService;
use crate::settings::DirectorSettings;

/// Time in which the leadership is handed over at a planned stop.
const HAND_OVER_BOUND: Duration = Duration::from_secs(2);

/// Pause between two looks while the process stops.
const STOP_PAUSE: Duration = Duration::from_millis(20);

/// Pause before a folder whose disk failed is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(250);

quick_error! {
    /// Why a replica could not start.
    #[derive(Debug)]
    pub enum DirectorError {
        /// Its folder can't be used.
        Store(err: StoreError) {
            from()
            source(err)
            display("the data folder: {err}")
        }
        /// Its snapshot can't be read.
        Snapshot(err: postcard::Error) {
            from()
            display("the snapshot: {err}")
        }
        /// An address or thread can't be had.
        Io(err: std::io::Error) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// Starts the replica and returns what its listeners use.
///
/// # Errors
///
/// Fails where the folder or the address can't be used.
pub fn start(
    settings: DirectorSettings,
    metrics: DirectorMetrics,
) -> Result<DirectorHandle, DirectorError> {
    let own = address::replica_at(settings.mesh);
    let (queue, mut calls) = CoreQueue::new();
    let mesh = MeshLinks::new(own);
    let handle = DirectorHandle::new(own, queue.clone(), mesh.clone());
    let (mut core, mut disk) = open(&settings, &queue, &metrics)?;
    MeshService::new(handle.clone()).serve(settings.mesh.into())?;
    task::spawn(async move {
        while run_core(core, &mut calls, disk, &mesh).await == CoreEnd::DiskFailed {
            (core, disk) = reopen(&settings, &queue, &metrics, &mut calls).await;
        }
    });
    Ok(handle)
}

/// Opens the folder and creates the core and the disk's thread from it.
fn open(
    settings: &DirectorSettings,
    queue: &CoreQueue,
    metrics: &DirectorMetrics,
) -> Result<(DirectorCore, DiskWriter), DirectorError> {
    let own = address::replica_at(settings.mesh);
    let (store, recovered) = ReplicaStore::open(&settings.folder, own)?;
    log::info!(
        target: "store",
        "folder opened; folder={} blank={} snapshot={} entries={}",
        settings.folder.display(),
        recovered.blank,
        recovered.snapshot.index,
        recovered.entries.len()
    );
    let reports = queue.clone();
    let disk = DiskWriter::start(store, move |report| {
        if let DiskReport::Failed(e) = &report {
            log::error!(target: "store", "disk failed; error={e}");
        }
        reports.send_blocking(CoreCall::Disk(report));
    })?;
    let core = DirectorCore::new(Instant::now(), settings.clone(), recovered, metrics.clone())?;
    Ok((core, disk))
}

/// Opens the folder again and again until its disk works. What was asked meanwhile is not
/// answered, and what the disk reported of before is dropped.
async fn reopen(
    settings: &DirectorSettings,
    queue: &CoreQueue,
    metrics: &DirectorMetrics,
    calls: &mut mpsc::Receiver<CoreCall>,
) -> (DirectorCore, DiskWriter) {
    loop {
        task::sleep(REOPEN_PAUSE).await;
        while calls.try_recv().is_ok() {}
        match open(settings, queue, metrics) {
            Ok(opened) => return opened,
            Err(e) => log::warn!(target: "store", "folder not opened; error={e}"),
        }
    }
}

/// Hands the leadership over before a planned stop.
pub async fn stop(handle: &DirectorHandle) {
    handle.core().offer(CoreCall::HandOver);
    let until = Instant::now() + HAND_OVER_BOUND;
    while Instant::now() < until {
        let dump = handle.dump().await;
        if dump.is_none_or(|dump| dump.quorum.role != "leader") {
            return;
        }
        task::sleep(STOP_PAUSE).await;
    }
}

/// Why a core runs no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CoreEnd {
    /// Nobody can call it any more.
    Stopped,
    /// Its disk failed.
    DiskFailed,
}

/// Feeds calls and time to the core, and does what it asks for.
async fn run_core(
    mut core: DirectorCore,
    calls: &mut mpsc::Receiver<CoreCall>,
    disk: DiskWriter,
    mesh: &MeshLinks,
) -> CoreEnd {
    loop {
        let left = core.deadline().saturating_duration_since(Instant::now());
        let call = match calls.try_recv() {
            Ok(call) => Some(call),
            Err(_) => match future::timeout(left, calls.recv()).await {
                Ok(None) => return CoreEnd::Stopped,
                Ok(call) => call,
                Err(_) => None,
            },
        };
        // What is due goes first, so that a process that stood still learns of it before it acts.
        let now = Instant::now();
        if core.deadline() <= now {
            core.tick(now);
        }
        if let Some(call) = call {
            core.handle(now, call);
        }
        for action in core.take_actions() {
            match action {
                CoreAction::Write(write) => disk.queue(write),
                CoreAction::Send(to, message) => {
                    mesh.post(address::address_of(to), &MeshRequest::Quorum(message));
                }
                CoreAction::Report(to, report) => {
                    let request = MeshRequest::Heard(Box::new(report));
                    for replica in to {
                        mesh.post(address::address_of(replica), &request);
                    }
                }
            }
        }
        if core.has_failed() {
            return CoreEnd::DiskFailed;
        }
    }
}
