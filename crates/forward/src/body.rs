//! Bodies that count and never pass on a part as a whole.

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
use crate::lease::LinkPacer;

quick_error! {
    /// Why a body ended before it was whole.
    #[derive(Debug)]
    pub enum BodyError {
        /// The connection that it came from failed.
        Cut(err: hyper::Error) {
            source(err)
            display("the body was cut: {err}")
        }
        /// It is larger than its bound.
        TooLarge {
            display("the body is too large")
        }
        /// Its deadline passed.
        Late {
            display("the deadline passed")
        }
    }
}

/// What was read of a body.
#[derive(Debug)]
pub(crate) enum ReadBody {
    /// All of it.
    Whole(Bytes),
    /// Its start; it is longer than the bound.
    Start(Bytes),
}

/// Reads a body until it ends or is longer than a bound in bytes.
///
/// # Errors
///
/// Fails where the body is cut.
pub(crate) async fn read_up_to(body: &mut Incoming, bound: usize) -> Result<ReadBody, BodyError> {
    let mut held = BytesMut::new();
    let mut first = Bytes::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyError::Cut)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if held.is_empty() && first.is_empty() {
            first = data;
        } else {
            held.extend_from_slice(&std::mem::take(&mut first));
            held.extend_from_slice(&data);
        }
        if first.len() + held.len() > bound {
            return Ok(ReadBody::Start(joined(first, held)));
        }
    }
    Ok(ReadBody::Whole(joined(first, held)))
}

fn joined(first: Bytes, held: BytesMut) -> Bytes {
    if held.is_empty() {
        first
    } else {
        held.freeze()
    }
}

/// How far the body of a request got.
#[derive(Debug, Default)]
pub(crate) struct UploadState {
    sent: AtomicU64,
    done: AtomicBool,
    too_large: AtomicBool,
}

impl UploadState {
    /// Tells whether all of the body was handed to the connection.
    pub(crate) fn is_done(&self) -> bool {
        self.done.load(Ordering::Acquire)
    }

    /// Returns the bytes that were handed to the connection.
    pub(crate) fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Tells whether the body passed its bound.
    pub(crate) fn is_too_large(&self) -> bool {
        self.too_large.load(Ordering::Acquire)
    }
}

/// Body of a request on its way to a backend server.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// Held whole, so that it can be sent again.
    Held(Bytes),
    /// Passed on while it arrives.
    Streamed(StreamedUpload),
}

impl RequestBody {
    /// Charges the bytes of a body that is passed on to the link that they cross.
    #[must_use]
    pub(crate) fn paced(mut self, pacer: &LinkPacer) -> Self {
        if let Self::Streamed(upload) = &mut self {
            upload.pacer = pacer.clone();
        }
        self
    }
}

/// Body of a request that is passed on while it arrives.
#[derive(Debug)]
pub(crate) struct StreamedUpload {
    start: Bytes,
    rest: Incoming,
    left: u64,
    state: Arc<UploadState>,
    pacer: LinkPacer,
    pause: PacePause,
}

/// A pause that the budget of a link demands before more bytes pass.
#[derive(Debug, Default)]
struct PacePause(Option<Pin<Box<Sleep>>>);

