//! A planned stop of an entry host interrupts no request of callers that cache look-up answers for
//! their `max-age`.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use proof::cluster::ProofCluster;
use proof::plan::BackendPlan;
use standin::load::caller::{CallerPool, LoadRequest};
use standin::load::deployment::{Deployment, DeploymentName};
use standin::load::outcome::LoadOutcome;

/// Number of concurrent callers, each of which sends its requests one by one.
const CALLERS: usize = 6;

/// Timeout of the warm-up of all hosts.
const WARM_UP_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends requests until `stop` is set, and returns those that were not answered at once.
async fn send_until_stopped(
    pool: Arc<CallerPool>,
    caller: usize,
    stop: Arc<AtomicBool>,
) -> Vec<String> {
    let deployment = Deployment::new(DeploymentName::Cumbre, 1.0);
    let mut failed = Vec::new();
    let mut turn = 0;
    while !stop.load(Ordering::Acquire) {
        let service = &deployment.services[turn % 2];
        let request = LoadRequest::new(service, &format!("c{caller}-{turn}"));
        let (outcome, resent) = pool.send("altiplano-a", &request).await;
        if outcome != LoadOutcome::Answered || resent {
            failed.push(format!("{}: {outcome:?}, resent {resent}", request.id));
        }
        turn += 1;
    }
    assert!(turn > 10, "{turn}");
    failed
}

/// Sends as many concurrent requests through every host as the callers will, until all are
/// answered. A new host starts with low limits of in-flight requests per backend server.
async fn warm_up(pool: &CallerPool, hosts: &[SocketAddr]) {
    let deployment = Deployment::new(DeploymentName::Cumbre, 1.0);
    let until = Instant::now() + WARM_UP_TIMEOUT;
    for (host, service) in hosts
        .iter()
        .flat_map(|h| deployment.services[..2].iter().map(move |s| (h, s)))
    {
        for round in 0.. {
            let sends = (0..CALLERS).map(|caller| async move {
                let request =
                    LoadRequest::new(service, &format!("w{}-{round}-{caller}", host.port()));
                pool.send_to(*host, "altiplano-a", &request).await
            });
            let outcomes = futures_util::future::join_all(sends).await;
            if outcomes
                .iter()
                .all(|outcome| *outcome == LoadOutcome::Answered)
            {
                break;
            }
            assert!(
                Instant::now() < until,
                "requests still fail after the warm-up: {outcomes:?}"
            );
        }
    }
}

#[test]
fn every_request_is_answered_without_retry() {
    let backend = |service, class| {
        BackendPlan::new(service, "altiplano-a")
            .class(class)
            .servers(2)
            .flag("slots", 20)
            .flag("read-time", "150ms")
            .flag("write-time", "150ms")
    };
    let mut cluster = ProofCluster::plan()
        .entry_hosts(4)
        .host_flag("answer-max-age", "1s")
        .backend(backend("ascent-lookup", "read"))
        .backend(backend("entry-sales", "write"))
        .start()
        .unwrap();
    cluster.set_up().unwrap();
    let entries: Vec<_> = cluster.hosts.iter().map(|host| host.callers).collect();
    let pool: Arc<CallerPool> = Arc::new(CallerPool::new(entries.clone(), CALLERS));
    task::block_on(warm_up(&pool, &entries));
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| task::spawn(send_until_stopped(pool.clone(), caller, stop.clone())))
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    let used = task::block_on(pool.hosts("altiplano-a"))[0].name.clone();
    let host = cluster
        .hosts
        .iter_mut()
        .find(|host| host.process.name() == used)
        .unwrap();
    let start = Instant::now();
    assert_eq!(host.process.stop(Duration::from_secs(15)).unwrap(), Some(0));
    assert!(
        start.elapsed() >= Duration::from_secs(1),
        "the host stopped before cached look-up answers expired"
    );
    std::thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Release);
    let failed: Vec<_> = callers.into_iter().flat_map(task::block_on).collect();
    assert_eq!(failed, Vec::<String>::new());
}
