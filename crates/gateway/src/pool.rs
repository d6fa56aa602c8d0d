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
use xxhash_rust::xxh3;

/// Time limit for opening a connection. It is shorter than TCP's retransmission timeout of a second
/// or more, so that a lost packet leads to a retry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle timeout of a connection whose backend server announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Share of the announced idle timeout after which the host closes a connection, so that no request
/// is sent while the backend server closes it.
const IDLE_TIMEOUT_SHARE: f64 = 0.9;

/// Longest idle timeout that a backend server can announce.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Time limit of the check whether anything listens at an address.
const LISTENER_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Number of refused requests after which a connection is closed.
const MAX_REFUSALS: usize = 64;

/// Idle time up to which a connection is assumed to be open for a request that must not run twice.
pub const UNSAFE_IDLE_LIMIT: Duration = Duration::from_secs(4);

/// Longest time for which sent bytes may stay unacknowledged.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

quick_error! {
    /// Error that occurs when a connection is opened.
    #[derive(Debug)]
    pub enum ConnectError {
        /// The connection couldn't be opened, or a socket option couldn't be set.
        Io(err: io::Error) {
            from()
            source(err)
            display("opening the connection failed: {err}")
        }
        /// HTTP couldn't be started on the connection.
        Http(err: hyper::Error) {
            from()
            source(err)
            display("starting HTTP on the connection failed: {err}")
        }
        /// The connection wasn't open within the time limit.
        Timeout {
            display("the connection was not open after {CONNECT_TIMEOUT:?}")
        }
    }
}

/// A connection that carries one request at a time. Dropping it closes the socket.
#[derive(Debug)]
pub struct ServerConnection {
    /// The HTTP connection.
    pub http: HttpConnection<Full<Bytes>>,
    /// Whether the connection has carried a request before.
    pub reused: bool,
    idle_since: Instant,
    idle_timeout: Duration,
    /// Digests of the ids of requests that were refused on the connection.
    refused: Vec<u64>,
}

impl ServerConnection {
    async fn open(address: SocketAddr) -> Result<Self, ConnectError> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| ConnectError::Timeout)??;
        let socket = socket2::SockRef::from(&stream);
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        let builder = http1::Builder::new();
        let http = HttpConnection::start::<ConnectError>(stream, builder, ()).await?;
        Ok(Self {
            http,
            reused: false,
            idle_since: Instant::now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            refused: Vec::new(),
        })
    }

    /// Returns whether a request with this id was refused on the connection. Another refusal of the id
    /// may be a late copy of the first one.
    pub fn has_refused(&self, id: &str) -> bool {
        self.refused.contains(&xxh3::xxh3_64(id.as_bytes()))
    }

    /// Records the refusal of a request. Returns whether the connection may carry further requests: it
    /// remembers a bounded number of refusals.
    pub fn record_refusal(&mut self, id: &str) -> bool {
        self.refused.push(xxh3::xxh3_64(id.as_bytes()));
        self.refused.len() < MAX_REFUSALS
    }

    /// Sets the idle timeout from the one that the backend server announces.
    pub fn set_idle_timeout(&mut self, announced: Duration) {
        self.idle_timeout = announced.min(MAX_IDLE_TIMEOUT).mul_f64(IDLE_TIMEOUT_SHARE);
    }
}

/// Returns whether nothing listens at an address although its host answers: the process that did has
/// ended.
pub async fn refuses_connections(address: SocketAddr) -> bool {
    let connecting = TcpStream::connect(address);
    match tokio::time::timeout(LISTENER_CHECK_TIMEOUT, connecting).await {
        Ok(Err(e)) => e.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Idle connections by the address of the backend server.
#[derive(Debug, Default)]
pub struct ServerPool {
    idle: Mutex<HashMap<SocketAddr, Vec<ServerConnection>>>,
}

impl ServerPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes the most recently used connection from the pool, or opens a new one. Connections
    /// that were idle for `max_idle` or longer aren't reused.
    ///
    /// # Errors
    ///
    /// Returns an error if a new connection can't be opened.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        max_idle: Duration,
    ) -> Result<ServerConnection, ConnectError> {
        let now = Instant::now();
        while let Some(mut connection) = self.pop_idle(address) {
            let idle = now.saturating_duration_since(connection.idle_since);
            let reusable = idle < connection.idle_timeout.min(max_idle);
            if reusable && connection.http.get_ready().await {
                return Ok(connection);
            }
        }
        ServerConnection::open(address).await
    }

    /// Returns a connection to the pool for the next request.
    pub fn release(&self, address: SocketAddr, mut connection: ServerConnection) {
        connection.reused = true;
        connection.idle_since = Instant::now();
        self.lock().entry(address).or_default().push(connection);
    }

    /// Closes the connections whose idle timeout has passed, and drops those that the backend
    /// server has closed.
    pub fn close_idle(&self, now: Instant) {
        self.lock().retain(|_, idle| {
            idle.retain(|connection| {
                now.saturating_duration_since(connection.idle_since) < connection.idle_timeout
                    && !connection.http.sender.is_closed()
            });
            !idle.is_empty()
        });
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<ServerConnection> {
        self.lock().get_mut(&address)?.pop()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<ServerConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
