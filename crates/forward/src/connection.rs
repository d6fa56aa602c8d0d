//! Connections to backend servers, and the socket options of all connections.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use quick_error::quick_error;
use tokio::net::TcpStream;
use wire::http::HttpConnection;

use crate::body::RequestBody;
use crate::pool::ConnectionPermit;
use crate::settings::ForwardSettings;

/// Idle time of a connection before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of unanswered keepalive probes after which a connection is closed.
const MAX_KEEPALIVE_PROBES: u32 = 3;
/// Time after which a connection to a backend server is closed if sent bytes are unacknowledged.
const BACKEND_UNACKED_TIMEOUT: Duration = Duration::from_secs(10);

quick_error! {
    /// Reason for which a connection to a backend server could not be opened.
    #[derive(Debug)]
    pub enum ConnectError {
        /// The TCP connection could not be established.
        Io(err: io::Error) {
            from()
            source(err)
            display("can't connect: {err}")
        }
        /// The HTTP handshake failed.
        Http(err: hyper::Error) {
            from()
            source(err)
            display("can't start HTTP on the connection: {err}")
        }
        /// The TCP connection was not established within the connect timeout.
        TimedOut {
            display("can't connect: the connect timeout has passed")
        }
    }
}

/// Outcome of sending a request.
pub(crate) enum SendOutcome {
    /// The head of a response arrived.
    Head(Response<Incoming>),
    /// No byte of the request was written; the request is returned.
    NotSent(Request<RequestBody>),
    /// The connection failed after bytes of the request may have been written.
    Broken(hyper::Error),
}

/// Connection to a backend server that carries one request at a time. Dropping it closes the
/// socket.
#[derive(Debug)]
pub(crate) struct BackendConnection {
    connection: HttpConnection<RequestBody>,
    last_response_at: Instant,
}

impl BackendConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the backend server can't be reached within the connect timeout.
    pub(crate) async fn open(
        address: SocketAddr,
        permit: ConnectionPermit,
        settings: &ForwardSettings,
    ) -> Result<Self, ConnectError> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(settings.connect_timeout, connecting)
            .await
            .map_err(|_| ConnectError::TimedOut)??;
        configure_socket(&stream, BACKEND_UNACKED_TIMEOUT)?;
        let mut builder = http1::Builder::new();
        builder.max_headers(settings.max_headers);
        let connection = HttpConnection::start::<ConnectError>(stream, builder, permit).await?;
        Ok(Self {
            connection,
            last_response_at: Instant::now(),
        })
    }

    /// Returns the time at which the last response was complete, or at which the connection was
    /// opened if there was none.
    pub(crate) fn last_response_at(&self) -> Instant {
        self.last_response_at
    }

    /// Records that a response was complete.
    pub(crate) fn record_response(&mut self, now: Instant) {
        self.last_response_at = now;
        self.connection.end_exchange();
    }

    /// Waits a short time until the connection accepts its next request. Returns false if the
    /// connection is not ready by then, was closed, or has received bytes that belong to no
    /// request.
    pub(crate) async fn wait_ready(&mut self) -> bool {
        self.connection.get_ready().await
    }

    /// Sends a request and waits for the head of its response.
    pub(crate) async fn send(&mut self, request: Request<RequestBody>) -> SendOutcome {
        self.connection.begin_head();
        match self.connection.sender.try_send_request(request).await {
            Ok(response) => {
                // The body is passed on as it comes, so its size has no limit.
                self.connection.begin_body(usize::MAX);
                SendOutcome::Head(response)
            }
            Err(mut err) => match err.take_message() {
                Some(request) => SendOutcome::NotSent(request),
                None => SendOutcome::Broken(err.into_error()),
            },
        }
    }
}

/// Sets the options of a TCP socket: keepalive probes close the connection if the peer is
/// unreachable, unacknowledged bytes close it after `unacked_timeout`, and bytes are sent without
/// delay.
///
/// # Errors
///
/// Fails if the operating system rejects an option.
pub(crate) fn configure_socket(stream: &TcpStream, unacked_timeout: Duration) -> io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(unacked_timeout))?;
    socket.set_tcp_nodelay(true)
}