impl PacePause {
    fn set(&mut self, wait: Duration) {
        self.0 = (!wait.is_zero()).then(|| Box::pin(tokio::time::sleep(wait)));
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
    /// Continues a body after its start, up to a bound in bytes for all of it.
    pub(crate) fn new(start: Bytes, rest: Incoming, bound: u64) -> Self {
        Self {
            start,
            rest,
            left: bound,
            state: Arc::default(),
            pacer: LinkPacer::default(),
            pause: PacePause::default(),
        }
    }

    /// Returns how far the body got.
    pub(crate) fn state(&self) -> Arc<UploadState> {
        self.state.clone()
    }

    fn count(&mut self, data: Bytes) -> Result<Frame<Bytes>, BodyError> {
        let Some(left) = self.left.checked_sub(data.len() as u64) else {
            self.state.too_large.store(true, Ordering::Release);
            return Err(BodyError::TooLarge);
        };
        self.left = left;
        let bytes = data.len() as u64;
        self.state.sent.fetch_add(bytes, Ordering::Relaxed);
        self.pause.set(self.pacer.pace_up(Instant::now(), bytes));
        Ok(Frame::data(data))
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        ready!(self.pause.poll(cx));
        if !self.start.is_empty() {
            let start = std::mem::take(&mut self.start);
            return Poll::Ready(Some(self.count(start)));
        }
        loop {
            let Some(frame) = ready!(Pin::new(&mut self.rest).poll_frame(cx)) else {
                self.state.done.store(true, Ordering::Release);
                return Poll::Ready(None);
            };
            let frame = match frame {
                Ok(frame) => frame,
                Err(err) => return Poll::Ready(Some(Err(BodyError::Cut(err)))),
            };
            if let Ok(data) = frame.into_data() {
                let counted = self.count(data);
                if self.rest.is_end_stream() && counted.is_ok() {
                    self.state.done.store(true, Ordering::Release);
                }
                return Poll::Ready(Some(counted));
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
            Self::Held(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Held(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Streamed(upload) => upload.poll_data(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Held(bytes) => bytes.is_empty(),
            Self::Streamed(upload) => upload.start.is_empty() && upload.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Held(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

/// Body of an answer on its way to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// Held whole.
    Held(Bytes),
    /// Passed on while it arrives; a cut ends the caller's connection.
    Streamed(Box<StreamedAnswer>),
}

/// Body of an answer that is passed on while it arrives.
pub struct StreamedAnswer {
    start: Bytes,
    rest: Incoming,
    guard: Option<ExchangeGuard>,
    due: BoxFuture<'static, ()>,
    passed: u64,
    pause: PacePause,
}

impl std::fmt::Debug for StreamedAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StreamedAnswer").finish_non_exhaustive()
    }
}

impl StreamedAnswer {
    /// Continues a body after its start until it ends or its deadline passes.
    pub(crate) fn new(
        start: Bytes,
        rest: Incoming,
        guard: ExchangeGuard,
        due: BoxFuture<'static, ()>,
    ) -> Self {
        let bytes = start.len() as u64;
        let mut answer = Self {
            start,
            rest,
            guard: Some(guard),
            due,
            passed: 0,
            pause: PacePause::default(),
        };
        answer.count(bytes);
        answer
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.start.is_empty() {
            let start = std::mem::take(&mut self.start);
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        if self.due.as_mut().poll(cx).is_ready() {
            self.fail();
            return Poll::Ready(Some(Err(BodyError::Late)));
        }
        ready!(self.pause.poll(cx));
        loop {
            match ready!(Pin::new(&mut self.rest).poll_frame(cx)) {
                None => {
                    self.finish();
                    return Poll::Ready(None);
                }
                Some(Err(err)) => {
                    self.fail();
                    return Poll::Ready(Some(Err(BodyError::Cut(err))));
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.count(data.len() as u64);
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                }
            }
        }
    }

    fn count(&mut self, bytes: u64) {
        self.passed += bytes;
        if let Some(guard) = &self.guard {
            self.pause
                .set(guard.pacer().pace_down(Instant::now(), bytes));
        }
    }

    fn finish(&mut self) {
        if let Some(guard) = self.guard.take() {
            guard.answered(self.passed);
        }
    }

    fn fail(&mut self) {
        if let Some(guard) = self.guard.take() {
            guard.failed(self.passed);
        }
    }
}

impl Drop for StreamedAnswer {
    fn drop(&mut self) {
        if self.start.is_empty() && self.rest.is_end_stream() {
            self.finish();
        }
    }
}

impl From<Bytes> for AnswerBody {
    fn from(bytes: Bytes) -> Self {
        Self::Held(bytes)
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
            Self::Held(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Held(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Streamed(answer) => answer.poll_data(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Held(bytes) => bytes.is_empty(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Held(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
