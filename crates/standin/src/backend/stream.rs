//! A TCP connection with injected faults: it can go silent or send extra bytes.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that the extra-bytes fault sends after an answer: an answer that belongs to no request.
const EXTRA_BYTES: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nforeign";

/// Injected faults of one connection, shared between the stream and the server.
#[derive(Debug, Default)]
pub struct StreamFaults {
    silent: AtomicBool,
    extra: AtomicBool,
}

impl StreamFaults {
    /// Makes the connection silent for good: it delivers no more input and discards all output.
    pub fn silence(&self) {
        self.silent.store(true, Ordering::Release);
    }

    /// Makes the connection send extra bytes after the next answer.
    pub fn add_extra(&self) {
        self.extra.store(true, Ordering::Release);
    }

    /// Returns whether the connection is silent.
    pub fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Acquire)
    }
}

/// A TCP stream with injected faults.
#[derive(Debug)]
pub struct FaultStream {
    inner: TcpStream,
    faults: Arc<StreamFaults>,
}

impl FaultStream {
    /// Wraps a TCP stream.
    pub fn new(inner: TcpStream, faults: Arc<StreamFaults>) -> Self {
        Self { inner, faults }
    }
}

impl AsyncRead for FaultStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.faults.is_silent() {
            return Poll::Pending;
        }
        let filled = buf.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        if self.faults.is_silent() {
            // The read may have started before the connection went silent; its data is discarded
            // too.
            buf.set_filled(filled);
            return Poll::Pending;
        }
        read
    }
}

impl AsyncWrite for FaultStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.faults.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.faults.extra.swap(false, Ordering::AcqRel) {
            // Errors are ignored: a full send buffer would drop the bytes, but they are few and the
            // buffer was just flushed.
            let _ = self.inner.try_write(EXTRA_BYTES);
        }
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.faults.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
