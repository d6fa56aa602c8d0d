//! Start and planned stop of an entry host.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use feed::plan::SourcePlan;
use feed::service::FeedService;
use feed::watcher::FeedWatcher;
use forward::forwarder::RequestForwarder;
use forward::metrics::ForwardMetrics;
use forward::routes::RouteTable;
use forward::server::CallerServer;
use forward::settings::ForwardSettings;
use quick_error::quick_error;
use tokio::net::TcpListener;
use tonic::codegen::InterceptedService;
use tonic::transport::server::TcpIncoming;
use tonic::transport::Server;
use wire::dial;
use wire::v1::peer_server::PeerServer;

use crate::answers::EntryAnswers;
use crate::context::EntryContext;
use crate::keys::KeyClaims;
use crate::service::PeerService;
use crate::{exchange, keepers, leases, polls, steering};

/// Time beyond callers' kept answers for which a stopping host still takes work.
pub const LAPSE_MARGIN: Duration = Duration::from_millis(1_000);

quick_error! {
    /// Why a host could not start.
    #[derive(Debug)]
    pub enum HostError {
        /// The address for callers can't be used.
        Callers(address: std::net::SocketAddr, err: std::io::Error) {
            source(err)
            display("--callers {address} can't be used: {err}")
        }
        /// The address for peers can't be used.
        Peers(address: std::net::SocketAddr, err: std::io::Error) {
            source(err)
            display("--peers {address} can't be used: {err}")
        }
    }
}

/// A running entry host.
pub struct EntryHost {
    context: Arc<EntryContext>,
    server: CallerServer,
    serving: task::JoinHandle<()>,
}

impl EntryHost {
    /// Opens the sockets and starts every part.
    ///
    /// # Errors
    ///
    /// Fails where a socket can't be opened.
    pub async fn start(context: Arc<EntryContext>) -> Result<Self, HostError> {
        let settings = &context.settings;
        let listener = TcpListener::bind(settings.callers)
            .await
            .map_err(|e| HostError::Callers(settings.callers, e))?;
        let incoming = TcpIncoming::bind(settings.peers)
            .map_err(|e| HostError::Peers(settings.peers, e))?
            .with_nodelay(Some(true));
        serve_peers(&context, incoming);
        start_tasks(&context);
        let routes = RouteTable::Steered(Arc::clone(context.steering.routes()));
        let claims = Arc::new(KeyClaims::new(Arc::clone(&context)));
        let forwarder = RequestForwarder::new(ForwardSettings::default(), Arc::new(routes), claims)
            .metrics(ForwardMetrics::new(&context.metrics.meter("forward")));
        let answers = EntryAnswers::new(Arc::clone(&context));
        let server = CallerServer::new(Arc::new(forwarder), Arc::new(answers));
        let serving = task::spawn({
            let server = server.clone();
            async move { server.serve(listener).await }
        });
        log::info!(target: "host", "{} listens for callers on {}", settings.name, settings.callers);
        Ok(Self {
            context,
            server,
            serving,
        })
    }

    /// Stops as planned: leaves the look-up answers, takes work until those that callers keep have
    /// lapsed, then closes connections and waits for running work.
    ///
    /// Returns whether nothing was cut.
    pub async fn stop(self) -> bool {
        self.context.begin_stop();
        let lapse = self.context.settings.answer_max_age + LAPSE_MARGIN;
        log::info!(target: "host", "stopping; takes work for another {lapse:?}");
        self.context.clock.sleep(lapse).await;
        let report = self.server.stop(self.context.settings.stop_bound).await;
        self.serving.await;
        report.left == 0
    }
}

/// Serves other processes of the system.
fn serve_peers(context: &Arc<EntryContext>, incoming: TcpIncoming) {
    let token = &context.settings.token;
    let feed = FeedService::new(Arc::clone(&context.holder)).into_server();
    let peer = PeerServer::new(PeerService::new(Arc::clone(context)))
        .max_decoding_message_size(dial::MAX_MESSAGE_BYTES);
    let server = Server::builder()
        .http2_keepalive_interval(Some(dial::PING_INTERVAL))
        .http2_keepalive_timeout(Some(dial::PING_TIMEOUT))
        .add_service(InterceptedService::new(feed, token.checker()))
        .add_service(InterceptedService::new(peer, token.checker()))
        .serve_with_incoming(wire::listen::limit_connections(incoming));
    task::spawn(async move {
        if let Err(e) = server.await {
            log::error!(target: "peers", "the server for peers ended: {e}");
        }
    });
}

/// Starts what runs for as long as the process does.
fn start_tasks(context: &Arc<EntryContext>) {
    let settings = &context.settings;
    let plan = SourcePlan::new(settings.name.clone(), settings.controls.clone());
    let watcher = FeedWatcher::new(
        settings.name.clone(),
        Arc::clone(&context.holder),
        plan,
        settings.token.clone(),
        context.clock.clone(),
    );
    task::spawn(watcher.run());
    task::spawn(steering::run(Arc::clone(context)));
    task::spawn(keepers::recover(Arc::clone(context)));
    task::spawn(exchange::run(Arc::clone(context)));
    task::spawn(leases::run(Arc::clone(context)));
    task::spawn(polls::run(Arc::clone(context)));
}
