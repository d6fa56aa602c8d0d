//! Starts, runs and stops the replica.

use std::time::{Duration, Instant};

use async_std::{future, task};
use store::writer::{DiskReport, DiskWriter};
use quick_error::quick_error;
use store::error::StoreError;
use store::replica::ReplicaStore;
use tokio::sync::mpsc;

use crate::address;
use crate::core::{CoreAction, CoreCall, DirectorCore};
use crate::handle::{CoreQueue, DirectorHandle};
use crate::mesh::MeshLinks;
use crate::message::MeshRequest;
use crate::service::MeshService;
use crate::settings::DirectorSettings;

/// Time in which the leadership is handed over at a planned stop.
const HAND_OVER_BOUND: Duration = Duration::from_secs(2);

/// Pause between two looks while the process stops.
const STOP_PAUSE: Duration = Duration::from_millis(20);

/// Exit code after the disk failed; whoever supervises the process starts it anew.
const DISK_FAILED_EXIT: i32 = 74;

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
pub fn start(settings: DirectorSettings) -> Result<DirectorHandle, DirectorError> {
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
    let (queue, calls) = CoreQueue::new();
    let reports = queue.clone();
    let disk = DiskWriter::start(store, move |report| {
        if let DiskReport::Failed(e) = &report {
            log::error!(target: "store", "disk failed; error={e}");
        }
        reports.send_blocking(CoreCall::Disk(report));
    })?;
    let mesh = MeshLinks::new(own);
    let address = settings.mesh.into();
    let core = DirectorCore::new(Instant::now(), settings, recovered)?;
    let handle = DirectorHandle::new(own, queue, mesh.clone());
    MeshService::new(handle.clone()).serve(address)?;
    task::spawn(run_core(core, calls, disk, mesh));
    Ok(handle)
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

/// Feeds calls and time to the core, and does what it asks for.
async fn run_core(
    mut core: DirectorCore,
    mut calls: mpsc::Receiver<CoreCall>,
    disk: DiskWriter,
    mesh: MeshLinks,
) {
    loop {
        let left = core.deadline().saturating_duration_since(Instant::now());
        let call = match calls.try_recv() {
            Ok(call) => Some(call),
            Err(_) => match future::timeout(left, calls.recv()).await {
                Ok(None) => return,
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
            std::process::exit(DISK_FAILED_EXIT);
        }
    }
}
