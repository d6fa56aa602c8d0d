//! Closing of a listener while clients connect.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use futures_util::FutureExt;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use wire::backlog;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Returns a runtime that learns of connections only while this thread waits in it.
fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().unwrap()
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn greet(stream: tokio::net::TcpStream) {
    let mut stream = stream.into_std().unwrap();
    stream.set_nonblocking(false).unwrap();
    stream.write_all(b"hello").unwrap();
}

#[test]
fn connections_the_runtime_has_not_seen_yet_are_passed_on() {
    runtime().block_on(async {
        let (listener, address) = listener().await;
        assert!(listener.accept().now_or_never().is_none());
        let clients: Vec<_> = (0..5)
            .map(|_| TcpStream::connect(address).unwrap())
            .collect();
        backlog::close(listener, |stream, _| greet(stream)).await;
        for mut client in clients {
            let mut text = String::new();
            client.read_to_string(&mut text).unwrap();
            assert_eq!(text, "hello");
        }
    });
}

#[test]
fn no_connection_begins_while_a_listener_closes() {
    runtime().block_on(async {
        let (listener, address) = listener().await;
        let _first = TcpStream::connect(address).unwrap();
        let mut errors = Vec::new();
        backlog::close(listener, |_, _| {
            let late = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
            errors.push(late.unwrap_err().kind());
        })
        .await;
        assert_eq!(errors, [ErrorKind::TimedOut]);
        let refused = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).unwrap_err();
        assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    });
}
