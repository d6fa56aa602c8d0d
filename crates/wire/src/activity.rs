//! Activity of an accepted HTTP/1 connection, which decides when the connection may end.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use http_body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Activity of a connection. A connection ends only while it is idle or a head is late, so
/// that no request is read and dropped.
#[derive(Debug)]
pub(crate) struct ConnectionActivity {
    state: Mutex<ActivityState>,
    /// Whether an answer announced the end of the connection.
    announced: AtomicBool,
}

#[derive(Debug, Clone, Copy)]
enum ActivityState {
    /// Nothing of a further request has been read.
    Idle { since: Instant },
    /// A part of the head of a request has been read.
    Head { since: Instant },
    /// A request is being answered.
    Answering,
    /// The last bytes of an answer are being written.
    Flushing,
}

/// Limits on a connection that has no complete request.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Longest idle time, and longest time between the first byte and the last of a head.
    pub head_timeout: Duration,
    /// The same for a connection that is being closed.
    pub close_grace: Duration,
}

impl ConnectionActivity {
    /// Creates the activity of a connection that is idle from now on.
    pub(crate) fn start(now: Instant) -> Arc<Self> {
        let state = Mutex::new(ActivityState::Idle { since: now });
        let announced = AtomicBool::new(false);
        Arc::new(Self { state, announced })
    }

    /// Records that bytes were read. Line ends before a head don't begin a request.
    pub(crate) fn received(&self, bytes: &[u8], now: Instant) {
        let mut state = self.lock();
        if matches!(*state, ActivityState::Idle { .. }) && !is_blank(bytes) {
            *state = ActivityState::Head { since: now };
        }
    }

    /// Records that the head of a request is complete.
    pub(crate) fn begin_answer(&self) {
        *self.lock() = ActivityState::Answering;
    }

    /// Records that an answer announces the end of the connection.
    pub(crate) fn announce_end(&self) {
        self.announced.store(true, Ordering::Release);
    }

    /// Returns whether an answer announced the end of the connection.
    pub(crate) fn is_announced(&self) -> bool {
        self.announced.load(Ordering::Acquire)
    }

    /// Records that the connection has taken the whole answer.
    fn end_answer(&self) {
        *self.lock() = ActivityState::Flushing;
    }

    /// Records that all bytes taken by the connection were written to the socket.
    pub(crate) fn flushed(&self, now: Instant) {
        let mut state = self.lock();
        if matches!(*state, ActivityState::Flushing) {
            *state = ActivityState::Idle { since: now };
        }
    }

    /// Returns whether a part of a head has been read.
    pub(crate) fn is_in_head(&self) -> bool {
        matches!(*self.lock(), ActivityState::Head { .. })
    }

    /// Returns the time at which the connection ends if nothing happens before, `None` while a
    /// request is being answered. `closing_at` is the time at which closing began.
    pub(crate) fn ends_at(
        &self,
        limits: ConnectionLimits,
        closing_at: Option<Instant>,
    ) -> Option<Instant> {
        let (since, closing_end) = match *self.lock() {
            ActivityState::Idle { since } => (since, closing_at.map(|_| since)),
            ActivityState::Head { since } => (since, closing_at.map(|at| at.max(since))),
            ActivityState::Answering | ActivityState::Flushing => return None,
        };
        let end = since + limits.head_timeout;
        Some(closing_end.map_or(end, |start| end.min(start + limits.close_grace)))
    }

    fn lock(&self) -> MutexGuard<'_, ActivityState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether the bytes are line ends only, which may stand before a head.
pub(crate) fn is_blank(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| matches!(byte, b'\r' | b'\n'))
}

/// Body of an answer that records its end in the activity of its connection.
#[derive(Debug)]
pub(crate) struct TrackedBody<B> {
    body: B,
    activity: Arc<ConnectionActivity>,
}

impl<B> TrackedBody<B> {
    /// Wraps the body of an answer on a connection.
    pub(crate) fn new(body: B, activity: Arc<ConnectionActivity>) -> Self {
        Self { body, activity }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.activity.end_answer();
    }
}

/// Stream that records the activity of its connection.
#[derive(Debug)]
pub(crate) struct ActiveStream<S> {
    stream: S,
    activity: Arc<ConnectionActivity>,
}

impl<S> ActiveStream<S> {
    /// Wraps the stream of a connection.
    pub(crate) fn new(stream: S, activity: Arc<ConnectionActivity>) -> Self {
        Self { stream, activity }
    }

    /// Unwraps the stream.
    pub(crate) fn into_inner(self) -> S {
        self.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ActiveStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        self.activity
            .received(&buffer.filled()[before..], Instant::now());
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ActiveStream<S> {
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
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.activity.flushed(Instant::now());
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
