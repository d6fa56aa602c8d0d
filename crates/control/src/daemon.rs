//! Start, run loop and planned stop of the replica.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::{future, task};
use feed::holder::StateHolder;
use feed::service::FeedService;
use futures_util::FutureExt;
use signal_hook::consts::{SIGINT, SIGTERM};
use store::writer::DiskWriter;
use telemetry::metrics::MetricRegistry;
use tokio::sync::mpsc;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::server::TcpIncoming;
use tonic::transport::Server;
use wire::{dial, listen};

use crate::call::{CoreCall, CoreHandle};
use crate::core::{CoreAction, ReplicaCore};
use crate::error::ControlError;
use crate::leader_client::LeaderClient;
use crate::metrics::ControlMetrics;
use crate::operator::listener::OperatorListener;
use crate::operator::routes::{OperatorApp, OperatorContext};
use crate::peers::PeerLinks;
use crate::reopener::{self, StoreReopener};
use crate::replica_service::ReplicaService;
use crate::settings::ControlSettings;
use crate::shares_service::SharesService;

/// Most concurrent streams on one connection of another process.
const MAX_STREAMS_PER_CONNECTION: u32 = 256;

/// Time within which the leadership is transferred at a planned stop.
const LEADER_TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which open connections of operators are drained at a planned stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which the progress of a planned stop is checked.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a replica until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails where the data folder can't be opened, an address can't be bound, the metrics can't be
/// registered, or a thread or signal handler can't be started.
pub async fn run(settings: ControlSettings) -> Result<(), ControlError> {
    let (store, recovered) = reopener::open(&settings)?;
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
    let disk = reopener::start_writer(store, &handle)?;
    let peers = PeerLinks::start(settings.id, &settings.replicas, &settings.token);
    let leader_client = LeaderClient::new(handle.clone(), peers.clone(), core.applied());
    serve_processes(&settings, &handle, &peers, &leader_client, &holder)?;
    let app = OperatorApp::new(OperatorContext {
        core: handle.clone(),
        leader_client,
        peers: peers.clone(),
        holder,
        token: settings.token.clone(),
        registry,
        metrics,
    });
    let listener = OperatorListener::new(app);
    let open = listener.open_connections();
    let address = settings.operators;
    let socket = TcpListener::bind(address)
        .await
        .map_err(|e| ControlError::Listen(address, e))?;
    let accepting = task::spawn(listener.run(socket));
    let signals = watch_signals()?;
    log::info!(target: "control", "replica {} listens for operators on {address}", settings.id);
    let reopener = StoreReopener::new(settings, handle.clone());
    task::spawn(run_core(core, queue, disk, peers, reopener));
    signals.await;
    log::info!(target: "control", "stopping");
    accepting.cancel().await;
    shut_down(&handle, &open).await;
    Ok(())
}

/// Starts the gRPC server for the other replicas and the entry hosts.
fn serve_processes(
    settings: &ControlSettings,
    handle: &CoreHandle,
    peers: &PeerLinks,
    leader_client: &LeaderClient,
    holder: &Arc<StateHolder>,
) -> Result<(), ControlError> {
    let address = settings.own_address();
    let incoming = TcpIncoming::bind(address)
        .map_err(|e| ControlError::Listen(address, e))?
        .with_nodelay(Some(true));
    let checker = settings.token.checker();
    let replica =
        ReplicaService::new(settings.id, handle.clone(), leader_client.clone()).into_server();
    let shares = SharesService::new(handle.clone(), peers.clone()).into_server();
    let feed = FeedService::new(Arc::clone(holder)).into_server();
    let server = Server::builder()
        .http2_keepalive_interval(Some(dial::PING_INTERVAL))
        .http2_keepalive_timeout(Some(dial::PING_TIMEOUT))
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .add_service(InterceptedService::new(replica, checker.clone()))
        .add_service(InterceptedService::new(shares, checker.clone()))
        .add_service(InterceptedService::new(feed, checker))
        .serve_with_incoming(listen::limit_connections(incoming));
    task::spawn(async move {
        if let Err(e) = server.await {
            log::error!(
                target: "peer",
                "gRPC server failed, other processes are no longer served: {e}"
            );
        }
    });
    Ok(())
}

/// Passes calls and timer events to the core, and carries out the actions that it returns. After a disk
/// failure the core answers as a failed replica until the data folder can be used again.
async fn run_core(
    mut core: ReplicaCore,
    mut queue: mpsc::Receiver<CoreCall>,
    mut disk: DiskWriter,
    peers: PeerLinks,
    mut reopener: StoreReopener,
) {
    loop {
        let deadline = core.deadline();
        let deadline = reopener
            .next_attempt()
            .map_or(deadline, |at| at.min(deadline));
        let remaining = deadline.saturating_duration_since(Instant::now());
        let call = match queue.try_recv() {
            Ok(call) => Some(call),
            Err(_) => match future::timeout(remaining, queue.recv()).await {
                Ok(None) => return,
                Ok(call) => call,
                Err(_) => None,
            },
        };
        // Expired timers are handled before the call, so that a process that was paused notices,
        // for example, the end of its lease before it answers.
        let now = Instant::now();
        if core.deadline() <= now {
            core.tick(now);
        }
        if let Some(call) = call {
            core.handle_call(now, call);
        }
        if let Some(reopened) = reopener.recover(now, &mut core) {
            disk = reopened;
        }
        for action in core.take_actions() {
            match action {
                CoreAction::Write(write) => disk.queue(write),
                CoreAction::Send(to, message) => peers.send(to, &message),
                CoreAction::Heartbeat(heartbeat) => peers.broadcast_heartbeat(heartbeat),
            }
        }
    }
}

/// Returns a future that completes when the process receives SIGTERM or SIGINT.
fn watch_signals() -> Result<impl std::future::Future<Output = ()>, ControlError> {
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])?;
    let (sender, stop_requested) = tokio::sync::oneshot::channel();
    std::thread::Builder::new()
        .name("signals".to_string())
        .spawn(move || {
            let _ = signals.forever().next();
            let _ = sender.send(());
        })?;
    Ok(stop_requested.map(|_| ()))
}

/// Waits until the open connections of operators are drained, then transfers the leadership.
///
/// Both steps are bounded in time.
async fn shut_down(handle: &CoreHandle, open: &Arc<AtomicUsize>) {
    let until = Instant::now() + DRAIN_TIMEOUT;
    while open.load(Ordering::Acquire) > 0 && Instant::now() < until {
        task::sleep(STOP_POLL_INTERVAL).await;
    }
    handle.send(CoreCall::TransferLeadership).await;
    let until = Instant::now() + LEADER_TRANSFER_TIMEOUT;
    while Instant::now() < until && is_leader(handle).await {
        task::sleep(STOP_POLL_INTERVAL).await;
    }
}

async fn is_leader(handle: &CoreHandle) -> bool {
    let status = handle.ask(CoreCall::Status).await;
    status.is_some_and(|status| status.role == "leader")
}
