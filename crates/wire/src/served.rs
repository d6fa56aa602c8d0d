//! Accepted HTTP/1 connections, from the accept to the end.
//!
//! A connection ends in one of two ways. If its last answer announced the end, the server closes its
//! side, then reads and discards what still comes, because unread bytes would reset the connection
//! and the answer could be lost. A late head gets such an answer. Otherwise nothing of a further
//! request has been read, and the socket is closed at once: a request that arrives later is reset
//! unread, so that its client may send it again.

use std::convert::Infallible;
use std::error::Error;
use std::future::{self, Future};
use std::mem::MaybeUninit;
use std::pin::{pin, Pin};
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};

use http::header::CONNECTION;
use http::{Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Sleep;

pub use crate::activity::ConnectionLimits;
use crate::activity::{self, ActiveStream, ConnectionActivity, TrackedBody};

/// Longest time in which a lingering close reads and discards bytes.
const MAX_LINGER: Duration = Duration::from_secs(1);
/// Maximum number of bytes that a lingering close reads and discards.
const MAX_LINGER_BYTES: usize = 4 << 20;
/// Answer to a head that didn't arrive in time.
const LATE_HEAD_ANSWER: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Stream of a served connection.
pub trait ServedStream: AsyncRead + AsyncWrite + Unpin {
    /// Returns the socket.
    fn socket(&self) -> &TcpStream;

    /// Unwraps the socket.
    fn into_socket(self) -> TcpStream;
}

impl ServedStream for TcpStream {
    fn socket(&self) -> &TcpStream {
        self
    }

    fn into_socket(self) -> TcpStream {
        self
    }
}

/// Accepted connection whose requests are answered.
#[derive(Debug)]
pub struct ServedConnection<S> {
    stream: S,
    activity: Arc<ConnectionActivity>,
    limits: ConnectionLimits,
}

/// End of the service on a connection.
#[derive(Debug)]
enum ServiceEnd {
    /// The client or an announcement ended it, or it failed.
    Ended(hyper::Result<()>),
    /// No complete request arrived in time.
    LimitPassed,
}

impl<S: ServedStream> ServedConnection<S> {
    /// Takes over an accepted connection.
    pub fn new(stream: S, limits: ConnectionLimits) -> Self {
        Self {
            stream,
            activity: ConnectionActivity::start(Instant::now()),
            limits,
        }
    }

    /// Answers requests until the connection ends. An answer with the header `Connection` announces
    /// the end. From the time at which `closing` is ready, the connection ends as soon as it has been
    /// without a request for a short time.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn serve<A, B, F>(
        self,
        mut builder: http1::Builder,
        answer: impl Fn(Request<Incoming>) -> A,
        closing: F,
    ) -> hyper::Result<()>
    where
        A: Future<Output = Response<B>>,
        B: Body + Unpin + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
        F: Future<Output = ()>,
    {
        // The library's timeout for heads would also end idle connections.
        builder.header_read_timeout(None);
        let Self {
            mut stream,
            activity,
            limits,
        } = self;
        let service = service_fn(|request| {
            activity.begin_answer();
            let answering = answer(request);
            Box::pin(async {
                let response = answering.await;
                if response.headers().contains_key(CONNECTION) {
                    activity.announce_end();
                }
                let tracked = |body| TrackedBody::new(body, activity.clone());
                Ok::<_, Infallible>(response.map(tracked))
            })
        });
        let mut closing = pin!(closing);
        let mut closing_at = None;
        let mut timer = pin!(tokio::time::sleep(limits.head_timeout));
        loop {
            let mut http = builder.serve_connection(
                TokioIo::new(ActiveStream::new(stream, activity.clone())),
                &service,
            );
            let serving = future::poll_fn(|cx| {
                if let Poll::Ready(ended) = http.poll_without_shutdown(cx) {
                    return Poll::Ready(ServiceEnd::Ended(ended));
                }
                if closing_at.is_none() && closing.as_mut().poll(cx).is_ready() {
                    closing_at = Some(Instant::now());
                }
                let Some(end) = activity.ends_at(limits, closing_at) else {
                    return Poll::Pending;
                };
                set_timer(timer.as_mut(), end);
                timer.as_mut().poll(cx).map(|()| ServiceEnd::LimitPassed)
            });
            let end = serving.await;
            let parts = http.into_parts();
            stream = parts.io.into_inner().into_inner();
            match end {
                ServiceEnd::Ended(ended) => {
                    linger(stream.into_socket()).await;
                    return ended;
                }
                // What still comes may be the rest of a body.
                ServiceEnd::LimitPassed if activity.is_announced() => {
                    linger(stream.into_socket()).await;
                    return Ok(());
                }
                ServiceEnd::LimitPassed => {}
            }
            if activity.is_in_head() || !activity::is_blank(&parts.read_buf) {
                answer_late_head(stream.into_socket()).await;
                return Ok(());
            }
            if !has_unread_bytes(stream.socket()) {
                return Ok(());
            }
            // The kernel has bytes that the runtime hasn't reported yet.
            if stream.socket().readable().await.is_err() {
                return Ok(());
            }
        }
    }
}

fn set_timer(timer: Pin<&mut Sleep>, end: Instant) {
    let end = end.into();
    if timer.deadline() != end {
        timer.reset(end);
    }
}

/// Returns whether a socket has bytes that weren't read.
fn has_unread_bytes(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::<u8>::uninit()];
    matches!(SockRef::from(socket).peek(&mut byte), Ok(count) if count > 0)
}

/// Answers a head that didn't arrive in time, and ends its connection.
async fn answer_late_head(mut stream: TcpStream) {
    let writing = stream.write_all(LATE_HEAD_ANSWER);
    if let Ok(Ok(())) = tokio::time::timeout(MAX_LINGER, writing).await {
        linger(stream).await;
    }
}

/// Ends a connection whose end was announced: closes the server's side, then reads and discards
/// bytes until the client closes its side or a bound is reached.
async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut scratch = vec![0; 4096];
    let reading = async {
        let mut remaining = MAX_LINGER_BYTES;
        while let Ok(count) = stream.read(&mut scratch).await {
            remaining = remaining.saturating_sub(count);
            if count == 0 || remaining == 0 {
                break;
            }
        }
    };
    let _ = tokio::time::timeout(MAX_LINGER, reading).await;
}
