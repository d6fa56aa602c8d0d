//! A connection to another replica that stays silent forever is replaced by a new one.
#![allow(missing_docs, clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use control::peers::PeerLinks;
use proof::wait::wait_until;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};
use wire::token::AccessToken;
use wire::v1;
use wire::v1::replica_server::{Replica, ReplicaServer};

/// A replica that records the highest sequence of the heartbeats that it receives.
#[derive(Clone, Default)]
struct FakeReplica {
    last_sequence: Arc<AtomicU64>,
}

#[tonic::async_trait]
impl Replica for FakeReplica {
    async fn deliver(
        &self,
        request: Request<v1::Envelope>,
    ) -> Result<Response<v1::DeliverReply>, Status> {
        let heartbeat = request.into_inner().beat.unwrap_or_default();
        self.last_sequence
            .fetch_max(heartbeat.sequence, Ordering::Relaxed);
        Ok(Response::new(v1::DeliverReply {}))
    }

    async fn submit(
        &self,
        _: Request<v1::SubmitRequest>,
    ) -> Result<Response<v1::SubmitReply>, Status> {
        Err(Status::unimplemented("not needed"))
    }

    async fn confirm(
        &self,
        _: Request<v1::ConfirmRequest>,
    ) -> Result<Response<v1::ConfirmReply>, Status> {
        Err(Status::unimplemented("not needed"))
    }
}

/// Relays connections to the target. Connections with numbers below `silent` stay open and drop all
/// bytes.
async fn relay(listener: TcpListener, target: SocketAddr, silent: Arc<AtomicUsize>) {
    for number in 0.. {
        let (client, _) = listener.accept().await.unwrap();
        let server = TcpStream::connect(target).await.unwrap();
        for (from, to) in [(client.clone(), server.clone()), (server, client)] {
            task::spawn(relay_direction(from, to, number, Arc::clone(&silent)));
        }
    }
}

/// Relays the bytes of one direction of a connection, or drops them while it is silent.
async fn relay_direction(
    mut from: TcpStream,
    mut to: TcpStream,
    number: usize,
    silent: Arc<AtomicUsize>,
) {
    let mut buffer = [0; 4096];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            return;
        }
        if number >= silent.load(Ordering::Relaxed) && to.write_all(&buffer[..count]).await.is_err()
        {
            return;
        }
    }
}

#[test]
fn messages_arrive_again_within_a_second_after_the_connection_went_silent() {
    let fake = FakeReplica::default();
    let silent = Arc::new(AtomicUsize::new(0));
    let links = task::block_on(task::spawn(start(fake.clone(), Arc::clone(&silent))));
    let mut sequence = 0;
    let mut wait_for_arrival = |timeout: Duration| {
        let first = sequence + 1;
        wait_until("a message", timeout, || {
            sequence += 1;
            let heartbeat = v1::Beat {
                sequence,
                ..v1::Beat::default()
            };
            task::block_on(async { links.broadcast_heartbeat(heartbeat) });
            fake.last_sequence.load(Ordering::Relaxed) >= first
        })
    };
    wait_for_arrival(Duration::from_secs(5)).unwrap();
    for connections in 1..=3 {
        silent.store(connections, Ordering::Relaxed);
        wait_for_arrival(Duration::from_secs(1)).unwrap();
    }
}

/// Starts the fake replica, a relay to it and links that connect to the relay.
async fn start(fake: FakeReplica, silent: Arc<AtomicUsize>) -> PeerLinks {
    let incoming = TcpIncoming::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let target = incoming.local_addr().unwrap();
    let server = tonic::transport::Server::builder()
        .add_service(ReplicaServer::new(fake))
        .serve_with_incoming(incoming);
    task::spawn(async move { server.await.unwrap() });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(relay(listener, target, silent));
    let addresses = [(1, address), (2, address)].into();
    PeerLinks::start(1, &addresses, &AccessToken::new("a-token-of-16-bytes"))
}
