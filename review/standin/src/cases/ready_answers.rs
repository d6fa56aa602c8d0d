//! An entry host gets SIGTERM while connections carry pipelined safe requests, of which the first takes
//! longer than the host waits.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Connection};
use crate::deployment::{self, Deployment, Route, Terms};
use crate::endpoint;
use crate::record::Record;
use crate::Outcome;

/// `grace` of the site, after which the platform sends SIGKILL.
const GRACE: Duration = Duration::from_secs(6);
/// Timeout of the route, as the site's for `negative-upload`.
const ROUTE_TIMEOUT_MS: u32 = 6_000;
/// Deadline of the clients, as the site's for `negative-upload`.
const DEADLINE_MS: u32 = 15_000;
/// Work of the first request: within the timeout of its route and within `grace`; the site has up to
/// 10,800 ms.
const SLOW_MS: u64 = 5_600;
/// Work of the requests behind it.
const QUICK_MS: u64 = 400;
const QUICK_REQUESTS: usize = 3;
const CONNECTIONS: usize = 4;
/// Time from SIGTERM to the requests: clients still have the host in their answers of the directory.
const AFTER_SIGTERM: Duration = Duration::from_millis(200);

/// What a client saw of the requests on its connection.
struct Seen {
    /// Ids that were answered completely.
    answered: Vec<String>,
    /// Time at which the connection ended without the rest, if it did.
    cut_at: Option<Instant>,
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let terms = Terms::default();
    let mut deployment = Deployment::new(terms, "ready-answers");
    let outcome = play(record, trouble, &mut deployment);
    deployment.stop(record);
    outcome
}

fn play(record: &Record, trouble: bool, deployment: &mut Deployment) -> Outcome {
    deployment.start_all(2);
    let routes = [Route {
        prefix: "/page/",
        kind: "safe",
        service: "print-desk",
        timeout_ms: ROUTE_TIMEOUT_MS,
        target_ms: 2_000,
    }];
    let configuration = deployment::configuration(1, 0, &["print-desk"], &routes);
    if deployment.submit("config.replace", "", &configuration) != Some(200) {
        return Outcome::NotRun("no configuration".to_string());
    }
    let endpoints = endpoint::start_endpoints(deployment, "print-desk", 3, record);
    let address = deployment.front_address(0);
    if !deployment.wait_ready(0) || !client::wait_served(address, "/page/0/10") {
        return Outcome::NotRun("the host serves nothing".to_string());
    }
    // Each connection has carried a request before.
    let mut connections = Vec::new();
    for number in 0..CONNECTIONS {
        let Ok(mut connection) = Connection::open(address) else {
            return Outcome::NotRun("no connection".to_string());
        };
        let sent = connection.send("GET", "/page/50/100", &format!("first-{number}"), 6_000, "");
        let answer = sent.and_then(|()| connection.read(Duration::from_secs(2)));
        if !answer.is_ok_and(|answer| answer.is_some()) {
            return Outcome::NotRun("the first request isn't answered".to_string());
        }
        connections.push(connection);
    }
    // Calm before the planned work, longer than `contact`.
    thread::sleep(Duration::from_millis(4_500));
    let Some(pid) = deployment.entry_pid(0) else {
        return Outcome::NotRun("the host isn't running".to_string());
    };
    let stopped_at = Instant::now();
    if trouble {
        record.line("front-0 gets SIGTERM");
        deployment::signal(pid, "TERM");
    }
    thread::sleep(AFTER_SIGTERM);
    let clients: Vec<_> = connections
        .into_iter()
        .enumerate()
        .map(|(number, connection)| {
            let record = record.clone();
            thread::spawn(move || use_connection(&record, number, connection))
        })
        .collect();
    let seen: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    if seen.len() != CONNECTIONS {
        return Outcome::NotRun("a client failed".to_string());
    }
    let exited = deployment.entries[0]
        .as_mut()
        .and_then(|child| child.try_wait().ok().flatten());
    record.line(&format!("front-0 has ended: {exited:?}"));
    let runs: Vec<_> = endpoints
        .iter()
        .flat_map(|endpoint| endpoint.runs())
        .collect();
    let mut lost = 0;
    for (number, seen) in seen.iter().enumerate() {
        let Some(cut_at) = seen.cut_at else { continue };
        for id in ids(number) {
            if seen.answered.contains(&id) {
                continue;
            }
            // A safe request may have run at two endpoints; the run that ended first was answered.
            let of_request = runs.iter().filter(|run| run.id == id);
            let run = of_request.min_by_key(|run| (run.ended.is_none(), run.ended));
            let Some(run) = run else {
                record.line(&format!("{id}: not passed on, doesn't count"));
                continue;
            };
            // Excused: the endpoint was still at work in the last sixth of `grace`. The requests were sent
            // less than 3 s after SIGTERM, and neither the deadline nor the timeout was reached.
            let last_sixth = stopped_at + GRACE.mul_f64(5.0 / 6.0);
            if run.ended.is_none_or(|ended| ended > last_sixth) {
                record.line(&format!(
                    "{id}: {} was still at work, excused",
                    run.endpoint
                ));
                continue;
            }
            let ended = run
                .ended
                .map_or(0.0, |ended| ended.duration_since(stopped_at).as_secs_f64());
            let ran = run.began.duration_since(stopped_at).as_secs_f64();
            record.line(&format!(
                "{id}: LOST. {} ran it from {ran:.3} s to {ended:.3} s after SIGTERM and answered; the \
                 connection ended at {:.3} s without the answer",
                run.endpoint,
                cut_at.duration_since(stopped_at).as_secs_f64()
            ));
            lost += 1;
        }
    }
    record.line(&format!(
        "requests with neither an answer nor an excuse: {lost}"
    ));
    match lost {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}

fn ids(number: usize) -> Vec<String> {
    let quick = (0..QUICK_REQUESTS).map(|quick| format!("quick-{number}-{quick}"));
    std::iter::once(format!("slow-{number}"))
        .chain(quick)
        .collect()
}

/// Sends the requests one behind the other and reads the answers.
fn use_connection(record: &Record, number: usize, mut connection: Connection) -> Seen {
    let mut seen = Seen {
        answered: Vec::new(),
        cut_at: None,
    };
    let ids = ids(number);
    for (position, id) in ids.iter().enumerate() {
        let work = if position == 0 { SLOW_MS } else { QUICK_MS };
        let path = format!("/page/{work}/1000");
        if connection.send("GET", &path, id, DEADLINE_MS, "").is_err() {
            seen.cut_at = Some(Instant::now());
            return seen;
        }
        record.line(&format!("client {number} sends {id}"));
    }
    for _ in &ids {
        match connection.read(Duration::from_secs(16)) {
            Ok(Some(answer)) => {
                let (id, status) = (answer.id().to_string(), answer.head.status());
                record.line(&format!(
                    "client {number} gets {status} for {id}, seal {}",
                    answer.has_seal()
                ));
                seen.answered.push(id);
            }
            Ok(None) | Err(_) => {
                record.line(&format!("client {number}: the connection ends"));
                seen.cut_at = Some(Instant::now());
                return seen;
            }
        }
    }
    seen
}
