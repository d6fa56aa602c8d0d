//! Start and run loop of the replica, and the leader transfer before a planned stop.

use std::time::{Duration, Instant};

use async_std::{future, task};
use clock::pause::{self, PauseDetector};
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

/// Time within which the leadership is transferred before a planned stop.
const LEADER_TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between checks whether a leader transfer is complete.
const LEADER_TRANSFER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Delay before each attempt to reopen the data folder after a disk failure.
const REOPEN_DELAY: Duration = Duration::from_millis(250);

quick_error! {
    /// Reason why a replica can't start.
    #[derive(Debug)]
    pub enum DirectorError {
        /// The data folder can't be opened.
        Store(err: StoreError) {
            from()
            source(err)
            display("the data folder can't be opened: {err}")
        }
        /// The snapshot can't be decoded.
        Snapshot(err: postcard::Error) {
            from()
            display("the snapshot in the data folder can't be decoded: {err}")
        }
        /// The mesh address can't be bound, or the disk thread can't be started.
        Io(err: std::io::Error) {
            from()
            source(err)
            display("the mesh address can't be bound or the disk thread can't be started: {err}")
        }
    }
}

/// Starts the replica and returns the handle through which listeners call it.
///
/// # Errors
///
/// Fails where the data folder, its snapshot or the mesh address can't be used.
pub fn start(
    settings: DirectorSettings,
    metrics: DirectorMetrics,
) -> Result<DirectorHandle, DirectorError> {
    let own = address::replica_at(settings.mesh_address);
    let (queue, mut calls) = CoreQueue::new();
    let mesh = MeshLinks::new(own);
    let handle = DirectorHandle::new(own, queue.clone(), mesh.clone());
    let (mut core, mut disk) = open(&settings, &queue, &metrics)?;
    MeshService::new(handle.clone()).serve(settings.mesh_address.into())?;
    task::spawn(async move {
        while run_core(core, &mut calls, disk, &mesh).await == CoreExit::DiskFailed {
            (core, disk) = reopen(&settings, &queue, &metrics, &mut calls).await;
        }
    });
    Ok(handle)
}

/// Opens the data folder, restores the core from it and starts the disk thread.
fn open(
    settings: &DirectorSettings,
    queue: &CoreQueue,
    metrics: &DirectorMetrics,
) -> Result<(DirectorCore, DiskWriter), DirectorError> {
    let own = address::replica_at(settings.mesh_address);
    let (store, recovered) = ReplicaStore::open(&settings.folder, own)?;
    log::info!(
        target: "store",
        "data folder opened; folder={} blank={} snapshot={} entries={}",
        settings.folder.display(),
        recovered.blank,
        recovered.snapshot.index,
        recovered.entries.len()
    );
    let reports = queue.clone();
    let disk = DiskWriter::start(store, move |report| {
        if let DiskReport::Failed(e) = &report {
            log::error!(target: "store", "disk write failed, data folder will be reopened; error={e}");
        }
        reports.send_blocking(CoreCall::Disk(report));
    })?;
    let core = DirectorCore::new(Instant::now(), settings.clone(), recovered, metrics.clone())?;
    Ok((core, disk))
}

/// Reopens the data folder, with retries until it succeeds. Calls that are queued meanwhile are
/// dropped without an answer, and so are reports of the failed disk.
async fn reopen(
    settings: &DirectorSettings,
    queue: &CoreQueue,
    metrics: &DirectorMetrics,
    calls: &mut mpsc::Receiver<CoreCall>,
) -> (DirectorCore, DiskWriter) {
    loop {
        task::sleep(REOPEN_DELAY).await;
        while calls.try_recv().is_ok() {}
        match open(settings, queue, metrics) {
            Ok((mut core, disk)) => {
                core.postpone_election();
                return (core, disk);
            }
            Err(e) => {
                log::warn!(target: "store", "data folder not reopened, will retry; error={e}")
            }
        }
    }
}

/// Transfers the leadership to another voter before a planned stop, and returns once this replica
/// isn't the leader or two seconds have passed.
pub async fn transfer_leadership(handle: &DirectorHandle) {
    handle.core().offer(CoreCall::TransferLeadership);
    let until = Instant::now() + LEADER_TRANSFER_TIMEOUT;
    while Instant::now() < until {
        let dump = handle.dump().await;
        if dump.is_none_or(|dump| dump.quorum.role != "leader") {
            return;
        }
        task::sleep(LEADER_TRANSFER_POLL_INTERVAL).await;
    }
}

/// Reason why the run loop of a core ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CoreExit {
    /// All senders of calls were dropped.
    QueueClosed,
    /// The disk failed.
    DiskFailed,
}

/// Passes calls and timer events to the core, and performs the actions that it returns.
async fn run_core(
    mut core: DirectorCore,
    calls: &mut mpsc::Receiver<CoreCall>,
    disk: DiskWriter,
    mesh: &MeshLinks,
) -> CoreExit {
    let mut detector = PauseDetector::new(pause::boot_time());
    loop {
        let left = core.deadline().saturating_duration_since(Instant::now());
        detector.begin_wait(pause::boot_time(), left);
        let call = match calls.try_recv() {
            Ok(call) => Some(call),
            Err(_) => match future::timeout(left, calls.recv()).await {
                Ok(None) => return CoreExit::QueueClosed,
                Ok(call) => call,
                Err(_) => None,
            },
        };
        // Expired timers are handled before the call, so that a process that was paused notices,
        // for example, the end of its lease before it answers.
        let now = Instant::now();
        if let Some(delay) = detector.end_wait(pause::boot_time()) {
            log::warn!(target: "state", "paused, confirming the state anew; delay_ms={}", delay.as_millis());
            core.handle_pause(now);
        }
        if core.deadline() <= now {
            core.tick(now);
        }
        if let Some(call) = call {
            core.handle_call(now, call);
        }
        for action in core.take_actions() {
            match action {
                CoreAction::Write(write) => disk.queue(write),
                CoreAction::Send(to, message) => {
                    mesh.send(address::address_of(to), &MeshRequest::Quorum(message));
                }
                CoreAction::Report(to, report) => {
                    let request = MeshRequest::Gossip(Box::new(report));
                    for replica in to {
                        mesh.send(address::address_of(replica), &request);
                    }
                }
            }
        }
        if core.has_failed() {
            return CoreExit::DiskFailed;
        }
    }
}
