//! The cases.

use std::io::Result;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::client::RequestStream;
use crate::deployment;
use crate::endpoint::{self, HeldCall, StandinEndpoint, CALL_LIMIT, HEARTBEAT};
use crate::http;
use crate::{CaseContext, CaseResult, CaseVerdict};

/// Bound `drain` of the settings.
const DRAIN: Duration = Duration::from_millis(2_500);

/// Longest time for which an operator or an endpoint goes on with a call.
const CALL_PATIENCE: Duration = Duration::from_secs(12);

/// Returns a configuration with a safe route for each pair of a path and a service; the services `reads` and
/// `extra` exist throughout.
fn site(version: u64, base: u64, routes: &[(&str, &str)]) -> String {
    let services: Vec<_> = ["reads", "extra"]
        .iter()
        .map(|name| {
            format!(
                r#"{{"name":"{name}","health_path":"/health","max_conns":330,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":11.0}}"#
            )
        })
        .collect();
    let routes: Vec<_> = routes
        .iter()
        .map(|(path, service)| {
            format!(
                r#"{{"name":"r-{service}","path_prefix":"{path}","kind":"safe","timeout":"1000ms","target_latency":"200ms","priority":2,"service":"{service}","max_attempts":2,"sticky":true,"home_regions":[]}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}},"base_version":{base},"virtual_hosts":[{{"host":"shop.example","path_routes":[{}]}}]}}"#,
        services.join(","),
        routes.join(","),
    )
}

fn replace(context: &CaseContext, document: &str) -> Result<()> {
    context.deployment.order("config.replace", "", document)?;
    context
        .record
        .note(format!("operator: config.replace acknowledged: {document}"));
    Ok(())
}

fn start_endpoints(
    context: &CaseContext,
    service: &str,
    count: usize,
) -> Result<Vec<StandinEndpoint>> {
    free_ports(count)?
        .into_iter()
        .enumerate()
        .map(|(number, port)| start_endpoint(context, service, number, port))
        .collect()
}

/// Starts an endpoint that announces itself.
fn start_endpoint(
    context: &CaseContext,
    service: &str,
    number: usize,
    port: u16,
) -> Result<StandinEndpoint> {
    let id = format!("i-{service}-{number}");
    let nodes = context.deployment.controls();
    let endpoint = StandinEndpoint::start(&id, service, port, nodes, &context.record)?;
    endpoint.beat();
    Ok(endpoint)
}

/// Returns ports on which nothing listens; each call takes others.
fn free_ports(count: usize) -> Result<Vec<u16>> {
    static TAKEN: AtomicU16 = AtomicU16::new(0);
    let mut ports = Vec::new();
    for _ in 0..count {
        let taken = TAKEN.fetch_add(1, Ordering::SeqCst);
        let first = 20_000 + (std::process::id() % 1_000) as u16 * 8 + taken;
        let last = ports.last().copied().unwrap_or(first);
        ports.push(deployment::free_port(first.max(last + 1))?);
    }
    Ok(ports)
}

/// Waits until requests below a path are served.
fn wait_served(context: &CaseContext, path: &str) -> Result<()> {
    let until = Instant::now() + Duration::from_secs(20);
    for front in context.deployment.fronts() {
        let bytes = format!(
            "GET {path}0 HTTP/1.1\r\nHost: shop.example\r\nWisteriaspread-Request-Id: warm-up\r\n\
             Wisteriaspread-Affinity-Key: 0\r\nWisteriaspread-Deadline-Ms: 1000\r\n\r\n"
        );
        loop {
            let answer = http::exchange(front, bytes.as_bytes(), CALL_LIMIT);
            if answer.is_ok_and(|answer| answer.status() == 200) {
                break;
            }
            if Instant::now() > until {
                return Err(std::io::Error::other("no request is served"));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    Ok(())
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// DRAIN: an endpoint that was cut off leaves, and a heartbeat that the partition held up arrives afterwards.
pub fn forgotten_leave(context: &mut CaseContext) -> CaseResult {
    /// Length of the partition; the site file has 10 s at most.
    const PARTITION: Duration = Duration::from_millis(9_700);
    /// Time for which the endpoint still serves after its leave was acknowledged.
    const STILL_SERVING: Duration = Duration::from_secs(6);
    let record = context.record.clone();
    replace(context, &site(1, 0, &[("/reads/", "reads")]))?;
    let endpoints = start_endpoints(context, "reads", 3)?;
    wait_served(context, "/reads/")?;
    let fronts = context.deployment.fronts();
    let stream = RequestStream::start("read", "/reads/", 40, fronts, &record);
    std::thread::sleep(Duration::from_secs(2));

    let leaver = &endpoints[0];
    let node = context.deployment.control(0);
    let cut_at = Instant::now();
    let healed_at = cut_at + PARTITION;
    let mut late = None;
    if context.trouble {
        let mut beat = HeldCall::open(node)?;
        record.note(format!(
            "partition between {} and all control nodes begins",
            leaver.id
        ));
        leaver.set_nodes(Vec::new());
        let body = leaver.beat_body("ready");
        beat.send(node, "instances.heartbeat", &leaver.id, &body, &record);
        let record = record.clone();
        late = Some(std::thread::spawn(move || beat.deliver(healed_at, &record)));
    }
    // The endpoint is to be taken away. It is one of those that say so with the leave call.
    sleep_until(healed_at - Duration::from_secs(1));
    leaver.stop_beats();
    leaver.set_leaving();
    sleep_until(healed_at);
    if context.trouble {
        record.note("the partition ends");
        leaver.set_nodes(context.deployment.controls());
    }
    let acknowledged = leaver.call("instances.leave", "", CALL_PATIENCE);
    let acknowledged = acknowledged.ok_or(std::io::Error::other("no leave was acknowledged"))?;
    record.note(format!("the leave of {} is acknowledged", leaver.id));
    sleep_until(acknowledged + STILL_SERVING);
    leaver.call("instances.leave", "", Duration::from_secs(2));
    leaver.exit();
    stream.stop();
    if let Some(late) = late {
        late.join()
            .map_err(|_| std::io::Error::other("late call"))??;
    }
    let late_runs = leaver
        .runs()
        .into_iter()
        .filter(|run| run.at > acknowledged + DRAIN);
    let late_runs: Vec<_> = late_runs.collect();
    for run in &late_runs {
        let sent_at = stream.sent_at(&run.request).unwrap_or(run.at);
        record.note(format!(
            "BROKEN: {} was sent at {:.3} s and reached {} at {:.3} s, {:.3} s after the leave was acknowledged",
            run.request,
            record.seconds(sent_at),
            leaver.id,
            record.seconds(run.at),
            (run.at - acknowledged).as_secs_f64()
        ));
    }
    record.note(format!("requests later than drain: {}", late_runs.len()));
    Ok(match late_runs.is_empty() {
        true => CaseVerdict::Held,
        false => CaseVerdict::Broken,
    })
}

/// CONFIG: the endpoints of a route that was added later start again under their ids behind a partition, and
/// their leave calls, which it held up, arrive after they have announced themselves anew.
pub fn late_leave(context: &mut CaseContext) -> CaseResult {
    /// Length of the partition; the site file has 10 s at most.
    const PARTITION: Duration = Duration::from_secs(9);
    /// Time for which an endpoint still serves after its leave call, also without an acknowledgement.
    const STILL_SERVING: Duration = Duration::from_secs(3);
    /// Time from the end of the partition until requests are counted.
    const CALM_AFTER: Duration = Duration::from_secs(10);
    /// Time for which requests are counted.
    const COUNTED: Duration = Duration::from_secs(30);
    let record = context.record.clone();
    replace(context, &site(1, 0, &[("/reads/", "reads")]))?;
    let _reads = start_endpoints(context, "reads", 3)?;
    let extra = start_endpoints(context, "extra", 2)?;
    wait_served(context, "/reads/")?;
    let both = [("/reads/", "reads"), ("/extra/", "extra")];
    replace(context, &site(2, 1, &both))?;
    wait_served(context, "/extra/")?;
    let fronts = context.deployment.fronts();
    let first = RequestStream::start("first", "/reads/", 8, fronts.clone(), &record);
    let later = RequestStream::start("later", "/extra/", 8, fronts, &record);
    std::thread::sleep(Duration::from_secs(2));

    let controls = context.deployment.controls();
    let node = controls[0];
    let mut held = Vec::new();
    if context.trouble {
        for _ in &extra {
            held.push(HeldCall::open(node)?);
        }
        record.note("partition between the endpoints of extra and all control nodes begins");
        extra
            .iter()
            .for_each(|endpoint| endpoint.set_nodes(Vec::new()));
    }
    let healed_at = Instant::now() + PARTITION;
    let mut held = held.into_iter();
    let mut late = Vec::new();
    // The endpoints are restarted one after the other.
    for endpoint in &extra {
        endpoint.stop_beats();
        endpoint.set_leaving();
        match held.next() {
            Some(mut call) => {
                call.send(node, "instances.leave", &endpoint.id, "", &record);
                let record = record.clone();
                late.push(std::thread::spawn(move || call.deliver(healed_at, &record)));
            }
            None => {
                let left = endpoint.call("instances.leave", "", CALL_PATIENCE);
                left.ok_or(std::io::Error::other("no leave was acknowledged"))?;
            }
        }
        std::thread::sleep(STILL_SERVING);
        endpoint.exit();
        std::thread::sleep(Duration::from_millis(300));
        endpoint.restart()?;
        endpoint.beat();
        std::thread::sleep(Duration::from_millis(200));
    }
    sleep_until(healed_at);
    if context.trouble {
        record.note("the partition ends");
        extra
            .iter()
            .for_each(|endpoint| endpoint.set_nodes(controls.clone()));
    }
    for call in late {
        call.join()
            .map_err(|_| std::io::Error::other("late call"))??;
    }
    let from = healed_at + CALM_AFTER;
    sleep_until(from + COUNTED);
    first.stop();
    later.stop();
    let (first_sent, first_served) = first.served(from, from + COUNTED);
    let (later_sent, later_served) = later.served(from, from + COUNTED);
    record.note(format!(
        "steady state: first routes {first_served} of {first_sent} served, later route {later_served} of {later_sent}"
    ));
    let share = |served: usize, sent: usize| served as f64 / sent.max(1) as f64;
    let is_broken =
        later_sent >= 20 && share(later_served, later_sent) < share(first_served, first_sent) / 4.0;
    Ok(match is_broken {
        true => CaseVerdict::Broken,
        false => CaseVerdict::Held,
    })
}

/// Interval after which another writer announces its entries again.
const WRITER_INTERVAL: Duration = HEARTBEAT;

/// Time for which clients send requests in the cases of another writer.
const WRITER_DAY: Duration = Duration::from_secs(30);

/// Announces entries of another writer, of the service `elsewhere`, which no configuration names, until the
/// case is over. Each has an id and a port.
fn write_elsewhere(context: &CaseContext, entries: Vec<(String, u16)>) {
    let node = context.deployment.control(1);
    let record = context.record.clone();
    std::thread::spawn(move || {
        let (began_at, born) = (Instant::now(), endpoint::unix_millis());
        for sequence in 1.. {
            for (id, port) in &entries {
                let body = format!(
                    r#"{{"address":"127.0.0.1:{port}","born":{born},"info":{{"service":"elsewhere","version":"v1","zone":"xela-a","slots":8}},"status":{{"state":"ready","seq_no":{sequence},"cold_left":"0ms"}}}}"#,
                );
                let bytes = http::rpc(node, "instances.heartbeat", id, &body);
                let outcome = http::exchange(node, &bytes, CALL_LIMIT);
                let status = outcome.map_or(0, |answer| answer.status());
                record.note(format!(
                    "other writer calls {node}: heartbeat of {id} {body} -> {status}"
                ));
            }
            if began_at.elapsed() > WRITER_DAY * 2 {
                return;
            }
            std::thread::sleep(WRITER_INTERVAL);
        }
    });
}

/// Sends requests for a day. The rule is broken if none of them is served.
fn judge_served(context: &CaseContext) -> CaseResult {
    let fronts = context.deployment.fronts();
    let from = Instant::now();
    let stream = RequestStream::start("read", "/reads/", 20, fronts, &context.record);
    std::thread::sleep(WRITER_DAY);
    stream.stop();
    let (sent, served) = stream.served(from, from + WRITER_DAY);
    context
        .record
        .note(format!("of {sent} requests {served} were served"));
    if sent < 100 {
        return Err(std::io::Error::other("too few requests"));
    }
    Ok(match served {
        0 => CaseVerdict::Broken,
        _ => CaseVerdict::Held,
    })
}

/// Fault: heartbeats of another writer, which name the endpoints and a service that isn't named here.
pub fn other_writer(context: &mut CaseContext) -> CaseResult {
    replace(context, &site(1, 0, &[("/reads/", "reads")]))?;
    let endpoints = start_endpoints(context, "reads", 3)?;
    // The endpoints have announced themselves, and the hosts know them.
    std::thread::sleep(HEARTBEAT);
    if context.trouble {
        let entries = endpoints.iter();
        let entries = entries.map(|endpoint| (endpoint.id.clone(), endpoint.address.port()));
        write_elsewhere(context, entries.collect());
    }
    std::thread::sleep(Duration::from_secs(3));
    judge_served(context)
}

/// Fault: another writer has announced the addresses at which endpoints start, under ids of its own, for a service
/// that isn't named here.
pub fn held_address(context: &mut CaseContext) -> CaseResult {
    replace(context, &site(1, 0, &[("/reads/", "reads")]))?;
    let ports = free_ports(3)?;
    if context.trouble {
        let entries = ports.iter().map(|port| (format!("other-{port}"), *port));
        write_elsewhere(context, entries.collect());
    }
    std::thread::sleep(Duration::from_secs(1));
    let mut endpoints = Vec::new();
    for (number, port) in ports.into_iter().enumerate() {
        endpoints.push(start_endpoint(context, "reads", number, port)?);
    }
    // Longer than the bounds on how long an address is held (2.2 s) and a silent entry stays (8 s).
    std::thread::sleep(Duration::from_secs(10));
    judge_served(context)
}
