//! HTTP API of an entry host (look-ups, announcements, dumps, metrics, health) and its gRPC service
//! for other processes, with valid and invalid input.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use http::Method;
use proof::cluster::{ProofCluster, TOKEN};
use proof::http::{HttpAnswer, HttpCall};
use proof::wait::wait_until;
use tonic::{Code, Status};
use wire::dial;
use wire::token::AccessToken;
use wire::v1;
use wire::v1::feed_client::FeedClient;
use wire::v1::peer_client::PeerClient;

/// Time limit of the start of a host.
const START_TIMEOUT: Duration = Duration::from_secs(10);

fn cluster() -> ProofCluster {
    let cluster = ProofCluster::plan().entry_hosts(2).start().unwrap();
    cluster.set_up().unwrap();
    for host in &cluster.hosts {
        wait_until("recovery of claim records", START_TIMEOUT, || {
            has_recovered(host.callers)
        })
        .unwrap();
    }
    cluster
}

/// Returns whether a host has recovered the claim records of the others.
fn has_recovered(host: SocketAddr) -> bool {
    let dump = HttpCall::get(host, "/v1/dump").bearer(TOKEN).send();
    let dump = dump.and_then(|answer| answer.json());
    dump.is_ok_and(|dump| dump["keys"]["recovering"] == false)
}

/// Returns a valid announcement in JSON, with one field changed.
fn announcement(field: &str, value: serde_json::Value) -> String {
    let mut body = serde_json::json!({
        "service": "ascent-lookup", "address": "127.0.0.1:9", "zone": "altiplano-a",
        "slots": 3, "incarnation": 2, "ttl_ms": 1000,
    });
    body[field] = value;
    body.to_string()
}

fn call(host: SocketAddr, method: Method, path: &str, body: &str) -> HttpAnswer {
    HttpCall::new(method, host, path)
        .body(body.to_string())
        .bound(Duration::from_secs(5))
        .send()
        .unwrap()
}

#[test]
fn valid_requests_succeed_and_invalid_ones_name_the_field_or_value() {
    let cluster = cluster();
    let host = cluster.hosts[0].callers;
    let good = announcement("slots", 3.into());
    let long = announcement("service", "s".repeat(5_000).into());
    let cases = [
        (Method::GET, "/v1/entry-hosts", "", 200, "\"hosts\":[{"),
        (
            Method::GET,
            "/v1/entry-hosts?zone=altiplano-a",
            "",
            200,
            "\"hosts\":[{",
        ),
        (
            Method::GET,
            "/v1/entry-hosts?zone=nowhere",
            "",
            200,
            "\"hosts\":[{",
        ),
        (
            Method::GET,
            "/v1/entry-hosts?caller=10.0.0.1",
            "",
            200,
            "\"hosts\":[{",
        ),
        (
            Method::GET,
            "/v1/entry-hosts?zone=No%20where",
            "",
            400,
            "\"field\":\"zone\"",
        ),
        (
            Method::GET,
            "/v1/entry-hosts?caller=somebody",
            "",
            400,
            "\"value\":\"somebody\"",
        ),
        (
            Method::GET,
            "/v1/entry-hosts?place=a",
            "",
            400,
            "\"field\":\"query\"",
        ),
        (Method::POST, "/v1/entry-hosts", "", 405, ""),
        (
            Method::POST,
            "/v1/announcements",
            &good,
            200,
            "renew_within_ms",
        ),
        (
            Method::POST,
            "/v1/announcements",
            &announcement("incarnation", 1.into()),
            409,
            "incarnation",
        ),
        (
            Method::POST,
            "/v1/announcements",
            &announcement("address", "backend:80".into()),
            400,
            "\"field\":\"address\"",
        ),
        (
            Method::POST,
            "/v1/announcements",
            &announcement("slots", 0.into()),
            400,
            "\"field\":\"slots\"",
        ),
        (
            Method::POST,
            "/v1/announcements",
            &announcement("colour", "red".into()),
            400,
            "colour",
        ),
        (
            Method::POST,
            "/v1/announcements",
            "{",
            400,
            "\"field\":\"body\"",
        ),
        (
            Method::POST,
            "/v1/announcements",
            &long,
            413,
            "at most 4096 bytes",
        ),
        (Method::GET, "/v1/dump", "", 401, "token"),
        (Method::GET, "/health", "", 200, "true"),
        (Method::GET, "/ready", "", 200, "serving"),
        (Method::GET, "/metrics", "", 200, "wisteria"),
        (Method::GET, "/nothing", "", 404, ""),
    ];
    for (method, path, body, status, part) in cases {
        let answer = call(host, method.clone(), path, body);
        assert_eq!(answer.status, status, "{method} {path} {body}: {answer:?}");
        assert!(answer.text().contains(part), "{method} {path}: {answer:?}");
    }
}

