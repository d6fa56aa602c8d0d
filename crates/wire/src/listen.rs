//! Limits on incoming gRPC connections: their number, and the time until a valid token arrives.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::stream::{Stream, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};
use tonic::transport::server::{Connected, TcpIncoming};

/// Maximum number of open connections from other processes.
///
/// Further connections are closed immediately, so that they don't use up the file descriptors that
/// the process needs for its own files.
pub const MAX_CONNECTIONS: usize = 512;

/// Time within which the first call with a valid token must arrive on a connection; otherwise the
/// connection is closed.
pub const AUTH_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits the connections of a listener by [`MAX_CONNECTIONS`] and [`AUTH_TIMEOUT`].
///
/// The service must use a [`crate::token::TokenChecker`], which marks connections as authenticated;
/// all others are closed after the timeout.
pub fn limit_connections(incoming: TcpIncoming) -> impl Stream<Item = io::Result<BoundedStream>> {
    let open = Arc::new(AtomicUsize::new(0));
    incoming.filter_map(move |accepted| {
        let stream = match accepted {
            Ok(stream) => BoundedStream::accept(stream, &open).map(Ok),
            Err(e) => Some(Err(e)),
        };
        async move { stream }
    })
}

/// Records whether a call with a valid token has arrived on a connection; clones share the record.
#[derive(Debug, Clone, Default)]
pub struct ConnectionAuth(Arc<AtomicBool>);

impl ConnectionAuth {
    /// Marks the connection as authenticated.
    pub fn set_authenticated(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Returns whether the connection is authenticated.
    pub fn is_authenticated(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Permit that counts one open connection until it is dropped.
#[derive(Debug)]
struct ConnectionPermit(Arc<AtomicUsize>);

impl ConnectionPermit {
    /// Reserves a permit; returns `None` if [`MAX_CONNECTIONS`] connections are open.
    fn reserve(open: &Arc<AtomicUsize>) -> Option<Self> {
        let permit = Self(Arc::clone(open));
        let before = open.fetch_add(1, Ordering::AcqRel);
        (before < MAX_CONNECTIONS).then_some(permit)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// An incoming connection that is closed if it is not authenticated within [`AUTH_TIMEOUT`].
#[derive(Debug)]
pub struct BoundedStream {
    stream: TcpStream,
    auth: ConnectionAuth,
    /// Timer of the authentication; `None` once the connection is authenticated.
    timer: Option<Pin<Box<Sleep>>>,
    _permit: ConnectionPermit,
}

impl BoundedStream {
    /// Accepts a connection; returns `None`, which closes it, if too many connections are open.
    fn accept(stream: TcpStream, open: &Arc<AtomicUsize>) -> Option<Self> {
        let permit = ConnectionPermit::reserve(open)?;
        Some(Self {
            stream,
            auth: ConnectionAuth::default(),
            timer: Some(Box::pin(sleep(AUTH_TIMEOUT))),
            _permit: permit,
        })
    }

    /// Returns whether the authentication timed out, and stops the timer of an authenticated
    /// connection.
    fn poll_auth_timeout(&mut self, context: &mut Context<'_>) -> bool {
        if self.auth.is_authenticated() {
            self.timer = None;
        }
        match &mut self.timer {
            Some(timer) => timer.as_mut().poll(context).is_ready(),
            None => false,
        }
    }
}

impl Connected for BoundedStream {
    type ConnectInfo = ConnectionAuth;

    fn connect_info(&self) -> Self::ConnectInfo {
        self.auth.clone()
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.poll_auth_timeout(context) {
            return Poll::Ready(Err(io::Error::from(io::ErrorKind::TimedOut)));
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
