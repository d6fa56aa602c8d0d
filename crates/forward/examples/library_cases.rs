//! Compares how async-h1 and hyper handle the same raw bytes, as clients and as servers.
//!
//! ```text
//! cargo run -p forward --example library_cases
//! ```

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::convert::Infallible;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use async_std::future::timeout;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full};
use hyper_util::rt::TokioIo;

/// Time limit of one case.
const CASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Size in bytes of the request head without an end.
const ENDLESS_BYTES: usize = 1 << 20;

/// Name and raw bytes of each response that a client reads.
const RESPONSES: [(&str, &str); 5] = [
    (
        "cut before its content-length",
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345",
    ),
    (
        "cut chunked",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n",
    ),
    ("without framing", "HTTP/1.1 200 OK\r\n\r\n12345"),
    (
        "100 before the answer",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    ),
    (
        "two differing content-lengths",
        "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
    ),
];

/// Name and raw bytes of each request that a server reads.
const REQUESTS: [(&str, &str); 4] = [
    (
        "two differing content-lengths",
        "POST / HTTP/1.1\r\nhost: e\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
    ),
    (
        "content-length and chunked",
        "POST / HTTP/1.1\r\nhost: e\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    ),
    ("malformed", "hello\r\n\r\n"),
    ("space before a colon", "GET / HTTP/1.1\r\nhost : e\r\n\r\n"),
];

fn main() {
    async_std::task::block_on(async {
        println!("| answer | async-h1 | hyper |\n|---|---|---|");
        for (name, bytes) in RESPONSES {
            let async_h1 = timeout(CASE_TIMEOUT, ask_async_h1(backend(bytes))).await;
            let hyper = timeout(CASE_TIMEOUT, ask_hyper(backend(bytes))).await;
            let timed_out = || "nothing within 2 s".to_string();
            println!(
                "| {name} | {} | {} |",
                async_h1.unwrap_or_else(|_| timed_out()),
                hyper.unwrap_or_else(|_| timed_out())
            );
        }
        let (async_h1, hyper) = (serve_async_h1().await, serve_hyper().await);
        println!("\n| request | async-h1 | hyper |\n|---|---|---|");
        for (name, bytes) in REQUESTS {
            println!(
                "| {name} | {} | {} |",
                send_raw(async_h1, bytes),
                send_raw(hyper, bytes)
            );
        }
        let (async_h1, hyper) = (send_endless_head(async_h1), send_endless_head(hyper));
        println!("| 1 MiB of head without a line end | {async_h1} | {hyper} |");
    });
}

/// Starts a server that sends raw bytes on one connection.
fn backend(bytes: &'static str) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]);
        let _ = stream.write_all(bytes.as_bytes());
    });
    address
}

async fn ask_async_h1(address: SocketAddr) -> String {
    let stream = async_std::net::TcpStream::connect(address).await.unwrap();
    let url = http_types::Url::parse("http://e/").unwrap();
    let request = http_types::Request::new(http_types::Method::Get, url);
    let mut response = match async_h1::connect(stream, request).await {
        Ok(response) => response,
        Err(err) => return format!("error: {err}"),
    };
    let status = response.status();
    match response.body_bytes().await {
        Ok(body) => format!("{status} with {} bytes as a whole answer", body.len()),
        Err(err) => format!("error in the body: {err}"),
    }
}

async fn ask_hyper(address: SocketAddr) -> String {
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.unwrap();
    async_std::task::spawn(connection);
    let request = http::Request::builder().uri("/").header("host", "e");
    let request = request.body(Empty::<Bytes>::new()).unwrap();
    let response = match sender.send_request(request).await {
        Ok(response) => response,
        Err(err) => return format!("error: {err}"),
    };
    let status = response.status().as_u16();
    match response.into_body().collect().await {
        Ok(body) => format!(
            "{status} with {} bytes as a whole answer",
            body.to_bytes().len()
        ),
        Err(err) => format!("error in the body: {err}"),
    }
}

async fn serve_async_h1() -> SocketAddr {
    let listener = async_std::net::TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    async_std::task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            async_std::task::spawn(async_h1::accept(stream, |mut request| async move {
                let _ = request.body_bytes().await?;
                Ok(http_types::Response::new(200))
            }));
        }
    });
    address
}

async fn serve_hyper() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    async_std::task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = hyper::service::service_fn(|request: http::Request<_>| async {
                let _ = BodyExt::collect(request.into_body() as hyper::body::Incoming).await;
                Ok::<_, Infallible>(http::Response::new(Full::<Bytes>::default()))
            });
            let http = hyper::server::conn::http1::Builder::new();
            async_std::task::spawn(http.serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

/// Sends raw bytes and returns a description of the response.
fn send_raw(address: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(CASE_TIMEOUT)).unwrap();
    stream.write_all(bytes.as_bytes()).unwrap();
    let mut answer = [0; 1024];
    match stream.read(&mut answer) {
        Ok(0) => "closed without an answer".into(),
        Ok(count) => String::from_utf8_lossy(&answer[..count])
            .lines()
            .next()
            .unwrap_or_default()
            .to_string(),
        Err(err) => format!("no answer: {err}"),
    }
}

/// Sends a request head without an end and returns how the server reacts.
fn send_endless_head(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(CASE_TIMEOUT)).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nx: ").unwrap();
    let mut sent = 0;
    while sent < ENDLESS_BYTES && stream.write_all(&[b'a'; 16 << 10]).is_ok() {
        sent += 16 << 10;
        thread::sleep(Duration::from_millis(2));
    }
    let mut answer = [0; 64];
    match stream.read(&mut answer) {
        Ok(count) if count > 0 => "refused".into(),
        Ok(_) => "closed".into(),
        Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => "all taken, waits".into(),
        Err(_) => "closed".into(),
    }
}
