//! A client's socket, with notice of its end.
//!
//! The HTTP library doesn't look for the end of a connection while the next request waits in its
//! buffer, so a client that pipelines and leaves would not be noticed.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// One handle on a client's socket.
#[derive(Debug, Clone)]
pub struct ClientStream {
    socket: Arc<TcpStream>,
}

impl ClientStream {
    /// Takes a socket over.
    pub fn new(socket: TcpStream) -> Self {
        Self {
            socket: Arc::new(socket),
        }
    }

    /// Waits until the client has closed its side.
    pub async fn closed(&self) {
        loop {
            match self.socket.ready(Interest::READABLE).await {
                Ok(ready) if ready.is_read_closed() => return,
                Ok(_) => {}
                Err(_) => return,
            }
            // Readable bytes alone would end each wait at once.
            tokio::time::sleep(CLOSE_LOOK).await;
        }
    }

    /// Ends the connection so that its last answer arrives also where unread bytes came in.
    pub async fn linger(&self) {
        let shut = socket2::SockRef::from(&*self.socket).shutdown(std::net::Shutdown::Write);
        if shut.is_err() {
            return;
        }
        let reading = async {
            let mut scratch = vec![0; 4096];
            loop {
                if self.socket.readable().await.is_err() {
                    return;
                }
                match self.socket.try_read(&mut scratch) {
                    Ok(0) => return,
                    Ok(_) => {}
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
        };
        let _ = tokio::time::timeout(LINGER_TIME, reading).await;
    }
}

/// Pause between two looks whether a client with unread bytes has left.
const CLOSE_LOOK: std::time::Duration = std::time::Duration::from_millis(50);

/// Longest time in which a closed connection's last bytes are read and dropped.
const LINGER_TIME: std::time::Duration = std::time::Duration::from_millis(500);

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            match self.socket.try_read(buffer.initialize_unfilled()) {
                Ok(count) => {
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
        Poll::Ready(socket2::SockRef::from(&*self.socket).shutdown(std::net::Shutdown::Write))
    }
}
