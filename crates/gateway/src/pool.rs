//! Connections to backend servers.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use quick_error::quick_error;
use tokio::net::TcpStream;
use wire::http::HttpConnection;

/// Time in which a connection must stand; a lost packet is sent again after a second or more.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without traffic for which a connection is kept where its backend server says nothing.
const KEPT_IDLE: Duration = Duration::from_secs(8);

/// Part of the time that a backend server says it keeps an idle connection.
const KEPT_SHARE: f64 = 0.9;

/// Time without traffic up to which a connection is taken to be alive for a request that must
/// not be sent twice.
pub const FRESH_IDLE: Duration = Duration::from_secs(4);

/// Longest time that sent bytes stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

quick_error! {
    /// Why there is no connection.
    #[derive(Debug)]
    pub enum ConnectError {
        /// The network refused it.
        Io(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// The HTTP library refused it.
        Http(err: hyper::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// It took too long.
        Late {
            display("connecting took too long")
        }
    }
}

/// A connection that carries one request at a time. Dropping it closes the socket.
#[derive(Debug)]
pub struct ServerConnection {
    /// What carries the requests.
    pub http: HttpConnection<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub reused: bool,
    idle_since: Instant,
    idle_limit: Duration,
}

impl ServerConnection {
    async fn open(address: SocketAddr) -> Result<Self, ConnectError> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| ConnectError::Late)??;
        let socket = socket2::SockRef::from(&stream);
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let builder = http1::Builder::new();
        let http = HttpConnection::start::<ConnectError>(stream, builder, ()).await?;
        Ok(Self {
            http,
            reused: false,
            idle_since: Instant::now(),
            idle_limit: KEPT_IDLE,
        })
    }

    /// Notes how long the backend server keeps an idle connection.
    pub fn set_idle_limit(&mut self, announced: Duration) {
        self.idle_limit = announced.mul_f64(KEPT_SHARE);
    }
}

/// Idle connections by backend server.
#[derive(Debug, Default)]
pub struct ServerPool {
    idle: Mutex<HashMap<SocketAddr, Vec<ServerConnection>>>,
}

impl ServerPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the connection that was used last, or opens one.
    ///
    /// # Errors
    ///
    /// Fails where the backend server can't be reached.
    pub async fn take(
        &self,
        address: SocketAddr,
        longest_idle: Duration,
    ) -> Result<ServerConnection, ConnectError> {
        let now = Instant::now();
        while let Some(mut connection) = self.take_idle(address) {
            let idle = now.saturating_duration_since(connection.idle_since);
            let fresh = idle < connection.idle_limit.min(longest_idle);
            if fresh && connection.http.get_ready().await {
                return Ok(connection);
            }
        }
        ServerConnection::open(address).await
    }

    /// Keeps a connection for the next request.
    pub fn put(&self, address: SocketAddr, mut connection: ServerConnection) {
        connection.reused = true;
        connection.idle_since = Instant::now();
        self.lock().entry(address).or_default().push(connection);
    }

    /// Closes the connections that were idle for too long.
    pub fn close_idle(&self, now: Instant) {
        self.lock().retain(|_, idle| {
            idle.retain(|connection| {
                now < connection.idle_since + connection.idle_limit
                    && !connection.http.sender.is_closed()
            });
            !idle.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr) -> Option<ServerConnection> {
        self.lock().get_mut(&address)?.pop()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<ServerConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
