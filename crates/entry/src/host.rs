//! Start and graceful shutdown of an entry host.

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

use crate::api::EntryApi;
use crate::context::EntryContext;
use crate::keys::KeyClaims;
use crate::service::PeerService;
use crate::{exchange, keepers, leases, polls, steering};

/// Time for which a stopping host still accepts requests after cached look-up answers have expired.
pub const LOOKUP_EXPIRY_MARGIN: Duration = Duration::from_millis(1_000);

quick_error! {
    /// Error of the start of an entry host.
    #[derive(Debug)]
    pub enum HostError {
        /// The socket for callers could not be opened.
        Callers(address: std::net::SocketAddr, err: std::io::Error) {
            source(err)
            display("can't listen on --callers {address}: {err}")
        }
        /// The socket for other processes could not be opened.
        Peers(address: std::net::SocketAddr, err: std::io::Error) {
            source(err)
            display("can't listen on --peers {address}: {err}")
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
    /// Opens the sockets and starts all tasks of the host.
    ///
    /// # Errors
    ///
    /// Fails if a socket can't be opened.
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
        let api = EntryApi::new(Arc::clone(&context));
        let server = CallerServer::new(Arc::new(forwarder), Arc::new(api));
        let serving = task::spawn({
            let server = server.clone();
            async move { server.serve(listener).await }
        });
        log::info!(
            target: "host",
            "entry host {} listens for callers on {}",
            settings.name,
            settings.callers
        );
        Ok(Self {
            context,
            server,
            serving,
        })
    }

    /// Shuts the host down gracefully.
    ///
    /// New look-up answers no longer contain the host. It accepts requests until the answers that
    /// callers have cached expire, then closes idle connections and waits for in-flight requests.
    ///
    /// Returns whether all requests finished within [`EntrySettings::stop_bound`]; the others are
    /// cut.
    ///
    /// [`EntrySettings::stop_bound`]: crate::settings::EntrySettings::stop_bound
    pub async fn stop(self) -> bool {
        self.context.begin_shutdown();
        let lookup_expiry = self.context.settings.answer_max_age + LOOKUP_EXPIRY_MARGIN;
        log::info!(target: "host", "stopping; accepts requests for another {lookup_expiry:?}");
        self.context.clock.sleep(lookup_expiry).await;
        let report = self.server.stop(self.context.settings.stop_bound).await;
        self.serving.await;
        report.unfinished == 0
    }
}

/// Serves the calls of other processes of the system.
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
            log::error!(
                target: "peers",
                "server for other processes failed, their calls are refused until a restart: {e}"
            );
        }
    });
}

/// Starts the tasks that run until the process ends.
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
    task::spawn(keepers::run_recovery(Arc::clone(context)));
    task::spawn(exchange::run(Arc::clone(context)));
    task::spawn(leases::run(Arc::clone(context)));
    task::spawn(polls::run(Arc::clone(context)));
}
