//! One connection to a backend server.

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
use crate::pool::OpenPermit;
use crate::settings::ForwardSettings;

/// Time without traffic before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Probes without an answer after which a connection ends.
const KEEPALIVE_PROBES: u32 = 3;
/// Longest time that sent bytes stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(10);

quick_error! {
    /// Why a connection could not be opened.
    #[derive(Debug)]
    pub enum ConnectError {
        /// The network refused it.
        Io(err: io::Error) {
            from()
            source(err)
            display("can't connect: {err}")
        }
        /// The HTTP library refused it.
        Http(err: hyper::Error) {
            from()
            source(err)
            display("can't start HTTP: {err}")
        }
        /// It took too long.
        Late {
            display("connecting took too long")
        }
    }
}

/// How sending a request ended.
pub(crate) enum SendEnd {
    /// The head of an answer came.
    Head(Response<Incoming>),
    /// No byte of the request was written.
    NotSent(Request<RequestBody>),
    /// The connection failed after the request may have been written.
    Broken(hyper::Error),
}

/// One connection to a backend server, which carries one request at a time. Dropping it closes
/// the socket.
#[derive(Debug)]
pub(crate) struct BackendConnection {
    connection: HttpConnection<RequestBody>,
    last_answer: Instant,
}

impl BackendConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails where the backend server can't be reached in time.
    pub(crate) async fn open(
        address: SocketAddr,
        permit: OpenPermit,
        settings: &ForwardSettings,
    ) -> Result<Self, ConnectError> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(settings.connect_timeout, connecting)
            .await
            .map_err(|_| ConnectError::Late)??;
        set_timeouts(&stream, USER_TIMEOUT)?;
        let mut builder = http1::Builder::new();
        builder.max_headers(settings.max_headers);
        let connection = HttpConnection::start::<ConnectError>(stream, builder, permit).await?;
        Ok(Self {
            connection,
            last_answer: Instant::now(),
        })
    }

    /// Returns when the last whole answer came, or when the connection was opened.
    pub(crate) fn last_answer(&self) -> Instant {
        self.last_answer
    }

    /// Records that a whole answer came.
    pub(crate) fn set_answered(&mut self, now: Instant) {
        self.last_answer = now;
    }

    /// Waits shortly until the connection can take its next request. Gives false for a connection
    /// that closed, or on which bytes wait that nobody asked for.
    pub(crate) async fn get_ready(&mut self) -> bool {
        self.connection.get_ready().await
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(&mut self, request: Request<RequestBody>) -> SendEnd {
        match self.connection.sender.try_send_request(request).await {
            Ok(response) => SendEnd::Head(response),
            Err(mut err) => match err.take_message() {
                Some(request) => SendEnd::NotSent(request),
                None => SendEnd::Broken(err.into_error()),
            },
        }
    }
}

/// Ends a connection whose other side is gone or takes no bytes, after a time.
///
/// # Errors
///
/// Fails where the socket refuses an option.
pub(crate) fn set_timeouts(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(limit))?;
    socket.set_tcp_nodelay(true)
}
