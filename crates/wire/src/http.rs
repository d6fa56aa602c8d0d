//! HTTP connections to backend servers.

use std::convert::Infallible;
use std::error::Error;
use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;

use async_std::task;
use futures_util::future;
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// Longest wait for an open connection to get ready for its next request.
const READY_WAIT: Duration = Duration::from_millis(5);

/// Most bytes of an answer's head.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A connection that carries one request at a time. Dropping it closes the socket.
#[derive(Debug)]
pub struct HttpConnection<B> {
    /// Sends requests on it.
    pub sender: http1::SendRequest<B>,
    socket: socket2::Socket,
    _closer: oneshot::Sender<Infallible>,
}

impl<B> HttpConnection<B>
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    /// Starts HTTP on a stream; `held` is dropped when the connection has ended.
    ///
    /// # Errors
    ///
    /// Fails where the socket has no second handle, or the library refuses it.
    pub async fn start<E>(
        stream: TcpStream,
        mut builder: http1::Builder,
        held: impl Send + 'static,
    ) -> Result<Self, E>
    where
        E: From<io::Error> + From<hyper::Error>,
    {
        let socket = socket2::SockRef::from(&stream).try_clone()?;
        let (sender, driver) = builder
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        let (closer, closed) = oneshot::channel::<Infallible>();
        task::spawn(async move {
            future::select(driver, closed).await;
            drop(held);
        });
        Ok(Self {
            sender,
            socket,
            _closer: closer,
        })
    }

    /// Waits shortly until the connection can take its next request. Gives false for a connection
    /// that closed, or on which bytes wait that nobody asked for.
    pub async fn get_ready(&mut self) -> bool {
        if !self.sender.is_ready() {
            let ready = tokio::time::timeout(READY_WAIT, self.sender.ready()).await;
            if !matches!(ready, Ok(Ok(()))) {
                return false;
            }
        }
        self.is_silent()
    }

    /// Tells whether the socket is open and has nothing to read.
    fn is_silent(&self) -> bool {
        let mut byte = [MaybeUninit::<u8>::uninit()];
        let peeked = self.socket.peek(&mut byte);
        matches!(peeked, Err(err) if err.kind() == io::ErrorKind::WouldBlock)
    }
}
