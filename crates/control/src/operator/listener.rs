//! Connections: one bounded request on each.
//!
//! The HTTP library bounds neither a head nor the time that it takes, so each connection's one
//! request is read whole, within bounds, before the library sees it.

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

use crate::operator::head::{HeadRefusal, RequestHead};
use crate::operator::routes::OperatorApp;

/// Answers operators' connections.
#[derive(Debug)]
pub struct OperatorListener {
    app: OperatorApp,
    open: Arc<AtomicUsize>,
}

impl OperatorListener {
    /// Most connections at once; others are refused.
    pub const MAX_CONNECTIONS: usize = 128;

    /// Connections above which one more is closed without an answer.
    pub const MAX_REFUSED: usize = 2 * Self::MAX_CONNECTIONS;

    /// Time for which a refused client may still send before its connection is closed, so that the
    /// refusal isn't lost to a reset.
    pub const LINGER: Duration = Duration::from_millis(500);

    /// Most bytes that are read from a refused client, of which it sends no more.
    const LINGER_BYTES: u64 = 256 << 10;

    /// Time for the whole request to arrive.
    pub const REQUEST_BOUND: Duration = Duration::from_secs(5);

    /// Time for the whole exchange.
    pub const EXCHANGE_BOUND: Duration = Duration::from_secs(20);

    /// Pause after a connection that could not be accepted.
    const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

    /// Creates a listener of an application.
    pub fn new(app: OperatorApp) -> Self {
        Self {
            app,
            open: Arc::default(),
        }
    }

    /// Returns the number of open connections, which outlives the listener.
    pub fn open(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.open)
    }

    /// Accepts connections for as long as the task runs.
    pub async fn run(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.take(stream),
                Err(e) => {
                    log::warn!(target: "operators", "a connection was not accepted: {e}");
                    task::sleep(Self::ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn take(&self, stream: TcpStream) {
        let slot = ConnectionSlot::take(&self.open);
        if slot.number >= Self::MAX_REFUSED {
            return;
        }
        let app = self.app.clone();
        task::spawn(async move {
            let served = future::timeout(Self::EXCHANGE_BOUND, serve(stream, &slot, app));
            if let Ok(Err(e)) = served.await {
                log::debug!(target: "operators", "a connection ended early: {e}");
            }
        });
    }
}

/// Counts one open connection until it is dropped.
#[derive(Debug)]
struct ConnectionSlot {
    open: Arc<AtomicUsize>,
    /// Connections that were open before.
    number: usize,
}

impl ConnectionSlot {
    fn take(open: &Arc<AtomicUsize>) -> Self {
        Self {
            open: Arc::clone(open),
            number: open.fetch_add(1, Ordering::AcqRel),
        }
    }

    fn is_admitted(&self) -> bool {
        self.number < OperatorListener::MAX_CONNECTIONS
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn serve(
    mut stream: TcpStream,
    slot: &ConnectionSlot,
    app: OperatorApp,
) -> http_types::Result<()> {
    if !slot.is_admitted() {
        let refusal = HeadRefusal {
            status: "503 Service Unavailable",
            reason: "too many connections; come back later",
        };
        return Ok(refuse(&mut stream, refusal).await?);
    }
    let read = future::timeout(OperatorListener::REQUEST_BOUND, read_request(&mut stream));
    let request = match read.await {
        Ok(Ok(Some(request))) => request,
        Ok(Ok(None)) => return Ok(()),
        Ok(Err(RequestError::Io(e))) => return Err(e.into()),
        Ok(Err(RequestError::Refused(refusal))) => {
            return Ok(refuse(&mut stream, refusal).await?);
        }
        Err(_) => {
            let refusal = HeadRefusal {
                status: "408 Request Timeout",
                reason: "send the whole request within 5 s",
            };
            return Ok(refuse(&mut stream, refusal).await?);
        }
    };
    let whole = WholeRequest::new(request, stream);
    async_h1::accept(whole, |request| {
        let app = app.clone();
        async move { app.answer(request).await }
    })
    .await
}

/// Why a request was not read.
enum RequestError {
    Io(io::Error),
    Refused(HeadRefusal),
}

impl From<io::Error> for RequestError {
    fn from(err: io::Error) -> Self {
        Self::Io(err)
    }
}

/// Reads one whole request; nothing where the client closed before it sent any.
async fn read_request(stream: &mut TcpStream) -> Result<Option<Vec<u8>>, RequestError> {
    let mut bytes = Vec::new();
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
        if let Some(head) = RequestHead::read(&bytes).map_err(RequestError::Refused)? {
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

async fn refuse(stream: &mut TcpStream, refusal: HeadRefusal) -> io::Result<()> {
    let HeadRefusal { status, reason } = refusal;
    let body = serde_json::json!({ "error": reason }).to_string();
    let answer = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         retry-after: 1\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(answer.as_bytes()).await?;
    stream.flush().await?;
    stream.shutdown(Shutdown::Write)?;
    let rest = stream.take(OperatorListener::LINGER_BYTES);
    let drained = async_std::io::copy(rest, async_std::io::sink());
    // Whatever still comes is of no interest.
    let _ = future::timeout(OperatorListener::LINGER, drained).await;
    Ok(())
}

/// Reads from one request that is whole, and writes to its connection.
#[derive(Clone)]
struct WholeRequest {
    request: Arc<Mutex<Cursor<Vec<u8>>>>,
    stream: TcpStream,
}

impl WholeRequest {
    fn new(request: Vec<u8>, stream: TcpStream) -> Self {
        Self {
            request: Arc::new(Mutex::new(Cursor::new(request))),
            stream,
        }
    }
}

impl Read for WholeRequest {
    fn poll_read(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut request = self.request.lock().unwrap_or_else(PoisonError::into_inner);
        Poll::Ready(io::Read::read(&mut *request, buffer))
    }
}

impl Write for WholeRequest {
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
