//! gRPC interface for other processes: access token, messages, shares, feed and planned stop.
#![allow(missing_docs, clippy::unwrap_used)]

mod common;

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{
    other_replicas, put, region_ticket, start_cluster, submit, wait_for_leader, wait_for_verdict,
};
use proof::cluster::{ProofCluster, TOKEN};
use proof::wait::wait_until;
use rstest::rstest;
use tonic::{Code, Status};
use wire::dial::{self, TokenChannel};
use wire::listen;
use wire::token::AccessToken;
use wire::v1;
use wire::v1::feed_client::FeedClient;
use wire::v1::feed_event::Kind;
use wire::v1::replica_client::ReplicaClient;
use wire::v1::shares_client::SharesClient;

/// Runs a future in a task, where the calls have the async runtime that they need.
fn block_on<T: Send + 'static>(work: impl std::future::Future<Output = T> + Send + 'static) -> T {
    async_std::task::block_on(async_std::task::spawn(work))
}

async fn dial(address: SocketAddr, token: &str) -> TokenChannel {
    dial::connect(address, &AccessToken::new(token))
        .await
        .unwrap()
}

fn code<T>(answer: Result<T, Status>) -> Code {
    answer.err().map_or(Code::Ok, |status| status.code())
}

#[test]
fn every_call_requires_the_token() {
    let cluster = ProofCluster::plan()
        .replicas(1)
        .entry_hosts(0)
        .start()
        .unwrap();
    let address = cluster.replicas[0].peers;
    for token in ["wrong-token-0123456789", "", "proof-token-012345678"] {
        let codes = block_on(async move {
            let channel = dial(address, token).await;
            let mut replica = ReplicaClient::new(channel.clone());
            let mut shares = SharesClient::new(channel.clone());
            let mut feed = FeedClient::new(channel);
            [
                code(replica.deliver(v1::Envelope::default()).await),
                code(replica.submit(v1::SubmitRequest::default()).await),
                code(replica.confirm(v1::ConfirmRequest {}).await),
                code(shares.lease(v1::LeaseRequest::default()).await),
                code(feed.watch(v1::WatchRequest::default()).await),
            ]
        });
        assert_eq!(codes, [Code::Unauthenticated; 5], "{token}");
    }
}

#[rstest]
#[case::addressed_to_another(2, Bytes::new(), Code::InvalidArgument)]
#[case::not_decodable(1, Bytes::from_static(&[255; 40]), Code::InvalidArgument)]
#[case::empty(1, Bytes::new(), Code::Ok)]
fn a_malformed_message_is_refused(#[case] to: u64, #[case] payload: Bytes, #[case] expected: Code) {
    let cluster = ProofCluster::plan()
        .replicas(1)
        .entry_hosts(0)
        .start()
        .unwrap();
    let address = cluster.replicas[0].peers;
    let envelope = v1::Envelope {
        from: 3,
        to,
        payload,
        beat: None,
    };
    let got = block_on(async move {
        let mut replica = ReplicaClient::new(dial(address, TOKEN).await);
        code(replica.deliver(envelope).await)
    });
    assert_eq!(got, expected);
}

async fn lease(address: SocketAddr, host: &str, rate: f64) -> Result<v1::LeaseReply, Status> {
    let demand = v1::PlaceDemand {
        service: "s".into(),
        zone: "n-a".into(),
        rate,
    };
    let request = v1::LeaseRequest {
        host: host.into(),
        demand: vec![demand],
        ..Default::default()
    };
    let mut shares = SharesClient::new(dial(address, TOKEN).await);
    Ok(shares.lease(request).await?.into_inner())
}

#[test]
fn only_the_leader_grants_shares_and_the_others_name_it() {
    let cluster = start_cluster();
    let ticket =
        "number = 1\n[region.n]\nzones = [\"n-a\"]\ncap = 100.0\n[service.s]\nclass = \"read\"\n\
        shift = 1.0\n[service.s.places.n-a]\ncap = 100.0\n[host.e1]\nzone = \"n-a\"\n\
        callers = \"10.0.0.1:1\"\npeers = \"10.0.0.1:2\"\n";
    submit(&cluster, 1, ticket);
    let leading = wait_for_leader(&cluster);
    let leader_peers = cluster.replicas[leading].peers;
    let other = cluster.replicas[other_replicas(leading)[0]].peers;
    let follower = block_on(async move { lease(other, "e1", 10.0).await.unwrap() });
    assert!(!follower.granted && follower.shares.is_empty());
    assert_eq!(follower.leader_peers, leader_peers.to_string());
    std::thread::sleep(Duration::from_secs(3));
    let grant = |host: &'static str| {
        let reply = block_on(async move { lease(leader_peers, host, 10.0).await.unwrap() });
        assert!(reply.granted);
        reply.shares.iter().map(|share| share.rate).sum::<f64>()
    };
    assert_eq!([grant("e1"), grant("unknown")], [50.0, 0.0]);
    let refused = block_on(async move { code(lease(leader_peers, "No Name", 1.0).await) });
    assert_eq!(refused, Code::InvalidArgument);
}

