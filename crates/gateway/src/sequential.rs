//! Requests of clients that have a body, or a head that only hyper judges.

use std::convert::Infallible;
use std::io::Cursor;
use std::pin::{pin, Pin};
use std::sync::{Mutex, PoisonError};
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{self, BoxFuture, Either};
use http::header::EXPECT;
use http::request::Parts;
use http::{Request, Response, Version};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncReadExt;
use tokio::sync::watch;

use crate::answer::AnswerBody;
use crate::attempt;
use crate::close::{CloseCause, Continuation};
use crate::life::ConnectionLife;
use crate::server::ServerPhase;
use crate::stream::ClientStream;

/// Smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Most bytes of an unread body that are read so that the connection can stay open.
const MAX_DRAINED_BYTES: u64 = 64 << 10;

/// Longest time for which an answer waits for the rest of such a body.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

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
    life: &ConnectionLife<'_>,
    max_header_bytes: usize,
    phase: &watch::Receiver<ServerPhase>,
    answer: F,
) -> SequentialEnd
where
    F: Fn(Parts, Incoming) -> BoxFuture<'a, (Response<AnswerBody>, Incoming)>,
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
            let expects_continue = parts.headers.contains_key(EXPECT);
            let (mut response, mut body) = answer(parts, body).await;
            let closes = is_last
                || *phase.borrow() != ServerPhase::Serving
                || !drain(&mut body, expects_continue).await;
            let next = match closes {
                true => Continuation::Close,
                false => life.continuation(),
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
        .header_read_timeout(life.header_timeout())
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
    let unparsed = http.into_parts().read_buf;
    match (result, current_next()) {
        (Err(e), _) if e.is_timeout() => SequentialEnd::Close(CloseCause::LateHead),
        // hyper answers what it can't parse, and its answer announces the end.
        (Err(_), _) | (Ok(()), Some(Continuation::Close)) => {
            SequentialEnd::Close(CloseCause::Announced)
        }
        (Ok(()), Some(next)) => {
            life.end_request(next);
            SequentialEnd::Resume(unparsed)
        }
        (Ok(()), None) => SequentialEnd::Close(CloseCause::Disconnected),
    }
}

/// Reads the rest of a body, and returns whether its end was reached. Otherwise the connection has to end, as what follows
/// can't be told from the body.
async fn drain(body: &mut Incoming, expects_continue: bool) -> bool {
    if body.is_end_stream() {
        return true;
    }
    // A client that waits for permission to send the body gets an answer instead.
    if expects_continue || body.size_hint().lower() > MAX_DRAINED_BYTES {
        return false;
    }
    let reading = async {
        let mut drained = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return false;
            };
            drained += frame.data_ref().map_or(0, |data| data.len() as u64);
            if drained > MAX_DRAINED_BYTES {
                return false;
            }
        }
        true
    };
    tokio::time::timeout(DRAIN_TIMEOUT, reading)
        .await
        .unwrap_or(false)
}
