//! Bodies of requests and responses.
//!
//! A streamed body that fails ends with an error, so that its receiver never takes a truncated body
//! for a complete one.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::future::BoxFuture;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;
use tokio::time::Sleep;

use crate::attempt::ExchangeGuard;
use crate::permit::LinkPacer;

quick_error! {
    /// Reason for which a body ended before it was complete.
    #[derive(Debug)]
    pub enum BodyError {
        /// The connection from which the body is read failed.
        ConnectionFailed(err: hyper::Error) {
            source(err)
            display("the connection failed before the body was complete: {err}")
        }
        /// The body exceeds its size limit.
        TooLarge {
            display("the body exceeds its size limit")
        }
        /// The deadline passed before the body was complete.
        DeadlineExceeded {
            display("the deadline passed before the body was complete")
        }
    }
}

/// Body of a request from a caller, which remembers whether it was read to its end.
#[derive(Debug)]
pub struct CallerBody {
    incoming: Incoming,
    ended: Arc<AtomicBool>,
}

impl CallerBody {
    /// Wraps a body. Returns with it whether it was read to its end, which stays current.
    pub(crate) fn track(incoming: Incoming) -> (Self, Arc<AtomicBool>) {
        let ended = Arc::new(AtomicBool::new(incoming.is_end_stream()));
        let body = Self {
            incoming,
            ended: ended.clone(),
        };
        (body, ended)
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        if frame.is_none() || self.incoming.is_end_stream() {
            self.ended.store(true, Ordering::Release);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Part of a body that was read into memory.
#[derive(Debug)]
pub(crate) enum BodyPrefix {
    /// The complete body.
    Complete(Bytes),
    /// The start of a body that exceeds the size limit.
    Partial(Bytes),
}

/// Reads a body until it ends or more than `max_bytes` were read.
///
/// # Errors
///
/// Fails if the connection fails before.
pub(crate) async fn read_up_to(
    body: &mut (impl Body<Data = Bytes, Error = hyper::Error> + Unpin),
    max_bytes: usize,
) -> Result<BodyPrefix, BodyError> {
    let mut buffer = BytesMut::new();
    let mut first = Bytes::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyError::ConnectionFailed)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.is_empty() && first.is_empty() {
            first = data;
        } else {
            buffer.extend_from_slice(&std::mem::take(&mut first));
            buffer.extend_from_slice(&data);
        }
        if first.len() + buffer.len() > max_bytes {
            return Ok(BodyPrefix::Partial(joined(first, buffer)));
        }
    }
    Ok(BodyPrefix::Complete(joined(first, buffer)))
}

/// Returns the content of a body, which is in `first` if it arrived in one frame.
fn joined(first: Bytes, buffer: BytesMut) -> Bytes {
    if buffer.is_empty() {
        first
    } else {
        buffer.freeze()
    }
}

/// Progress of a request body that is streamed to a backend server.
#[derive(Debug, Default)]
pub(crate) struct UploadState {
    sent_bytes: AtomicU64,
    done: AtomicBool,
    too_large: AtomicBool,
}

impl UploadState {
    /// Returns whether the complete body was passed to the connection.
    pub(crate) fn is_done(&self) -> bool {
        self.done.load(Ordering::Acquire)
    }

    /// Returns the number of bytes that were passed to the connection.
    pub(crate) fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns whether the body exceeded its size limit.
    pub(crate) fn is_too_large(&self) -> bool {
        self.too_large.load(Ordering::Acquire)
    }
}

/// Body of a request to a backend server.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// Buffered in full, so that it can be sent again.
    Buffered(Bytes),
    /// Streamed while it arrives, so that it can be sent only once.
    Streamed(StreamedUpload),
}

impl RequestBody {
    /// Paces a streamed body on the link to the backend server. A buffered body is not paced.
    #[must_use]
    pub(crate) fn paced(mut self, pacer: &LinkPacer) -> Self {
        if let Self::Streamed(upload) = &mut self {
            upload.pacer = pacer.clone();
        }
        self
    }
}

/// Body of a request that is streamed while it arrives.
#[derive(Debug)]
pub(crate) struct StreamedUpload {
    start: Bytes,
    rest: CallerBody,
    /// Number of bytes until the size limit.
    remaining_bytes: u64,
    state: Arc<UploadState>,
    pacer: LinkPacer,
    pacing_delay: PacingDelay,
}

/// Delay that the byte rate of a link requires before more bytes are transferred.
#[derive(Debug, Default)]
struct PacingDelay(Option<Pin<Box<Sleep>>>);

impl PacingDelay {
    fn set(&mut self, delay: Duration) {
        self.0 = (!delay.is_zero()).then(|| Box::pin(tokio::time::sleep(delay)));
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if let Some(sleep) = &mut self.0 {
            ready!(sleep.as_mut().poll(cx));
            self.0 = None;
        }
        Poll::Ready(())
    }
}

