//! Client socket that detects a disconnect.
//!
//! hyper doesn't check for the end of a connection while its read buffer holds the next request, so
//! it wouldn't detect that a client with pipelined requests has disconnected.

use std::io::{self, Read};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use async_std::task;
use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Interval at which a socket with unread bytes is checked for a disconnect.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time for which a lingering close reads and discards bytes of the client.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Most bytes that a lingering close reads.
const MAX_LINGER_BYTES: usize = 1 << 20;

/// Reads in a row that find bytes, after which the task yields.
const MAX_READS_IN_A_ROW: u32 = 16;

/// Bytes that a client sent after the host had closed its side of the connection.
#[derive(Debug)]
pub struct DiscardedInput {
    /// Number of bytes.
    pub bytes: usize,
    /// The first of them.
    pub first: Vec<u8>,
    /// Time from the close of the host's side to the arrival of the first bytes.
    pub delay: Duration,
}

/// A handle to a client socket; clones share the socket.
#[derive(Debug, Clone)]
pub struct ClientStream {
    socket: Arc<TcpStream>,
    reads_in_a_row: u32,
}

impl ClientStream {
    /// Creates the first handle to a socket.
    pub fn new(socket: TcpStream) -> Self {
        Self {
            socket: Arc::new(socket),
            reads_in_a_row: 0,
        }
    }

    /// Waits until the client has closed its side of the connection.
    pub async fn disconnected(&self) {
        loop {
            match self.socket.ready(Interest::READABLE).await {
                Ok(ready) if ready.is_read_closed() => return,
                Ok(_) => {}
                Err(_) => return,
            }
            // While unread bytes wait, `ready` returns at once, so the loop polls at an interval.
            tokio::time::sleep(DISCONNECT_POLL_INTERVAL).await;
        }
    }

    /// Reads the bytes that wait in the socket, whether the runtime has noticed them or not.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::WouldBlock`] if none wait, and the errors of the socket.
    pub fn read_waiting(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        let mut waiting = [0; 4096];
        let count = (&*SockRef::from(&*self.socket)).read(&mut waiting)?;
        buffer.extend_from_slice(&waiting[..count]);
        Ok(count)
    }

    /// Closes the writing side, then reads and discards bytes until the client closes its side, has sent
    /// too many, or a timeout passes. Closing the socket with unread bytes at once would reset the
    /// connection, and the client could lose the last answer. Returns what was discarded.
    pub async fn lingering_close(&self) -> Option<DiscardedInput> {
        let shutdown = SockRef::from(&*self.socket).shutdown(std::net::Shutdown::Write);
        if shutdown.is_err() {
            return None;
        }
        let closed_at = Instant::now();
        let mut discarded: Option<DiscardedInput> = None;
        let reading = async {
            let mut scratch = vec![0; 4096];
            loop {
                if self.socket.readable().await.is_err() {
                    return;
                }
                match self.socket.try_read(&mut scratch) {
                    Ok(0) => return,
                    Ok(count) => {
                        let input = discarded.get_or_insert_with(|| DiscardedInput {
                            bytes: 0,
                            first: scratch[..count].to_vec(),
                            delay: closed_at.elapsed(),
                        });
                        input.bytes += count;
                        if input.bytes >= MAX_LINGER_BYTES {
                            return;
                        }
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
                // While the client sends, the socket is always readable.
                task::yield_now().await;
            }
        };
        let _ = tokio::time::timeout(LINGER_TIMEOUT, reading).await;
        discarded
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.reads_in_a_row >= MAX_READS_IN_A_ROW {
            self.reads_in_a_row = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        loop {
            if self.socket.poll_read_ready(cx)?.is_pending() {
                self.reads_in_a_row = 0;
                return Poll::Pending;
            }
            match self.socket.try_read(buffer.initialize_unfilled()) {
                Ok(count) => {
                    self.reads_in_a_row += 1;
                    buffer.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            match self.socket.try_write(buffer) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            match self.socket.try_write_vectored(buffers) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.socket).shutdown(std::net::Shutdown::Write))
    }
}
