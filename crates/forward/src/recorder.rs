//! Stream of a caller that records the raw head of the current request.
//!
//! The HTTP library drops the `Content-Length` of a request that also has a `Transfer-Encoding`,
//! so such a request, a common form of request smuggling, looks like a normal chunked request.
//! The raw bytes of its head still contain both headers.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use wire::served::ServedStream;

/// Bytes that end the head of a request.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Records the raw head of the current request on a connection.
#[derive(Debug)]
pub(crate) struct HeadRecorder {
    max_bytes: usize,
    state: Mutex<RecorderState>,
}

#[derive(Debug, Default)]
struct RecorderState {
    paused: bool,
    head: Vec<u8>,
}

impl HeadRecorder {
    /// Creates a recorder that keeps up to `max_bytes` of a head.
    pub(crate) fn new(max_bytes: usize) -> Arc<Self> {
        let state = Mutex::default();
        Arc::new(Self { max_bytes, state })
    }

    /// Returns whether the recorded head of a chunked request with this method has no
    /// `Content-Length`. Returns false if the head was not recorded in full because it arrived
    /// together with the previous request.
    pub(crate) fn is_chunked_only(&self, method: &str) -> bool {
        let state = self.lock();
        let Some(end) = find(&state.head, HEAD_END) else {
            return false;
        };
        let head = state.head[..end].trim_ascii_start().to_ascii_lowercase();
        head.starts_with(method.to_ascii_lowercase().as_bytes())
            && find(&head, b"\ncontent-length").is_none()
    }

    /// Returns whether `body_bytes` bytes of the body arrived together with the recorded head.
    /// Returns false if the head was not recorded in full.
    pub(crate) fn has_body(&self, body_bytes: usize) -> bool {
        let state = self.lock();
        let recorded = state.head.trim_ascii_start();
        let end = find(recorded, HEAD_END).map(|end| end + HEAD_END.len());
        end.is_some_and(|end| recorded.len() - end >= body_bytes)
    }

    /// Stops recording because the head is complete.
    pub(crate) fn pause(&self) {
        self.lock().paused = true;
    }

    /// Starts recording the head of the next request.
    pub(crate) fn restart(&self) {
        let mut state = self.lock();
        state.paused = false;
        state.head.clear();
    }

    fn record(&self, bytes: &[u8]) {
        let mut state = self.lock();
        let free = self.max_bytes.saturating_sub(state.head.len());
        if !state.paused {
            state
                .head
                .extend_from_slice(&bytes[..bytes.len().min(free)]);
        }
    }

    fn lock(&self) -> MutexGuard<'_, RecorderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|part| part == wanted)
}

/// Stream of a caller whose received bytes pass through a [`HeadRecorder`].
#[derive(Debug)]
pub(crate) struct RecordedStream {
    stream: TcpStream,
    recorder: Arc<HeadRecorder>,
}

impl RecordedStream {
    /// Wraps a stream.
    pub(crate) fn new(stream: TcpStream, recorder: Arc<HeadRecorder>) -> Self {
        Self { stream, recorder }
    }
}

impl ServedStream for RecordedStream {
    fn socket(&self) -> &TcpStream {
        &self.stream
    }

    fn into_socket(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for RecordedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        self.recorder.record(&buffer.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RecordedStream {
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
