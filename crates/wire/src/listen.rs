//! Connections from other processes, bounded in number.

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

/// Most connections of other processes at once; more are closed unanswered, so that they don't take
/// the file descriptors that the process needs for its own files.
pub const MAX_CONNECTIONS: usize = 512;

/// Time in which a connection must carry a call with a valid token, or be closed.
pub const PROOF_BOUND: Duration = Duration::from_secs(5);

/// Bounds the connections of a listener; [`crate::token::TokenChecker`] keeps those open that
/// showed the token.
pub fn bounded(incoming: TcpIncoming) -> impl Stream<Item = io::Result<BoundedStream>> {
    let open = Arc::new(AtomicUsize::new(0));
    incoming.filter_map(move |accepted| {
        let stream = match accepted {
            Ok(stream) => BoundedStream::admit(stream, &open).map(Ok),
            Err(e) => Some(Err(e)),
        };
        async move { stream }
    })
}

/// Tells whether a connection has carried a call with a valid token.
#[derive(Debug, Clone, Default)]
pub struct ConnectionProof(Arc<AtomicBool>);

impl ConnectionProof {
    /// Notes that a call with a valid token came.
    pub fn give(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Tells whether such a call came.
    pub fn is_given(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Counts one open connection until it is dropped.
#[derive(Debug)]
struct ConnectionSlot(Arc<AtomicUsize>);

impl ConnectionSlot {
    fn take(open: &Arc<AtomicUsize>) -> Option<Self> {
        let slot = Self(Arc::clone(open));
        let before = open.fetch_add(1, Ordering::AcqRel);
        (before < MAX_CONNECTIONS).then_some(slot)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A connection that ends where it shows no valid token in time.
#[derive(Debug)]
pub struct BoundedStream {
    stream: TcpStream,
    proof: ConnectionProof,
    timer: Option<Pin<Box<Sleep>>>,
    _slot: ConnectionSlot,
}

impl BoundedStream {
    fn admit(stream: TcpStream, open: &Arc<AtomicUsize>) -> Option<Self> {
        let slot = ConnectionSlot::take(open)?;
        Some(Self {
            stream,
            proof: ConnectionProof::default(),
            timer: Some(Box::pin(sleep(PROOF_BOUND))),
            _slot: slot,
        })
    }

    /// Tells whether the time for showing a token has passed in vain.
    fn is_late(&mut self, context: &mut Context<'_>) -> bool {
        if self.proof.is_given() {
            self.timer = None;
        }
        match &mut self.timer {
            Some(timer) => timer.as_mut().poll(context).is_ready(),
            None => false,
        }
    }
}

impl Connected for BoundedStream {
    type ConnectInfo = ConnectionProof;

    fn connect_info(&self) -> Self::ConnectInfo {
        self.proof.clone()
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_late(context) {
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
