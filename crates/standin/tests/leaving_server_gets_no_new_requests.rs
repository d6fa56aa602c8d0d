//! A backend server that a ticket lists as leaving gets no new requests after 3 s.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use proof::cluster::ProofCluster;
use proof::http::HttpCall;
use proof::plan::BackendPlan;

/// Time after the ticket's acceptance within which the server may still get new requests.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Sends reads through one host until `stop` is set. Returns the number of reads, and the results
/// of those that were not answered.
fn read_until_stopped(host: SocketAddr, stop: Arc<AtomicBool>) -> (usize, Vec<String>) {
    let (mut sent, mut failed) = (0, Vec::new());
    while !stop.load(Ordering::Acquire) {
        sent += 1;
        match HttpCall::get(host, format!("/s/ascent-lookup/read/{sent}")).send() {
            Ok(answer) if answer.status == 200 => (),
            other => failed.push(format!("{other:?}")),
        }
        thread::sleep(Duration::from_millis(10));
    }
    (sent, failed)
}

#[test]
fn leaving_server_gets_no_requests_after_the_grace_period() {
    let backend = BackendPlan::new("ascent-lookup", "altiplano-a")
        .servers(3)
        .flag("slots", 8);
    let cluster = ProofCluster::plan().backend(backend).start().unwrap();
    cluster.set_up().unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let readers: Vec<_> = cluster
        .hosts
        .iter()
        .map(|host| (host.callers, stop.clone()))
        .map(|(host, stop)| thread::spawn(move || read_until_stopped(host, stop)))
        .collect();
    thread::sleep(Duration::from_secs(1));
    let servers = cluster.standins[0].list("/control/servers").unwrap();
    assert!(
        servers[0]["arrived"].as_u64().unwrap() > 0,
        "the server got no requests before the ticket"
    );
    let leaving: SocketAddr = servers[0]["address"].as_str().unwrap().parse().unwrap();
    let ticket = format!(
        "number = 2\n{}",
        cluster.service_toml("ascent-lookup", &[leaving])
    );
    cluster.accept(2, &ticket).unwrap();
    let accepted = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    // The server keeps announcing itself, which must not bring it back.
    thread::sleep(LEAVING_GRACE * 2);
    stop.store(true, Ordering::Release);
    for reader in readers {
        let (sent, failed) = reader.join().unwrap();
        assert!(sent > 100, "{sent}");
        assert_eq!(failed, Vec::<String>::new());
    }
    let servers = cluster.standins[0].list("/control/servers").unwrap();
    let last = Duration::from_millis(servers[0]["last_arrival_ms"].as_u64().unwrap());
    let delay = last.saturating_sub(accepted);
    assert!(
        delay <= LEAVING_GRACE,
        "new request {delay:?} after acceptance"
    );
}
