//! A backend server that a ticket says is leaving gets no new work after 3 s.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use proof::cluster::ProofCluster;
use proof::http::HttpCall;
use proof::plan::BackendPlan;

/// Time after acceptance within which new work may still come.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// Reads through one host until the test ends; gives the count and those that were not answered.
fn read_on(host: SocketAddr, stop: Arc<AtomicBool>) -> (usize, Vec<String>) {
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
fn no_new_work_after_the_bound() {
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
        .map(|(host, stop)| thread::spawn(move || read_on(host, stop)))
        .collect();
    thread::sleep(Duration::from_secs(1));
    let servers = cluster.standins[0].list("/control/servers").unwrap();
    assert!(
        servers[0]["arrived"].as_u64().unwrap() > 0,
        "it had work before"
    );
    let leaving: SocketAddr = servers[0]["address"].as_str().unwrap().parse().unwrap();
    let ticket = format!(
        "number = 2\n{}",
        cluster.service_toml("ascent-lookup", &[leaving])
    );
    cluster.accept(2, &ticket).unwrap();
    let accepted = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    // It announces itself all the time, and stays out however often it does.
    thread::sleep(LEAVING_BOUND * 2);
    stop.store(true, Ordering::Release);
    for reader in readers {
        let (sent, failed) = reader.join().unwrap();
        assert!(sent > 100, "{sent}");
        assert_eq!(failed, Vec::<String>::new());
    }
    let servers = cluster.standins[0].list("/control/servers").unwrap();
    let last = Duration::from_millis(servers[0]["last_arrival_ms"].as_u64().unwrap());
    let late = last.saturating_sub(accepted);
    assert!(late <= LEAVING_BOUND, "new work {late:?} after acceptance");
}
