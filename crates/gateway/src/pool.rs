//! Connections to backend servers.

use std::collections::HashMap;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::task;
use bytes::Bytes;
use futures_util::future;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

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

/// Longest wait for the library to finish with the request before.
const READY_WAIT: Duration = Duration::from_millis(5);

/// Most bytes of an answer's head.
const MAX_HEAD_BYTES: usize = 64 << 10;

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
    /// Sends requests on it.
    pub sender: http1::SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub reused: bool,
    socket: socket2::Socket,
    idle_since: Instant,
    idle_limit: Duration,
    _closer: oneshot::Sender<()>,
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
        let socket = socket.try_clone()?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        let (closer, closed) = oneshot::channel::<()>();
        task::spawn(async move {
            future::select(driver, closed).await;
        });
        Ok(Self {
            sender,
            reused: false,
            socket,
            idle_since: Instant::now(),
            idle_limit: KEPT_IDLE,
            _closer: closer,
        })
    }

    /// Tells whether the socket is open and has nothing to read, and the library can take a
    /// request, if need be after a short wait.
    async fn is_usable(&mut self) -> bool {
        if !self.sender.is_ready() {
            let ready = tokio::time::timeout(READY_WAIT, self.sender.ready()).await;
            if !matches!(ready, Ok(Ok(()))) {
                return false;
            }
        }
        let mut byte = [MaybeUninit::<u8>::uninit()];
        let peeked = self.socket.peek(&mut byte);
        matches!(peeked, Err(err) if err.kind() == io::ErrorKind::WouldBlock)
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
            if fresh && connection.is_usable().await {
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
                    && !connection.sender.is_closed()
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
