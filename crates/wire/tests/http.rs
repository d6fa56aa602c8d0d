//! What a backend server gets of a request that was given up.
#![allow(missing_docs, clippy::unwrap_used)]

use std::io::{Error, ErrorKind, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use async_std::task;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::Request;
use quick_error::quick_error;
use socket2::{Domain, Socket, Type};
use wire::http::HttpConnection;

/// Size of the body, which fits the send queue and not the receive queue.
const BODY_BYTES: usize = 200_000;

quick_error! {
    #[derive(Debug)]
    enum OpenError {
        Io(err: Error) { from() }
        Http(err: hyper::Error) { from() }
    }
}

/// Returns a listener whose connections receive few bytes before they are read.
fn narrow_listener() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(2_048).unwrap();
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&address.into()).unwrap();
    socket.listen(8).unwrap();
    socket
}

async fn connect(address: SocketAddr) -> HttpConnection<Full<Bytes>> {
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let builder = http1::Builder::new();
    let connection = HttpConnection::start::<OpenError>(stream, builder, ());
    connection.await.unwrap()
}

/// Reads until the connection ends, and returns the number of bytes and how it ended.
fn read_all(mut stream: TcpStream) -> (usize, Option<ErrorKind>) {
    let mut buffer = [0; 4_096];
    let mut bytes = 0;
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return (bytes, None),
            Ok(read) => bytes += read,
            Err(e) => return (bytes, Some(e.kind())),
        }
    }
}

/// A request that was given up stayed in the send queue of the host, and reached its server seconds later, when the
/// server could receive again.
#[test]
fn a_request_that_was_given_up_is_not_delivered_later() {
    let listener = narrow_listener();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    task::block_on(async {
        let mut connection = connect(address).await;
        connection.begin_head();
        let body = Full::new(Bytes::from(vec![b'x'; BODY_BYTES]));
        let request = Request::post("/").body(body).unwrap();
        let answer = connection.sender.try_send_request(request);
        let answer = tokio::time::timeout(Duration::from_millis(200), answer).await;
        assert!(answer.is_err(), "nothing answers");
    });
    let (socket, _) = listener.accept().unwrap();
    std::thread::sleep(Duration::from_millis(200));
    let (bytes, end) = read_all(socket.into());
    assert_eq!(end, Some(ErrorKind::ConnectionReset), "{bytes} bytes came");
    assert!(bytes < BODY_BYTES, "the whole request came");
}

/// A connection that is closed between exchanges ends in the ordinary way, so that nothing in transit is lost.
#[test]
fn an_idle_connection_is_closed_without_a_reset() {
    let listener = narrow_listener();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    task::block_on(async {
        let mut connection = connect(address).await;
        connection.begin_head();
        connection.end_exchange();
    });
    let (socket, _) = listener.accept().unwrap();
    assert_eq!(read_all(socket.into()), (0, None));
}
