//! Connections on which clients send requests before earlier ones are answered.
//!
//! The HTTP library takes one request at a time. Requests without a body are therefore read here,
//! by the library's own parser, run side by side and answered in order; a connection that brings
//! anything else goes over to the library.

use bytes::{Buf, Bytes, BytesMut};
use fleet::site::ClientLimits;
use futures_util::future::{self, BoxFuture, Either};
use futures_util::stream::{FuturesOrdered, StreamExt};
use http::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH};
use http::header::{EXPECT, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;

use crate::answer::AnswerBody;
use crate::attempt;
use crate::server::ServerPhase;
use crate::stream::ClientStream;

/// Most requests of one connection that run side by side.
const MAX_PIPELINED: usize = 16;

/// Most headers of a request.
const MAX_HEADERS: usize = 100;

/// Bytes that are read at once.
const READ_BYTES: usize = 8 << 10;

/// Why a connection is no longer served here.
#[derive(Debug)]
pub enum PipelineEnd {
    /// It is to be closed.
    Closed,
    /// The client left; what it asked for is dropped.
    Left,
    /// The library goes on, with the bytes that were read already.
    HandOver(Bytes),
}

/// What the bytes at the start of a buffer are.
enum PipelineHead {
    /// Not yet a whole head.
    Partial,
    /// A request without a body, and the bytes of its head.
    Whole(Box<Parts>, usize),
    /// Anything else.
    Other,
}

/// Serves a connection; `answer` answers one request.
pub async fn serve<'a, F>(
    stream: &ClientStream,
    limits: &ClientLimits,
    phase: &mut watch::Receiver<ServerPhase>,
    answer: F,
) -> PipelineEnd
where
    F: Fn(Parts) -> BoxFuture<'a, Response<AnswerBody>>,
{
    let mut writer = stream.clone();
    let mut reader = stream.clone();
    let mut buffer = BytesMut::new();
    let mut answers = FuturesOrdered::new();
    let mut open = true;
    let mut other = false;
    loop {
        while open && !other && answers.len() < MAX_PIPELINED {
            match read_head(&buffer, limits.max_header_bytes) {
                PipelineHead::Partial => break,
                PipelineHead::Other => other = true,
                PipelineHead::Whole(parts, length) => {
                    buffer.advance(length);
                    open = !attempt::has_close(&parts.headers);
                    answers.push_back(answer(*parts));
                }
            }
        }
        if answers.is_empty() {
            if other {
                return PipelineEnd::HandOver(buffer.freeze());
            }
            if !open {
                return PipelineEnd::Closed;
            }
        }
        let reads = open && !other && answers.len() < MAX_PIPELINED;
        let event = {
            let next = std::pin::pin!(next_answer(&mut answers));
            let read = std::pin::pin!(read_some(&mut reader, &mut buffer, reads));
            let left = std::pin::pin!(stream.closed());
            let closed = std::pin::pin!(phase.wait_for(|phase| *phase == ServerPhase::Closed));
            let idle = std::pin::pin!(tokio::time::sleep(limits.idle_timeout));
            let ends = future::select(left, future::select(closed, idle));
            match future::select(next, future::select(read, ends)).await {
                Either::Left((answer, _)) => PipelineEvent::Answer(answer),
                Either::Right((Either::Left((read, _)), _)) => PipelineEvent::Read(read),
                Either::Right((Either::Right((Either::Left(_), _)), _)) => PipelineEvent::Left,
                Either::Right((Either::Right((Either::Right(_), _)), _)) => PipelineEvent::Idle,
            }
        };
        match event {
            PipelineEvent::Answer(answer) => {
                let stopping = *phase.borrow() != ServerPhase::Serving;
                // What was read before is still answered; the last answer closes.
                open &= !stopping;
                let last = !open && answers.is_empty();
                if write_answer(&mut writer, answer, last).await.is_err() {
                    return PipelineEnd::Left;
                }
            }
            PipelineEvent::Read(Ok(0)) | PipelineEvent::Left if answers.is_empty() => {
                return PipelineEnd::Closed;
            }
            PipelineEvent::Read(Ok(0) | Err(_)) | PipelineEvent::Left => {
                return PipelineEnd::Left;
            }
            PipelineEvent::Read(Ok(_)) => {}
            PipelineEvent::Idle if answers.is_empty() => return PipelineEnd::Closed,
            PipelineEvent::Idle => open = false,
        }
    }
}

enum PipelineEvent {
    Answer(Response<AnswerBody>),
    Read(std::io::Result<usize>),
    Left,
    /// The connection was idle for too long, or the host closes those that are.
    Idle,
}

async fn next_answer(
    answers: &mut FuturesOrdered<BoxFuture<'_, Response<AnswerBody>>>,
) -> Response<AnswerBody> {
    match answers.next().await {
        Some(answer) => answer,
        None => future::pending().await,
    }
}

async fn read_some(
    stream: &mut ClientStream,
    buffer: &mut BytesMut,
    reads: bool,
) -> std::io::Result<usize> {
    if !reads {
        return future::pending().await;
    }
    buffer.reserve(READ_BYTES);
    stream.read_buf(buffer).await
}

fn read_head(buffer: &[u8], most: usize) -> PipelineHead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= most => parts_of(&head)
            .map_or(PipelineHead::Other, |parts| {
                PipelineHead::Whole(Box::new(parts), length)
            }),
        Ok(httparse::Status::Partial) if buffer.len() < most => PipelineHead::Partial,
        _ => PipelineHead::Other,
    }
}

/// Returns the parts of a request that has no body for certain.
fn parts_of(head: &httparse::Request<'_, '_>) -> Option<Parts> {
    if head.method != Some(Method::GET.as_str()) || head.version != Some(1) {
        return None;
    }
    let mut headers = HeaderMap::with_capacity(head.headers.len());
    for header in head.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        headers.append(name, value);
    }
    let framed = [CONTENT_LENGTH, TRANSFER_ENCODING, UPGRADE, EXPECT];
    if framed.iter().any(|name| headers.contains_key(name)) {
        return None;
    }
    let mut request = Request::builder().uri(head.path?).body(()).ok()?;
    *request.headers_mut() = headers;
    Some(request.into_parts().0)
}

async fn write_answer(
    stream: &mut ClientStream,
    answer: Response<AnswerBody>,
    last: bool,
) -> std::io::Result<()> {
    let (parts, body) = answer.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(never) => match never {},
    };
    let mut bytes = Vec::with_capacity(256 + body.len());
    let reason = parts.status.canonical_reason().unwrap_or("Other");
    let line = format!("HTTP/1.1 {} {reason}\r\n", parts.status.as_u16());
    bytes.extend_from_slice(line.as_bytes());
    for (name, value) in &parts.headers {
        if *name == CONTENT_LENGTH || *name == CONNECTION {
            continue;
        }
        put_header(&mut bytes, name.as_str().as_bytes(), value.as_bytes());
    }
    if parts.status != StatusCode::NO_CONTENT && parts.status != StatusCode::NOT_MODIFIED {
        put_header(
            &mut bytes,
            b"content-length",
            body.len().to_string().as_bytes(),
        );
    }
    if last {
        put_header(&mut bytes, b"connection", b"close");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(&body);
    stream.write_all(&bytes).await
}

fn put_header(bytes: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    bytes.extend_from_slice(name);
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
}
