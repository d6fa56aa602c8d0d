//! How an entry host starts over a slow link.
#![allow(missing_docs, clippy::unwrap_used)]

#[path = "../../../platform/tests/support/proxy.rs"]
#[allow(unreachable_pub, dead_code)]
mod proxy;
#[path = "../../director/tests/support/mod.rs"]
mod replica;
#[path = "../../fleet/tests/sites/mod.rs"]
mod sites;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use async_std::task;
use balance::settings::BalanceSettings;
use director::handle::{CoreQueue, DirectorHandle};
use director::mesh::MeshLinks;
use director::service::MeshService;
use fleet::command::{FleetCommand, SiteReplacement};
use fleet::server::ServerRecord;
use gateway::follower::StateFollower;
use gateway::settings::{GatewaySettings, HeaderNames};
use gateway::state::GatewayState;
use http::header::HeaderName;
use proxy::{ProxyMode, TestProxy};
use replica::OnlyReplica;

const ORGANISATIONS: usize = 10_000;
const SERVERS: usize = 1_620;

/// Bytes that the link of an entry host carries in a second: 2 Mbit/s.
const LINK_BYTES_PER_SECOND: u32 = 250_000;

/// Time within which the host takes requests.
const START_TIMEOUT: Duration = Duration::from_secs(10);

fn settings(seed: SocketAddr) -> GatewaySettings {
    let SocketAddr::V4(seed) = seed else {
        panic!("{seed} is not an address of a control replica");
    };
    let header = HeaderName::from_static;
    GatewaySettings {
        balance: BalanceSettings {
            host: "host-1".to_string(),
            zone: "east-a".to_string(),
            regions: BTreeMap::from([("east-a".to_string(), "east".to_string())]),
            retry_ratio: 0.2,
            retry_slack: 50.0,
            cold_factor: 1.5,
            max_shift: 0.15,
        },
        client_address: "127.0.0.1:80".parse().unwrap(),
        seeds: vec![seed],
        headers: HeaderNames {
            request_id: header("id"),
            deadline: header("deadline"),
            object: header("object"),
            key: header("key"),
            organisation: header("organisation"),
            target_server: header("target"),
            signature: header("signature"),
            not_run: header("not-run"),
            load: header("load"),
            leaving: header("leaving"),
            limit: header("limit"),
        },
        max_key_age: None,
        memory_limit: 160 << 20,
        quota: None,
        shutdown_timeout: Duration::from_secs(1),
    }
}

fn server(number: usize) -> ServerRecord {
    let [.., high, low] = number.to_be_bytes();
    ServerRecord {
        address: format!("10.1.{high}.{low}:8080").parse().unwrap(),
        service: "reads-service".to_string(),
        zone: "east-region-a".to_string(),
        ..replica::server(
            &format!("i-{number:010x}"),
            1_700_000_000_000,
            Duration::ZERO,
        )
    }
}

/// Serves a replica with a large configuration, which hosts reach through a proxy alone.
fn serve_replica() -> TestProxy {
    let free = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let proxy = TestProxy::start(address);
    let SocketAddr::V4(mesh_address) = proxy.address else {
        panic!("the proxy listens at another kind of address");
    };
    let mut replica = OnlyReplica::start_at(mesh_address);
    replica.advance(Duration::from_secs(5));
    let copy = sites::large(1, ORGANISATIONS, 20);
    replica.execute([FleetCommand::Replace(SiteReplacement {
        version: copy.version,
        base: 0,
        document: b"{}".to_vec(),
        site: copy.site,
        access: copy.access,
    })]);
    replica.execute((0..SERVERS).map(|number| FleetCommand::Announce(server(number).into())));
    let (queue, mut calls) = CoreQueue::new();
    let service = MeshService::new(DirectorHandle::new(1, queue, MeshLinks::new(1)));
    task::block_on(async { service.serve(address) }).unwrap();
    let ahead = replica.now.saturating_duration_since(Instant::now());
    std::thread::spawn(move || loop {
        std::thread::sleep(Duration::from_millis(5));
        let now = Instant::now() + ahead;
        replica.advance(now.saturating_duration_since(replica.now));
        while let Ok(call) = calls.try_recv() {
            replica.core.handle_call(replica.now, call);
        }
    });
    proxy
}

/// The whole state takes 4 s of the link, longer than a host waits for an answer, so that a host which
/// gets it in one answer never starts.
#[test]
fn a_host_starts_over_a_slow_link_with_many_organisations() {
    let proxy = serve_replica();
    proxy.set(ProxyMode::Rate(LINK_BYTES_PER_SECOND));
    let settings = settings(proxy.address);
    let state = GatewayState::new(settings.balance.clone(), None, None);
    let started_at = Instant::now();
    task::spawn(StateFollower::new(settings, state.clone()).run());
    while !state.is_ready() {
        let waited = started_at.elapsed();
        assert!(waited < START_TIMEOUT, "not ready after {waited:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
    println!("ready after {:?}", started_at.elapsed());
    let routes = state.routes();
    assert_eq!(routes.version, 1);
    assert_eq!(routes.access.policy().organisations.len(), ORGANISATIONS);
    assert!(state.is_current(Instant::now()));
}
