//! Client connections with pipelined requests.
//!
//! hyper serves one request of a connection at a time. This module parses requests without a body
//! with the parser that hyper uses, runs them concurrently and writes their answers in order. A
//! connection that receives anything else is handed over to hyper.

use std::io::ErrorKind;

use async_std::task;
use bytes::{Buf, Bytes, BytesMut};
use futures_util::future::{self, BoxFuture, Either};
use futures_util::stream::{FuturesOrdered, StreamExt};
use http::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH};
use http::header::{EXPECT, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;

use crate::answer::AnswerBody;
use crate::attempt;
use crate::close::{CloseCause, Continuation};
use crate::server::ServerPhase;
use crate::stream::ClientStream;
use crate::tracker::ConnectionTracker;

/// Maximum number of requests of one connection that run at the same time.
const MAX_PIPELINED: usize = 16;

/// Maximum number of headers of a request; one with more is left to hyper.
const MAX_HEADERS: usize = 100;

/// Largest body that is copied behind the head of its answer, so that both are sent at once.
const MAX_COPIED_BODY_BYTES: usize = 16 << 10;

/// Free bytes in the buffer before each read, at least.
const MIN_READ_BUFFER_BYTES: usize = 8 << 10;

/// How the pipelined serving of a connection ended.
#[derive(Debug)]
pub(crate) enum PipelineEnd {
    /// The connection ends. Unanswered requests of a client that disconnected are cancelled.
    Close(CloseCause),
    /// hyper has to serve the rest of the connection, beginning with the given unparsed bytes.
    HandOver(Bytes),
}

/// The request head at the start of a buffer.
enum PipelineHead {
    /// The head is incomplete.
    Partial,
    /// The head of a request without a body, and its length in bytes.
    Complete(Box<Parts>, usize),
    /// Bytes that are left to hyper: a request that may have a body, or an invalid or oversized
    /// head.
    Unsupported,
}

/// Serves a connection until it ends or is handed over to hyper; `buffered` holds the bytes that were read from the
/// stream before, and `answer` answers one request. Heads have at most `max_header_bytes` bytes.
pub(crate) async fn serve<'a, F>(
    stream: &ClientStream,
    buffered: Bytes,
    tracker: &ConnectionTracker<'_>,
    max_header_bytes: usize,
    phase: &mut watch::Receiver<ServerPhase>,
    answer: F,
) -> PipelineEnd
where
    F: Fn(Parts) -> BoxFuture<'a, Response<AnswerBody>>,
{
    let mut writer = stream.clone();
    let mut reader = stream.clone();
    let mut buffer = BytesMut::from(buffered);
    let mut answers = FuturesOrdered::new();
    // Whether further requests of the connection are served.
    let mut open = true;
    let mut unsupported = false;
    let mut written: usize = 0;
    loop {
        // A client sends the requests that it has sent behind the last answer again.
        let is_stopping = *phase.borrow() >= ServerPhase::Stopping;
        open &= !is_stopping || answers.is_empty();
        while open && !unsupported && answers.len() < MAX_PIPELINED {
            match parse_head(&buffer, max_header_bytes) {
                PipelineHead::Partial => break,
                PipelineHead::Unsupported => unsupported = true,
                PipelineHead::Complete(parts, length) => {
                    buffer.advance(length);
                    open = !is_stopping && !attempt::has_connection_close(&parts.headers);
                    answers.push_back(answer(*parts));
                }
            }
        }
        if answers.is_empty() {
            if !open {
                return PipelineEnd::Close(CloseCause::Announced);
            }
            if unsupported {
                return PipelineEnd::HandOver(buffer.freeze());
            }
            tracker.receive(&buffer);
        }
        let reads = open && !unsupported && answers.len() < MAX_PIPELINED;
        let answers_left = answers.len();
        let event = {
            let next = std::pin::pin!(next_answer(&mut answers));
            let read = std::pin::pin!(read_more(&mut reader, &mut buffer, reads));
            let disconnected = std::pin::pin!(stream.disconnected());
            let end = std::pin::pin!(connection_end(phase, tracker, answers_left == 0));
            let ends = future::select(disconnected, end);
            match future::select(next, future::select(read, ends)).await {
                Either::Left((answer, _)) => PipelineEvent::Answer(answer),
                Either::Right((Either::Left((read, _)), _)) => PipelineEvent::Read(read),
                Either::Right((Either::Right((Either::Left(_), _)), _)) => {
                    PipelineEvent::Disconnected
                }
                Either::Right((Either::Right((Either::Right((cause, _)), _)), _)) => {
                    PipelineEvent::End(cause)
                }
            }
        };
        match event {
            PipelineEvent::Answer(answer) => {
                let draining = *phase.borrow() != ServerPhase::Serving;
                // Requests that were parsed before the drain are still answered; the connection
                // closes with the last answer.
                open &= !draining;
                let next = match (open, answers.is_empty()) {
                    (true, _) => tracker.continuation(),
                    (false, true) => Continuation::Close,
                    (false, false) => Continuation::Unstated,
                };
                if write_answer(&mut writer, answer, next).await.is_err() {
                    return PipelineEnd::Close(CloseCause::Disconnected);
                }
                if answers.is_empty() {
                    tracker.end_request(next);
                }
                // A client whose requests are all answered at once would keep the thread for as long
                // as it sends.
                written += 1;
                if written.is_multiple_of(MAX_PIPELINED) {
                    task::yield_now().await;
                }
            }
            PipelineEvent::Read(Ok(0) | Err(_)) | PipelineEvent::Disconnected => {
                return PipelineEnd::Close(CloseCause::Disconnected);
            }
            PipelineEvent::Read(Ok(_)) => {}
            // A request that arrived before the end is served.
            PipelineEvent::End(cause) => match stream.read_waiting(&mut buffer) {
                Ok(0) => return PipelineEnd::Close(CloseCause::Disconnected),
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return PipelineEnd::Close(cause),
                Err(_) => return PipelineEnd::Close(CloseCause::Disconnected),
            },
        }
    }
}

