//! Starts, runs and stops the replica.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::{future, task};
use feed::holder::StateHolder;
use feed::service::FeedService;
use futures_util::FutureExt;
use signal_hook::consts::{SIGINT, SIGTERM};
use store::replica::ReplicaStore;
use telemetry::metrics::MetricRegistry;
use tokio::sync::mpsc;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::server::TcpIncoming;
use tonic::transport::Server;
use wire::{dial, listen};

use crate::call::{CoreCall, CoreHandle};
use crate::core::{CoreAction, ReplicaCore};
use crate::error::ControlError;
use crate::metrics::ControlMetrics;
use crate::operator::listener::OperatorListener;
use crate::operator::routes::{OperatorApp, OperatorContext};
use crate::peers::PeerLinks;
use crate::replica_service::ReplicaService;
use crate::settings::ControlSettings;
use crate::shares_service::SharesService;
use crate::submitter::LeaderCaller;
use store::writer::DiskWriter;

/// Most streams on one connection of another process.
const MAX_STREAMS: u32 = 256;

/// Time in which the leadership is handed over at a planned stop.
const HAND_OVER_BOUND: Duration = Duration::from_secs(2);

/// Time in which answers in flight are finished at a planned stop.
const FINISH_BOUND: Duration = Duration::from_secs(10);

/// Pause between two looks while the process stops.
const STOP_PAUSE: Duration = Duration::from_millis(20);

/// Runs a replica until the process is asked to stop.
///
/// # Errors
///
/// Fails where the data folder, an address or a signal can't be used.
pub async fn run(settings: ControlSettings) -> Result<(), ControlError> {
    let (store, recovered) = ReplicaStore::open(&settings.data_folder, settings.id)?;
    log::info!(
        target: "store",
        "opened {} at snapshot {} with {} entries after it",
        settings.data_folder.display(),
        recovered.snapshot.index,
        recovered.entries.len()
    );
    let registry = MetricRegistry::new()?;
    let metrics = ControlMetrics::new(&registry);
    let holder = Arc::new(StateHolder::new());
    let (handle, queue) = CoreHandle::new();
    let core = ReplicaCore::new(
        Instant::now(),
        settings.clone(),
        recovered,
        Arc::clone(&holder),
        metrics.clone(),
    )?;
    let reports = handle.clone();
    let disk = DiskWriter::start(store, move |report| {
        reports.send_blocking(CoreCall::Disk(report));
    })?;
    let peers = PeerLinks::start(settings.id, &settings.replicas, &settings.token);
    let caller = LeaderCaller::new(handle.clone(), peers.clone(), core.applied());
    serve_peers(&settings, &handle, &peers, &caller, &holder)?;
    let app = OperatorApp::new(OperatorContext {
        core: handle.clone(),
        caller,
        peers: peers.clone(),
        holder,
        token: settings.token.clone(),
        registry,
        metrics,
    });
    let listener = OperatorListener::new(app);
    let open = listener.open();
    let address = settings.operators;
    let socket = TcpListener::bind(address)
        .await
        .map_err(|e| ControlError::Listen(address, e))?;
    let accepting = task::spawn(listener.run(socket));
    let signals = watch_signals()?;
    task::spawn(run_core(core, queue, disk, peers));
    log::info!(target: "control", "replica {} answers operators on {address}", settings.id);
    signals.await;
    log::info!(target: "control", "stopping");
    accepting.cancel().await;
    stop(&handle, &open).await;
    Ok(())
}

/// Serves the other replicas and the entry hosts.
fn serve_peers(
    settings: &ControlSettings,
    handle: &CoreHandle,
    peers: &PeerLinks,
    caller: &LeaderCaller,
    holder: &Arc<StateHolder>,
) -> Result<(), ControlError> {
    let address = settings.own_address();
    let incoming = TcpIncoming::bind(address)
        .map_err(|e| ControlError::Listen(address, e))?
        .with_nodelay(Some(true));
    let checker = settings.token.checker();
    let replica = ReplicaService::new(settings.id, handle.clone(), caller.clone()).into_server();
    let shares = SharesService::new(handle.clone(), peers.clone()).into_server();
    let feed = FeedService::new(Arc::clone(holder)).into_server();
    let server = Server::builder()
        .http2_keepalive_interval(Some(dial::PING_INTERVAL))
        .http2_keepalive_timeout(Some(dial::PING_TIMEOUT))
        .max_concurrent_streams(MAX_STREAMS)
        .add_service(InterceptedService::new(replica, checker.clone()))
        .add_service(InterceptedService::new(shares, checker.clone()))
        .add_service(InterceptedService::new(feed, checker))
        .serve_with_incoming(listen::limit_connections(incoming));
    task::spawn(async move {
        if let Err(e) = server.await {
            log::error!(target: "peer", "processes are no longer served: {e}");
        }
    });
    Ok(())
}

/// Feeds calls and time to the core, and does what it asks for.
async fn run_core(
    mut core: ReplicaCore,
    mut queue: mpsc::Receiver<CoreCall>,
    disk: DiskWriter,
    peers: PeerLinks,
) {
    loop {
        let left = core.deadline().saturating_duration_since(Instant::now());
        let call = match queue.try_recv() {
            Ok(call) => Some(call),
            Err(_) => match future::timeout(left, queue.recv()).await {
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
                CoreAction::Send(to, message) => peers.send(to, &message),
                CoreAction::Beat(beat) => peers.send_beat(beat),
            }
        }
    }
}

/// Returns a future that ends when the process is asked to stop.
fn watch_signals() -> Result<impl std::future::Future<Output = ()>, ControlError> {
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])?;
    let (sender, asked) = tokio::sync::oneshot::channel();
    std::thread::Builder::new()
        .name("signals".to_string())
        .spawn(move || {
            let _ = signals.forever().next();
            let _ = sender.send(());
        })?;
    Ok(asked.map(|_| ()))
}

/// Hands the leadership over and finishes the answers in flight.
async fn stop(handle: &CoreHandle, open: &Arc<AtomicUsize>) {
    let until = Instant::now() + FINISH_BOUND;
    while open.load(Ordering::Acquire) > 0 && Instant::now() < until {
        task::sleep(STOP_PAUSE).await;
    }
    handle.send(CoreCall::HandOver).await;
    let until = Instant::now() + HAND_OVER_BOUND;
    while Instant::now() < until && leads(handle).await {
        task::sleep(STOP_PAUSE).await;
    }
}

async fn leads(handle: &CoreHandle) -> bool {
    let status = handle.ask(CoreCall::Status).await;
    status.is_some_and(|status| status.role == "leader")
}
