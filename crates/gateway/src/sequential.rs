//! Requests of clients that have a body, or a head that only hyper judges.

use std::convert::Infallible;
use std::io::Cursor;
use std::pin::{pin, Pin};
use std::sync::{Mutex, PoisonError};
use std::task::Poll;

use bytes::Bytes;
use futures_util::future::{self, BoxFuture, Either};
use http::header::EXPECT;
use http::request::Parts;
use http::{Request, Response, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncReadExt;
use tokio::sync::watch;

use crate::answer::AnswerBody;
use crate::attempt;
use crate::body::ClientBody;
use crate::close::{CloseCause, Continuation};
use crate::server::ServerPhase;
use crate::stream::ClientStream;
use crate::tracker::ConnectionTracker;

/// Smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// How the sequential serving of a connection ended.
pub(crate) enum SequentialEnd {
    /// The connection ends.
    Close(CloseCause),
    /// All requests that hyper read are answered, and the connection stays open. The given bytes of the next request
    /// were read.
    Resume(Bytes),
}

/// Serves the request at the start of `buffered`, the bytes that were read from the stream before, with hyper; `answer`
/// answers a request and returns its body, read or not. Heads have at most `max_header_bytes` bytes.
pub(crate) async fn serve<'a, F>(
    stream: &ClientStream,
    buffered: Bytes,
    tracker: &ConnectionTracker<'_>,
    max_header_bytes: usize,
    phase: &watch::Receiver<ServerPhase>,
    answer: F,
) -> SequentialEnd
where
    F: Fn(Parts, ClientBody) -> BoxFuture<'a, (Response<AnswerBody>, ClientBody)>,
{
    // How the connection goes on after the last answer; `None` while a request is served.
    let next = Mutex::new(None);
    let set_next = |value| *next.lock().unwrap_or_else(PoisonError::into_inner) = value;
    let current_next = || *next.lock().unwrap_or_else(PoisonError::into_inner);
    let service = service_fn(|request: Request<Incoming>| {
        set_next(None);
        let (answer, set_next) = (&answer, &set_next);
        let (parts, body) = request.into_parts();
        Box::pin(async move {
            let is_last =
                parts.version != Version::HTTP_11 || attempt::has_connection_close(&parts.headers);
            let version = parts.version;
            let body = ClientBody::new(body, parts.headers.contains_key(EXPECT));
            let (mut response, mut body) = answer(parts, body).await;
            // hyper adds its own word on the connection to other answers to HTTP/1.0.
            *response.version_mut() = version;
            let is_serving = *phase.borrow() == ServerPhase::Serving;
            let next = if !is_last && is_serving && body.drain().await {
                tracker.continuation()
            } else {
                Continuation::Close
            };
            next.announce(response.headers_mut());
            set_next(Some(next));
            Ok::<_, Infallible>(response)
        })
    });
    let input = Cursor::new(buffered).chain(stream.clone());
    let io = TokioIo::new(tokio::io::join(input, stream.clone()));
    let mut http = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(tracker.header_timeout())
        .max_buf_size(max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(io, service);
    let result = {
        let serving = future::poll_fn(|cx| match http.poll_without_shutdown(cx) {
            // hyper has the answer, and must not wait for a further request once that is written.
            Poll::Pending if current_next().is_some() => {
                Pin::new(&mut http).graceful_shutdown();
                http.poll_without_shutdown(cx)
            }
            polled => polled,
        });
        match future::select(serving, pin!(stream.disconnected())).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => return SequentialEnd::Close(CloseCause::Disconnected),
        }
    };
    let parts = http.into_parts();
    let (input, _) = parts.io.into_inner().into_inner();
    let unparsed = [parts.read_buf, unread(input.into_inner().0)].concat();
    match (result, current_next()) {
        (Err(e), _) if e.is_timeout() => SequentialEnd::Close(CloseCause::LateHead),
        // hyper answers most of what it can't parse, and announces the end.
        (Err(_), _) | (Ok(()), Some(Continuation::Close)) => {
            SequentialEnd::Close(CloseCause::Announced)
        }
        (Ok(()), Some(next)) => {
            tracker.end_request(next);
            SequentialEnd::Resume(unparsed.into())
        }
        (Ok(()), None) => SequentialEnd::Close(CloseCause::Disconnected),
    }
}

/// Returns what hyper hasn't read of the bytes that were read before.
fn unread(buffered: Cursor<Bytes>) -> Bytes {
    let position = usize::try_from(buffered.position()).unwrap_or(usize::MAX);
    let bytes = buffered.into_inner();
    bytes.slice(position.min(bytes.len())..)
}
