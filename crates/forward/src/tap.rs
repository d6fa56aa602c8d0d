//! A caller's stream that remembers the head of the present request.
//!
//! The HTTP library drops a content-length that stands beside a transfer-encoding, so that a
//! request with both, which is how requests are smuggled, looks like a chunked one. The bytes of
//! its head still tell.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// End of a request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Bytes of the head of the present request.
#[derive(Debug)]
pub(crate) struct HeadTap {
    bound: usize,
    state: Mutex<TapState>,
}

#[derive(Debug, Default)]
struct TapState {
    started: bool,
    paused: bool,
    head: Vec<u8>,
}

impl HeadTap {
    /// Creates a tap that keeps up to a bound in bytes.
    pub(crate) fn new(bound: usize) -> Arc<Self> {
        let state = Mutex::default();
        Arc::new(Self { bound, state })
    }

    /// Tells whether the head that was read for a chunked request has no content-length. A head
    /// that was not seen whole, because it came with the request before it, counts as faulty.
    pub(crate) fn is_chunked_only(&self, method: &str) -> bool {
        let state = self.lock();
        let Some(end) = find(&state.head, HEAD_END) else {
            return false;
        };
        let head = state.head[..end].trim_ascii_start().to_ascii_lowercase();
        head.starts_with(method.to_ascii_lowercase().as_bytes())
            && find(&head, b"\ncontent-length").is_none()
    }

    /// Stops keeping bytes, as the head is whole.
    pub(crate) fn pause(&self) {
        let mut state = self.lock();
        state.started = true;
        state.paused = true;
    }

    /// Tells whether the head of a first request has come whole.
    pub(crate) fn has_request(&self) -> bool {
        self.lock().started
    }

    /// Starts keeping the bytes of the next head.
    pub(crate) fn restart(&self) {
        let mut state = self.lock();
        state.paused = false;
        state.head.clear();
    }

    fn keep(&self, bytes: &[u8]) {
        let mut state = self.lock();
        let room = self.bound.saturating_sub(state.head.len());
        if !state.paused {
            state
                .head
                .extend_from_slice(&bytes[..bytes.len().min(room)]);
        }
    }

    fn lock(&self) -> MutexGuard<'_, TapState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|part| part == wanted)
}

/// A caller's stream with a tap on what is read.
#[derive(Debug)]
pub(crate) struct TappedStream {
    stream: TcpStream,
    tap: Arc<HeadTap>,
}

impl TappedStream {
    /// Puts a tap on a stream.
    pub(crate) fn new(stream: TcpStream, tap: Arc<HeadTap>) -> Self {
        Self { stream, tap }
    }

    /// Gives the stream back.
    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for TappedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        self.tap.keep(&buffer.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TappedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
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
