//! TCP stream whose reads are limited, so that a peer that sends without end can neither fill memory
//! nor keep the executor's thread.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Reads in a row that find bytes, after which the task yields. A parser that discards what it reads
/// would otherwise go on for as long as the peer sends.
const MAX_READS_IN_A_ROW: u32 = 16;

/// Number of bytes that may still be read from a stream; clones share it.
#[derive(Debug, Clone)]
pub struct ReadAllowance {
    bytes: Arc<AtomicUsize>,
}

impl ReadAllowance {
    /// Creates an allowance without a limit.
    pub fn unlimited() -> Self {
        Self {
            bytes: Arc::new(AtomicUsize::new(usize::MAX)),
        }
    }

    /// Sets the number of bytes that may be read from now on.
    pub fn set(&self, bytes: usize) {
        self.bytes.store(bytes, Ordering::Release);
    }

    /// Returns whether the stream has sent all that it may, so that reading from it fails.
    pub fn is_exhausted(&self) -> bool {
        self.bytes.load(Ordering::Acquire) == 0
    }

    fn consume(&self, bytes: usize) {
        let left = |left: usize| (left != usize::MAX).then(|| left.saturating_sub(bytes));
        // An unlimited allowance stays as it is.
        let _ = self
            .bytes
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, left);
    }
}

/// A TCP stream whose reads draw on an allowance.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    allowance: ReadAllowance,
    reads_in_a_row: u32,
}

impl MeteredStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream, allowance: ReadAllowance) -> Self {
        Self {
            stream,
            allowance,
            reads_in_a_row: 0,
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_exhausted() {
            return Poll::Ready(Err(io::Error::other("the peer sent more than is allowed")));
        }
        if self.reads_in_a_row >= MAX_READS_IN_A_ROW {
            self.reads_in_a_row = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if read.is_pending() {
            self.reads_in_a_row = 0;
        }
        ready!(read)?;
        self.reads_in_a_row += 1;
        self.allowance.consume(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
