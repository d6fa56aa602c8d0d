//! Measures throughput and latency of requests that a [`CallerServer`] forwards to a backend server
//! on loopback.
//!
//! The callers, the `CallerServer` and the backend server run in one process and share its threads.
//! Direct requests to the backend server are measured for comparison.
//!
//! ```text
//! cargo run --release -p forward --example forward_rate -- --callers 32 --seconds 4
//! ```

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use forward::fixed::FixedRoutes;
use forward::forwarder::RequestForwarder;
use forward::hooks::{ClaimStore, FallbackHandler};
use forward::idempotency::{ClaimCompletion, ClaimOutcome, ClaimRequest};
use forward::routes::RouteTable;
use forward::server::CallerServer;
use forward::settings::ForwardSettings;
use futures_util::future::BoxFuture;
use futures_util::FutureExt;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

/// Size of each response body in bytes.
const ANSWER_BYTES: usize = 512;

/// Parameters of one measurement.
#[derive(Clone, Copy)]
struct RateRun {
    callers: usize,
    duration: Duration,
    method: &'static str,
    /// Whether the callers connect to the backend server directly.
    direct: bool,
}

/// Grants every claim.
struct GrantAllClaims;

impl ClaimStore for GrantAllClaims {
    fn claim(&self, _: ClaimRequest) -> BoxFuture<'_, ClaimOutcome> {
        async { ClaimOutcome::Granted { attempt: 1 } }.boxed()
    }

    fn complete(&self, _: ClaimRequest, _: u64, _: ClaimCompletion) -> BoxFuture<'_, ()> {
        async {}.boxed()
    }
}

/// Answers every request that isn't forwarded with an empty response.
struct EmptyFallback;

impl FallbackHandler for EmptyFallback {
    fn handle(&self, _: http::Request<Bytes>) -> BoxFuture<'_, http::Response<Bytes>> {
        async { http::Response::new(Bytes::new()) }.boxed()
    }
}

fn main() {
    let mut args = pico_args::Arguments::from_env();
    let callers = args.opt_value_from_str("--callers").unwrap().unwrap_or(32);
    let seconds = args.opt_value_from_str("--seconds").unwrap().unwrap_or(3);
    println!("callers  path     method  requests/s     p50 us     p99 us   p99.9 us  failed");
    for (method, direct) in [("GET", true), ("GET", false), ("POST", false)] {
        let run = RateRun {
            callers,
            duration: Duration::from_secs(seconds),
            method,
            direct,
        };
        async_std::task::block_on(measure(run));
    }
}

async fn measure(run: RateRun) {
    let backend = start_backend().await;
    let address = if run.direct {
        backend
    } else {
        start_caller_server(backend).await
    };
    let callers = (0..run.callers).map(|_| async_std::task::spawn(call(address, run)));
    let mut total = Histogram::<u64>::new(3).unwrap();
    let mut failed = 0;
    for caller in callers.collect::<Vec<_>>() {
        let (histogram, count) = caller.await;
        total.add(histogram).unwrap();
        failed += count;
    }
    let rate = total.len() as f64 / run.duration.as_secs_f64();
    println!(
        "{:>7}  {:<7}  {:<6}  {rate:>10.0} {:>10} {:>10} {:>10} {failed:>7}",
        run.callers,
        if run.direct { "direct" } else { "forward" },
        run.method,
        total.value_at_quantile(0.5),
        total.value_at_quantile(0.99),
        total.value_at_quantile(0.999),
    );
}

async fn start_backend() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    async_std::task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            async_std::task::spawn(async move {
                let service = hyper::service::service_fn(|_| async {
                    let body = Full::new(Bytes::from_static(&[b'x'; ANSWER_BYTES]));
                    Ok::<_, Infallible>(http::Response::new(body))
                });
                let builder = hyper::server::conn::http1::Builder::new();
                let _ = builder
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    address
}

async fn start_caller_server(backend: SocketAddr) -> SocketAddr {
    let settings = ForwardSettings {
        max_backend_connections: 512,
        ..ForwardSettings::default()
    };
    let routes = FixedRoutes::default();
    routes.set("svc", &[backend], 512);
    let routes = Arc::new(RouteTable::Fixed(routes));
    let forwarder = RequestForwarder::new(settings, routes, Arc::new(GrantAllClaims));
    let server = CallerServer::new(Arc::new(forwarder), Arc::new(EmptyFallback));
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    async_std::task::spawn(async move { server.serve(listener).await });
    address
}

/// Sends requests one after the other. Returns their latencies in microseconds and the number of
/// failures.
async fn call(address: SocketAddr, run: RateRun) -> (Histogram<u64>, u64) {
    let mut histogram = Histogram::new(3).unwrap();
    let mut failed = 0;
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .unwrap();
    async_std::task::spawn(connection);
    let start = Instant::now();
    while start.elapsed() < run.duration {
        let request = http::Request::builder()
            .method(run.method)
            .uri("/s/svc/a")
            .header("host", "e")
            .body(Full::new(Bytes::new()))
            .unwrap();
        let sent = Instant::now();
        sender.ready().await.unwrap();
        let response = sender.send_request(request).await.unwrap();
        let status = response.status();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        histogram.record(sent.elapsed().as_micros() as u64).unwrap();
        if status != 200 || body.len() != ANSWER_BYTES {
            failed += 1;
        }
    }
    (histogram, failed)
}