#[test]
fn look_ups_are_cacheable_and_dumps_need_the_token_without_showing_it() {
    let cluster = cluster();
    let host = cluster.hosts[0].callers;
    let look_up = call(host, Method::GET, "/v1/entry-hosts?zone=altiplano-a", "");
    assert!(look_up.header("cache-control").starts_with("max-age="));
    let wrong = HttpCall::get(host, "/v1/dump").bearer("some-other-token-entirely");
    assert_eq!(wrong.send().unwrap().status, 401);
    let dump = HttpCall::get(host, "/v1/dump")
        .bearer(TOKEN)
        .send()
        .unwrap();
    assert_eq!(dump.status, 200);
    assert!(!dump.text().contains(TOKEN));
    let dump = dump.json().unwrap();
    for part in [
        "standing",
        "in_force",
        "peers",
        "backend_servers",
        "keys",
        "steering",
    ] {
        assert!(!dump[part].is_null(), "{part} is missing");
    }
}

/// Makes calls with valid and invalid messages to another process and returns their status codes.
async fn call_codes(address: SocketAddr, token: &str) -> Vec<Code> {
    let channel = dial::connect(address, &AccessToken::new(token))
        .await
        .unwrap();
    let mut peer = PeerClient::new(channel.clone());
    let code = |status: Option<Status>| status.map_or(Code::Ok, |status| status.code());
    let attempt = Some(v1::AttemptId {
        host: "e9".into(),
        number: 1,
    });
    let claim = |key: &str, attempt| v1::ClaimRequest {
        key: key.into(),
        request: 1,
        attempt,
    };
    let record = |state: v1::ClaimState| v1::CompleteRequest {
        record: Some(v1::ClaimRecord {
            key: "svc/k".into(),
            holders: attempt.clone().into_iter().collect(),
            state: state.into(),
            ..v1::ClaimRecord::default()
        }),
    };
    let many = v1::ExchangeRequest {
        announcements: vec![v1::Announcement::default(); 20_001],
        ..v1::ExchangeRequest::default()
    };
    let watch = v1::WatchRequest::default();
    vec![
        code(peer.exchange(v1::ExchangeRequest::default()).await.err()),
        code(peer.exchange(many).await.err()),
        code(peer.claim(claim("svc/k", attempt.clone())).await.err()),
        code(peer.claim(claim("", attempt.clone())).await.err()),
        code(
            peer.claim(claim(&"k".repeat(257), attempt.clone()))
                .await
                .err(),
        ),
        code(peer.claim(claim("svc/k", None)).await.err()),
        code(peer.complete(record(v1::ClaimState::NotRun)).await.err()),
        code(peer.complete(record(v1::ClaimState::Claimed)).await.err()),
        code(peer.complete(v1::CompleteRequest::default()).await.err()),
        code(peer.keeper_lists(v1::KeeperListsRequest {}).await.err()),
        code(peer.recover(v1::RecoverRequest::default()).await.err()),
        code(FeedClient::new(channel).watch(watch).await.err()),
    ]
}

#[test]
fn calls_of_other_processes_need_the_token_and_valid_messages() {
    use Code::{InvalidArgument, Ok, Unauthenticated};
    let cluster = cluster();
    let peers = cluster.hosts[0].peers;
    let codes = task::block_on(call_codes(peers, TOKEN));
    let expected = [
        Ok,
        InvalidArgument,
        Ok,
        InvalidArgument,
        InvalidArgument,
        InvalidArgument,
        Ok,
        InvalidArgument,
        InvalidArgument,
        Ok,
        Ok,
        Ok,
    ];
    assert_eq!(codes, expected);
    let refused = task::block_on(call_codes(peers, "some-other-token-entirely"));
    assert_eq!(refused, [Unauthenticated; 12]);
}