/// Event that the serving of a connection waits for.
enum PipelineEvent {
    /// The answer to the oldest unanswered request is ready.
    Answer(Response<AnswerBody>),
    /// A read ended, with the number of bytes; 0 at the end of the stream.
    Read(std::io::Result<usize>),
    /// The client closed its side of the connection.
    Disconnected,
    /// The connection ends for the given cause.
    End(CloseCause),
}

/// Waits for the answer to the oldest unanswered request; forever if there is none.
async fn next_answer(
    answers: &mut FuturesOrdered<BoxFuture<'_, Response<AnswerBody>>>,
) -> Response<AnswerBody> {
    match answers.next().await {
        Some(answer) => answer,
        None => future::pending().await,
    }
}

/// Waits until a connection ends; forever unless all requests are answered.
async fn connection_end(
    phase: &mut watch::Receiver<ServerPhase>,
    tracker: &ConnectionTracker<'_>,
    is_answered: bool,
) -> CloseCause {
    if !is_answered {
        return future::pending().await;
    }
    tracker.end(phase).await
}

/// Reads bytes into the buffer; waits forever unless `reads` is set.
async fn read_more(
    stream: &mut ClientStream,
    buffer: &mut BytesMut,
    reads: bool,
) -> std::io::Result<usize> {
    if !reads {
        return future::pending().await;
    }
    buffer.reserve(MIN_READ_BUFFER_BYTES);
    stream.read_buf(buffer).await
}

/// Parses the head of a request of at most `max_bytes` bytes.
fn parse_head(buffer: &[u8], max_bytes: usize) -> PipelineHead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= max_bytes => bodiless_parts(&head)
            .map_or(PipelineHead::Unsupported, |parts| {
                PipelineHead::Complete(Box::new(parts), length)
            }),
        Ok(httparse::Status::Partial) if buffer.len() < max_bytes => PipelineHead::Partial,
        _ => PipelineHead::Unsupported,
    }
}

/// Returns the value of a header in a request head at the start of `bytes`, whose rest may be missing.
pub(crate) fn header_value<'a>(bytes: &'a [u8], name: &HeaderName) -> Option<&'a str> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    head.parse(bytes).ok()?;
    let mut headers = head.headers.iter();
    let header = headers.find(|header| header.name.eq_ignore_ascii_case(name.as_str()))?;
    std::str::from_utf8(header.value).ok()
}

/// Returns the parts of a request that certainly has no body: an HTTP/1.1 `GET` without headers
/// that announce a body, an upgrade or an expectation.
fn bodiless_parts(head: &httparse::Request<'_, '_>) -> Option<Parts> {
    if head.method != Some(Method::GET.as_str()) || head.version != Some(1) {
        return None;
    }
    let mut headers = HeaderMap::with_capacity(head.headers.len());
    for header in head.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        headers.append(name, value);
    }
    let unsupported = [CONTENT_LENGTH, TRANSFER_ENCODING, UPGRADE, EXPECT];
    if unsupported.iter().any(|name| headers.contains_key(name)) {
        return None;
    }
    let mut request = Request::builder().uri(head.path?).body(()).ok()?;
    *request.headers_mut() = headers;
    Some(request.into_parts().0)
}

/// Writes an answer that announces how the connection goes on.
pub(crate) async fn write_answer(
    stream: &mut ClientStream,
    answer: Response<AnswerBody>,
    next: Continuation,
) -> std::io::Result<()> {
    let (mut parts, body) = answer.into_parts();
    next.announce(&mut parts.headers);
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(never) => match never {},
    };
    let is_small = body.len() <= MAX_COPIED_BODY_BYTES;
    let mut bytes = Vec::with_capacity(256 + if is_small { body.len() } else { 0 });
    let reason = parts.status.canonical_reason().unwrap_or("Other");
    let line = format!("HTTP/1.1 {} {reason}\r\n", parts.status.as_u16());
    bytes.extend_from_slice(line.as_bytes());
    for (name, value) in &parts.headers {
        if *name == CONTENT_LENGTH {
            continue;
        }
        append_header(&mut bytes, name.as_str().as_bytes(), value.as_bytes());
    }
    if parts.status != StatusCode::NO_CONTENT && parts.status != StatusCode::NOT_MODIFIED {
        append_header(
            &mut bytes,
            b"content-length",
            body.len().to_string().as_bytes(),
        );
    }
    bytes.extend_from_slice(b"\r\n");
    if is_small {
        bytes.extend_from_slice(&body);
        return stream.write_all(&bytes).await;
    }
    stream.write_all(&bytes).await?;
    stream.write_all(&body).await
}

fn append_header(bytes: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    bytes.extend_from_slice(name);
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
}