#[test]
fn idle_connections_without_the_token_are_bounded_and_closed() {
    let cluster = ProofCluster::plan()
        .replicas(1)
        .entry_hosts(0)
        .start()
        .unwrap();
    let address = cluster.replicas[0].peers;
    let idle: Vec<_> = (0..listen::MAX_CONNECTIONS + 100)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    let confirms = || {
        block_on(async move {
            let channel = dial::connect(address, &AccessToken::new(TOKEN)).await?;
            let call = ReplicaClient::new(channel)
                .confirm(v1::ConfirmRequest {})
                .await;
            Ok::<_, Box<dyn std::error::Error + Send + Sync>>(call.map(|_| ())?)
        })
    };
    assert!(
        confirms().is_err(),
        "connections beyond the limit are accepted"
    );
    // The replica still has file descriptors and writes the ticket to its disk.
    let (status, _) = submit(&cluster, 1, &region_ticket(1, "north", 1));
    assert_eq!(status, 200);
    let bound = listen::AUTH_TIMEOUT + Duration::from_secs(2);
    wait_until("room for a connection", bound, || confirms().is_ok()).unwrap();
    let open = idle.into_iter().filter(|stream| {
        stream.set_nonblocking(true).unwrap();
        let read = (&*stream).read(&mut [0; 64]);
        read.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    });
    assert_eq!(open.count(), 0);
}

#[test]
fn a_connection_with_the_token_stays_open_past_the_deadline_for_the_token() {
    let cluster = ProofCluster::plan()
        .replicas(1)
        .entry_hosts(0)
        .start()
        .unwrap();
    let (_, heartbeats) = watch_feed(
        cluster.replicas[0].peers,
        listen::AUTH_TIMEOUT + Duration::from_secs(2),
    );
    let time = Duration::from_millis(250) * u32::try_from(heartbeats.len()).unwrap();
    assert!(
        time > listen::AUTH_TIMEOUT,
        "{} heartbeats",
        heartbeats.len()
    );
}

/// Watches a replica's feed for some time, and returns the received revisions and heartbeats.
fn watch_feed(address: SocketAddr, time: Duration) -> (Vec<u64>, Vec<v1::Beat>) {
    block_on(async move {
        let mut feed = FeedClient::new(dial(address, TOKEN).await);
        let mut events = feed
            .watch(v1::WatchRequest::default())
            .await
            .unwrap()
            .into_inner();
        let (mut revisions, mut heartbeats) = (Vec::new(), Vec::new());
        let until = Instant::now() + time;
        while let Ok(event) = async_std::future::timeout(
            until.saturating_duration_since(Instant::now()),
            events.message(),
        )
        .await
        {
            match event.unwrap().unwrap().kind.unwrap() {
                Kind::Snapshot(snapshot) => revisions.push(snapshot.revision),
                Kind::Change(change) => revisions.push(change.revision),
                Kind::Beat(heartbeat) => heartbeats.push(heartbeat),
            }
        }
        (revisions, heartbeats)
    })
}

#[test]
fn every_replica_streams_the_state_and_the_leaders_heartbeats_until_the_quorum_is_lost() {
    let mut cluster = start_cluster();
    for number in 1..=3 {
        submit(&cluster, number, &region_ticket(number, "north", 1));
    }
    for replica in &cluster.replicas {
        let (revisions, heartbeats) = watch_feed(replica.peers, Duration::from_secs(2));
        assert_eq!(revisions.last(), Some(&3));
        assert!(heartbeats.len() >= 5, "{heartbeats:?}");
        let stamps: Vec<_> = heartbeats
            .iter()
            .map(|heartbeat| (heartbeat.term, heartbeat.sequence))
            .collect();
        assert!(stamps.is_sorted(), "{stamps:?}");
        assert_eq!(heartbeats.last().unwrap().revision, 3);
    }
    let kept = wait_for_leader(&cluster);
    for index in other_replicas(kept) {
        cluster.replicas[index].process.kill().unwrap();
    }
    std::thread::sleep(Duration::from_secs(1));
    let (_, heartbeats) = watch_feed(cluster.replicas[kept].peers, Duration::from_secs(2));
    assert!(
        heartbeats.len() <= 1,
        "a leader without a quorum sent heartbeats: {heartbeats:?}"
    );
}

#[test]
fn a_planned_stop_transfers_the_leadership_and_aborts_no_submission() {
    let mut cluster = start_cluster();
    submit(&cluster, 1, &region_ticket(1, "north", 1));
    let stopped = wait_for_leader(&cluster);
    let other = other_replicas(stopped)[0];
    let known = std::thread::scope(|scope| {
        let replicas = &cluster.replicas;
        let sender = scope.spawn(move || {
            let answers =
                (10..60).map(|n| put(&replicas[other], n, &region_ticket(n, &format!("r{n}"), 1)));
            answers.collect::<Vec<_>>()
        });
        std::thread::sleep(Duration::from_millis(100));
        replicas[stopped].process.terminate().unwrap();
        sender.join().unwrap()
    });
    let code = cluster.replicas[stopped]
        .process
        .wait_exit(common::TIMEOUT)
        .unwrap();
    assert_eq!(code, Some(0));
    let statuses: Vec<_> = known
        .iter()
        .map(|answer| answer.as_ref().unwrap().0)
        .collect();
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    cluster.replicas[stopped].process.restart().unwrap();
    assert_eq!(
        wait_for_verdict(&cluster.replicas[stopped], 59)["verdict"],
        "accepted"
    );
}
