//! Listener that accepts connections and serves one bounded request on each.
//!
//! The HTTP library limits neither the size of a head nor the time until it has arrived. Therefore
//! the listener first reads the whole request of a connection, within limits of size and time, and
//! then passes it to the library.

use std::io::{self, Cursor};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::future;
use async_std::io::{Read, ReadExt, Write, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;

use crate::operator::head::{RequestHead, RequestRejection};
use crate::operator::routes::OperatorApp;

/// Accepts and serves connections of operators.
#[derive(Debug)]
pub struct OperatorListener {
    app: OperatorApp,
    open: Arc<AtomicUsize>,
}

impl OperatorListener {
    /// Most connections that are served at once; further ones are rejected with status 503.
    pub const MAX_SERVED_CONNECTIONS: usize = 128;

    /// Most open connections, rejected ones included; further ones are closed without an answer.
    pub const MAX_OPEN_CONNECTIONS: usize = 2 * Self::MAX_SERVED_CONNECTIONS;

    /// Time for which data from an answered client is still read before its connection is closed.
    /// Unread data would reset the connection, and the client might lose the answer.
    pub const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

    /// Most bytes that are still read from an answered client.
    const MAX_LINGER_BYTES: u64 = 256 << 10;

    /// Timeout until the whole request has arrived.
    pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

    /// Timeout of the whole exchange of request and answer.
    pub const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(20);

    /// Delay after a failure to accept a connection.
    const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

    /// Creates a listener that passes requests to an application.
    pub fn new(app: OperatorApp) -> Self {
        Self {
            app,
            open: Arc::default(),
        }
    }

    /// Returns the counter of open connections, which stays valid after the listener is dropped.
    pub fn open_connections(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.open)
    }

    /// Accepts connections until the task is cancelled.
    pub async fn run(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.spawn_connection(stream),
                Err(e) => {
                    log::warn!(
                        target: "operators",
                        "accepting a connection failed, will retry: {e}"
                    );
                    task::sleep(Self::ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Serves a connection in a task of its own, or closes it where too many are open.
    fn spawn_connection(&self, stream: TcpStream) {
        let slot = ConnectionSlot::acquire(&self.open);
        if slot.open_before >= Self::MAX_OPEN_CONNECTIONS {
            return;
        }
        let app = self.app.clone();
        task::spawn(async move {
            let served =
                future::timeout(Self::EXCHANGE_TIMEOUT, serve_connection(stream, &slot, app));
            if let Ok(Err(e)) = served.await {
                log::debug!(
                    target: "operators",
                    "connection failed before its answer was sent: {e}"
                );
            }
        });
    }
}

/// Counts one open connection until it is dropped.
#[derive(Debug)]
struct ConnectionSlot {
    open: Arc<AtomicUsize>,
    /// Number of connections that were open when this one was accepted.
    open_before: usize,
}

impl ConnectionSlot {
    fn acquire(open: &Arc<AtomicUsize>) -> Self {
        Self {
            open: Arc::clone(open),
            open_before: open.fetch_add(1, Ordering::AcqRel),
        }
    }

    /// Returns whether the connection is served rather than rejected.
    fn is_admitted(&self) -> bool {
        self.open_before < OperatorListener::MAX_SERVED_CONNECTIONS
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Reads the request of a connection and writes its answer.
async fn serve_connection(
    mut stream: TcpStream,
    slot: &ConnectionSlot,
    app: OperatorApp,
) -> http_types::Result<()> {
    if !slot.is_admitted() {
        let rejection = RequestRejection {
            status: "503 Service Unavailable",
            reason: "too many connections; come back later",
        };
        return Ok(reject(&mut stream, rejection).await?);
    }
    let mut bytes = Vec::new();
    let request = loop {
        let reading = read_request(&mut stream, &mut bytes);
        match future::timeout(OperatorListener::REQUEST_TIMEOUT, reading).await {
            Ok(Ok(Some(request))) => break request,
            Ok(Ok(None)) => return Ok(()),
            Ok(Err(RequestError::Io(e))) => return Err(e.into()),
            Ok(Err(RequestError::Rejected(rejection))) => {
                return Ok(reject(&mut stream, rejection).await?);
            }
            Err(_) if !bytes.is_empty() => {
                let rejection = RequestRejection {
                    status: "408 Request Timeout",
                    reason: "send the whole request within 5 s",
                };
                return Ok(reject(&mut stream, rejection).await?);
            }
            Err(_) if has_unread_bytes(&stream).await => {}
            // Nothing was read, so a request that arrives later is reset and may be sent again.
            Err(_) => return Ok(()),
        }
    };
    let request = BufferedRequest::new(request, stream.clone());
    async_h1::accept(request, |request| {
        let app = app.clone();
        async move { app.answer(request).await }
    })
    .await?;
    Ok(linger(&mut stream).await?)
}

/// Reason why a request can't be read.
enum RequestError {
    Io(io::Error),
    Rejected(RequestRejection),
}

impl From<io::Error> for RequestError {
    fn from(err: io::Error) -> Self {
        Self::Io(err)
    }
}

/// Reads one whole request; `None` where the client closed the connection without sending any data.
/// `bytes` takes what is read of the head, so that it is empty only if nothing was read.
async fn read_request(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
) -> Result<Option<Vec<u8>>, RequestError> {
    let mut chunk = [0; 8 << 10];
    let head = loop {
        let count = stream.read(&mut chunk).await?;
        if count == 0 && bytes.is_empty() {
            return Ok(None);
        }
        if count == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        bytes.extend_from_slice(&chunk[..count]);
        if let Some(head) = RequestHead::parse(bytes).map_err(RequestError::Rejected)? {
            break head;
        }
    };
    let mut body = bytes.split_off(head.length);
    if head.expects_continue && body.len() < head.body_length {
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    while body.len() < head.body_length {
        let count = stream.read(&mut chunk).await?;
        if count == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        body.extend_from_slice(&chunk[..count]);
    }
    body.truncate(head.body_length);
    let mut request = head.text.into_bytes();
    request.append(&mut body);
    Ok(Some(request))
}

/// Returns whether a socket has bytes that weren't read.
async fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let peeked = future::timeout(Duration::ZERO, stream.peek(&mut byte)).await;
    matches!(peeked, Ok(Ok(count)) if count > 0)
}

/// Answers with a rejection and ends the connection.
async fn reject(stream: &mut TcpStream, rejection: RequestRejection) -> io::Result<()> {
    let RequestRejection { status, reason } = rejection;
    let body = serde_json::json!({ "error": reason }).to_string();
    let answer = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         retry-after: 1\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(answer.as_bytes()).await?;
    stream.flush().await?;
    linger(stream).await
}

/// Ends a connection whose answer announced the end: closes the server's side, then reads and
/// discards data until the client closes its side or a bound is reached.
async fn linger(stream: &mut TcpStream) -> io::Result<()> {
    stream.shutdown(Shutdown::Write)?;
    let rest = stream.take(OperatorListener::MAX_LINGER_BYTES);
    let drained = async_std::io::copy(rest, async_std::io::sink());
    // The client has its answer, so neither the data nor an error matters.
    let _ = future::timeout(OperatorListener::LINGER_TIMEOUT, drained).await;
    Ok(())
}

/// Stream that reads from one buffered request and writes to its connection.
#[derive(Clone)]
struct BufferedRequest {
    request: Arc<Mutex<Cursor<Vec<u8>>>>,
    stream: TcpStream,
}

impl BufferedRequest {
    fn new(request: Vec<u8>, stream: TcpStream) -> Self {
        Self {
            request: Arc::new(Mutex::new(Cursor::new(request))),
            stream,
        }
    }
}

impl Read for BufferedRequest {
    fn poll_read(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut request = self.request.lock().unwrap_or_else(PoisonError::into_inner);
        Poll::Ready(io::Read::read(&mut *request, buffer))
    }
}

impl Write for BufferedRequest {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