impl StreamedUpload {
    /// Creates a body of `start` followed by `rest`, which together have up to `max_bytes`.
    pub(crate) fn new(start: Bytes, rest: CallerBody, max_bytes: u64) -> Self {
        Self {
            start,
            rest,
            remaining_bytes: max_bytes,
            state: Arc::default(),
            pacer: LinkPacer::default(),
            pacing_delay: PacingDelay::default(),
        }
    }

    /// Returns the progress of the body.
    pub(crate) fn state(&self) -> Arc<UploadState> {
        self.state.clone()
    }

    /// Counts and paces the next bytes of the body.
    fn send(&mut self, data: Bytes) -> Result<Frame<Bytes>, BodyError> {
        let Some(remaining) = self.remaining_bytes.checked_sub(data.len() as u64) else {
            self.state.too_large.store(true, Ordering::Release);
            return Err(BodyError::TooLarge);
        };
        self.remaining_bytes = remaining;
        let bytes = data.len() as u64;
        self.state.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.pacing_delay
            .set(self.pacer.pace_up(Instant::now(), bytes));
        Ok(Frame::data(data))
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        ready!(self.pacing_delay.poll(cx));
        if !self.start.is_empty() {
            let start = std::mem::take(&mut self.start);
            return Poll::Ready(Some(self.send(start)));
        }
        loop {
            let Some(frame) = ready!(Pin::new(&mut self.rest).poll_frame(cx)) else {
                self.state.done.store(true, Ordering::Release);
                return Poll::Ready(None);
            };
            let frame = match frame {
                Ok(frame) => frame,
                Err(err) => return Poll::Ready(Some(Err(BodyError::ConnectionFailed(err)))),
            };
            if let Ok(data) = frame.into_data() {
                let frame = self.send(data);
                if self.rest.is_end_stream() && frame.is_ok() {
                    self.state.done.store(true, Ordering::Release);
                }
                return Poll::Ready(Some(frame));
            }
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Streamed(upload) => upload.poll_data(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_empty(),
            Self::Streamed(upload) => upload.start.is_empty() && upload.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

/// Body of a response to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// Buffered in full.
    Buffered(Bytes),
    /// Streamed while it arrives. If it fails, the connection of the caller is closed.
    Streamed(Box<StreamedAnswer>),
}

/// Body of a response that is streamed while it arrives.
pub struct StreamedAnswer {
    start: Bytes,
    rest: Incoming,
    guard: Option<ExchangeGuard>,
    deadline: BoxFuture<'static, ()>,
    received_bytes: u64,
    pacing_delay: PacingDelay,
}

impl std::fmt::Debug for StreamedAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StreamedAnswer").finish_non_exhaustive()
    }
}

impl StreamedAnswer {
    /// Creates a body of `start` followed by `rest`. The body fails if `deadline` is ready before it
    /// ends.
    pub(crate) fn new(
        start: Bytes,
        rest: Incoming,
        guard: ExchangeGuard,
        deadline: BoxFuture<'static, ()>,
    ) -> Self {
        let bytes = start.len() as u64;
        let mut answer = Self {
            start,
            rest,
            guard: Some(guard),
            deadline,
            received_bytes: 0,
            pacing_delay: PacingDelay::default(),
        };
        answer.receive(bytes);
        answer
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.start.is_empty() {
            let start = std::mem::take(&mut self.start);
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        if self.deadline.as_mut().poll(cx).is_ready() {
            self.fail();
            return Poll::Ready(Some(Err(BodyError::DeadlineExceeded)));
        }
        ready!(self.pacing_delay.poll(cx));
        loop {
            match ready!(Pin::new(&mut self.rest).poll_frame(cx)) {
                None => {
                    self.finish();
                    return Poll::Ready(None);
                }
                Some(Err(err)) => {
                    self.fail();
                    return Poll::Ready(Some(Err(BodyError::ConnectionFailed(err))));
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.receive(data.len() as u64);
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                }
            }
        }
    }

    /// Counts and paces received bytes.
    fn receive(&mut self, bytes: u64) {
        self.received_bytes += bytes;
        if let Some(guard) = &self.guard {
            self.pacing_delay
                .set(guard.pacer().pace_down(Instant::now(), bytes));
        }
    }

    fn finish(&mut self) {
        if let Some(guard) = self.guard.take() {
            guard.answered(self.received_bytes);
        }
    }

    fn fail(&mut self) {
        if let Some(guard) = self.guard.take() {
            guard.failed(self.received_bytes);
        }
    }
}

impl Drop for StreamedAnswer {
    /// Ends the exchange if the body was read in full, even if its end was not polled.
    fn drop(&mut self) {
        if self.start.is_empty() && self.rest.is_end_stream() {
            self.finish();
        }
    }
}

impl From<Bytes> for AnswerBody {
    fn from(bytes: Bytes) -> Self {
        Self::Buffered(bytes)
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Streamed(answer) => answer.poll_data(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_empty(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
