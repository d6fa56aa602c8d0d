//! Closing of a listener under load.
//!
//! The kernel accepts connections on its own, and closing the listener resets those that the
//! process hasn't taken over yet. Their clients have usually sent a request already.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};

/// Time for which handshakes that have begun may still finish.
const HANDSHAKE_GRACE: Duration = Duration::from_millis(10);

/// Classic BPF program for the segments that reach a listener: drops those with the SYN flag and
/// passes all others, so that no handshake begins and those under way can finish.
const DROP_SYN: [SockFilter; 4] = [
    // Loads the byte with the flags of the TCP header.
    SockFilter::new(0x30, 0, 0, 13),
    // Skips an instruction unless SYN is set.
    SockFilter::new(0x45, 0, 1, 0x02),
    SockFilter::new(0x06, 0, 0, 0),
    SockFilter::new(0x06, 0, 0, u32::MAX),
];

/// Closes a listener after passing on each connection that the kernel has accepted for it.
///
/// A client that connects meanwhile gets no reply, tries again after the first retransmission
/// timeout, and is then refused.
pub async fn close(listener: TcpListener, mut handle: impl FnMut(TcpStream, SocketAddr)) {
    if let Err(e) = SockRef::from(&listener).attach_filter(&DROP_SYN) {
        log::warn!(
            target: "listener",
            "can't stop new connections before closing, a few may be reset; error={e}"
        );
    }
    let result = async {
        // The readiness that the runtime keeps may be older than the queue.
        let listener = listener.into_std()?;
        accept_queued(&listener, &mut handle)?;
        tokio::time::sleep(HANDSHAKE_GRACE).await;
        accept_queued(&listener, &mut handle)
    };
    if let Err(e) = result.await {
        log::warn!(
            target: "listener",
            "accepting failed while closing, a few connections may be reset; error={e}"
        );
    }
}

fn accept_queued(
    listener: &std::net::TcpListener,
    handle: &mut impl FnMut(TcpStream, SocketAddr),
) -> io::Result<()> {
    loop {
        match listener.accept() {
            Ok((stream, peer)) => {
                stream.set_nonblocking(true)?;
                handle(TcpStream::from_std(stream)?, peer);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
            Err(e) => return Err(e),
        }
    }
}
