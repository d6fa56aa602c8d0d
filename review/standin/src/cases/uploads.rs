//! Many clients upload pages at once, each within `max_body_bytes`. The stand-in platform ends a process
//! that uses more than `memory_mb`, and starts it again, as DEPLOY.md says.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Connection};
use crate::deployment::{self, Deployment, Route, Terms};
use crate::endpoint;
use crate::record::Record;
use crate::Outcome;

/// `memory_mb` of the site's front machines.
const MEMORY_MB: u32 = 260;
/// Connections that send one entry after the other.
const ENTRY_CONNECTIONS: usize = 12;
/// Work of an entry, within the site's most of 936 ms.
const ENTRY_WORK_MS: u64 = 700;
/// Deadlines of the site for entries and uploads.
const ENTRY_DEADLINE_MS: u32 = 1_500;
const UPLOAD_DEADLINE_MS: u32 = 3_000;
/// Rounds of uploads: how many at once, and their bytes. The largest is an eighth of `max_body_bytes`.
const ROUNDS: [(usize, usize); 6] = [
    (19, 8_500_000),
    (72, 2_150_000),
    (19, 8_500_000),
    (72, 2_150_000),
    (19, 8_500_000),
    (72, 2_150_000),
];
/// Bytes of the uploads without the disruption.
const SMALL_UPLOAD: usize = 20_000;
/// Requests that may be lost by the rule.
const MAX_LOST: usize = 3;

/// What clients saw of the entries.
#[derive(Default)]
struct Seen {
    answered: HashSet<String>,
    /// Ids that got neither an answer nor a refusal before their connection ended.
    cut: Vec<String>,
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let terms = Terms {
        memory_mb: MEMORY_MB,
        ..Terms::default()
    };
    let mut deployment = Deployment::new(terms, "uploads");
    let outcome = play(record, trouble, &mut deployment);
    deployment.stop(record);
    outcome
}

fn play(record: &Record, trouble: bool, deployment: &mut Deployment) -> Outcome {
    deployment.start_all(2);
    let route = |prefix, kind, service, timeout_ms, target_ms| Route {
        prefix,
        kind,
        service,
        timeout_ms,
        target_ms,
    };
    let routes = [
        route("/page/", "safe", "archivo", 3_000, 400),
        route("/entry/", "unsafe", "registro", 1_500, 1_000),
    ];
    let configuration = deployment::configuration(1, 0, &["archivo", "registro"], &routes);
    if deployment.submit("config.replace", "", &configuration) != Some(200) {
        return Outcome::NotRun("no configuration".to_string());
    }
    endpoint::start_endpoints(deployment, "archivo", 4, record);
    let registro = endpoint::start_endpoints(deployment, "registro", 4, record);
    let address = deployment.front_address(0);
    if !deployment.wait_ready(0)
        || !client::wait_served(address, "/page/0/10")
        || !client::wait_served(address, "/entry/0/10")
    {
        return Outcome::NotRun("the host serves nothing".to_string());
    }
    let Some(pid) = deployment.entry_pid(0) else {
        return Outcome::NotRun("the host isn't running".to_string());
    };

    // The platform: ends the process once it uses more than its memory.
    let stop = Arc::new(AtomicBool::new(false));
    let killed_at = Arc::new(Mutex::new(None::<Instant>));
    let peak = Arc::new(AtomicU64::new(0));
    let platform = {
        let (stop, killed_at, peak, record) = (
            stop.clone(),
            killed_at.clone(),
            peak.clone(),
            record.clone(),
        );
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                // Memory of its own: pages of the program file don't count here.
                let used = deployment::anonymous_kib(pid).unwrap_or(0);
                peak.fetch_max(used, Ordering::SeqCst);
                if used > u64::from(MEMORY_MB) * 1024 {
                    deployment::signal(pid, "KILL");
                    *killed_at.lock().expect("the time") = Some(Instant::now());
                    record.line(&format!(
                        "the platform ends front-0: it uses {:.1} MB of {MEMORY_MB} MB",
                        used as f64 / 1024.0
                    ));
                    return;
                }
                thread::sleep(Duration::from_millis(2));
            }
        })
    };

    // Clients with kept connections send entries, which must not run twice.
    let seen = Arc::new(Mutex::new(Seen::default()));
    let entries: Vec<_> = (0..ENTRY_CONNECTIONS)
        .map(|number| {
            let (stop, seen) = (stop.clone(), seen.clone());
            thread::spawn(move || {
                let Ok(mut connection) = Connection::open(address) else {
                    return;
                };
                for count in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("entry-{number}-{count}");
                    let path = format!("/entry/{ENTRY_WORK_MS}/300");
                    let sent = connection.send("POST", &path, &id, ENTRY_DEADLINE_MS, "summit");
                    let answer = sent.and_then(|()| connection.read(Duration::from_secs(3)));
                    let mut seen = seen.lock().expect("what was seen");
                    match answer {
                        Ok(Some(answer)) => {
                            seen.answered.insert(id);
                            if answer.closes() {
                                return;
                            }
                        }
                        Ok(None) | Err(_) => {
                            seen.cut.push(id);
                            return;
                        }
                    }
                }
            })
        })
        .collect();

    thread::sleep(Duration::from_secs(2));
    for (round, (count, bytes)) in ROUNDS.into_iter().enumerate() {
        if killed_at.lock().expect("the time").is_some() {
            break;
        }
        let bytes = if trouble { bytes } else { SMALL_UPLOAD };
        record.line(&format!(
            "round {round}: {count} clients upload {bytes} bytes each"
        ));
        let uploads: Vec<_> = (0..count)
            .map(|number| thread::spawn(move || upload(address, round, number, bytes)))
            .collect();
        let statuses: Vec<_> = uploads
            .into_iter()
            .filter_map(|upload| upload.join().ok())
            .collect();
        let with = |wanted: u16| statuses.iter().filter(|status| **status == wanted).count();
        record.line(&format!(
            "round {round}: {} answered 200, {} refused 503, {} without an answer; {:.1} MB in use at most so far",
            with(200),
            with(503),
            with(0),
            peak.load(Ordering::SeqCst) as f64 / 1024.0
        ));
        thread::sleep(Duration::from_millis(300));
    }
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    for client in entries {
        let _ = client.join();
    }
    let _ = platform.join();
    let killed = killed_at.lock().expect("the time").is_some();
    if killed {
        // A process that is killed is started again after a short delay.
        if let Some(mut child) = deployment.entries[0].take() {
            let _ = child.wait();
        }
        deployment.start_entry(0);
        record.line("front-0 is started again");
    }
    let runs: HashSet<_> = registro
        .iter()
        .flat_map(|endpoint| endpoint.runs())
        .map(|run| run.id)
        .collect();
    let seen = seen.lock().expect("what was seen");
    let mut lost = 0;
    for id in &seen.cut {
        if runs.contains(id) {
            record.line(&format!(
                "{id}: LOST. It was passed on, and its connection closed without an answer"
            ));
            lost += 1;
        } else {
            record.line(&format!("{id}: not passed on, doesn't count"));
        }
    }
    record.line(&format!(
        "entries: {} answered, {lost} lost; memory in use at most {:.1} MB of {MEMORY_MB} MB; the process ended: {killed}",
        seen.answered.len(),
        peak.load(Ordering::SeqCst) as f64 / 1024.0
    ));
    match lost > MAX_LOST {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

/// Uploads a page in pieces and returns the status; 0 without an answer.
fn upload(address: std::net::SocketAddr, round: usize, number: usize, bytes: usize) -> u16 {
    const PIECE: usize = 16 << 10;
    let Ok(mut connection) = Connection::open(address) else {
        return 0;
    };
    let id = format!("page-{round}-{number}");
    let head = format!(
        "POST /page/200/400 HTTP/1.1\r\nHost: jepu9.example\r\nWisteriaspread-Request-Id: {id}\r\n\
         Wisteriaspread-Deadline-Ms: {UPLOAD_DEADLINE_MS}\r\nContent-Length: {bytes}\r\n\r\n"
    );
    let piece = vec![b'p'; PIECE];
    let mut left = bytes;
    let mut sent = connection.write(head.as_bytes());
    while sent.is_ok() && left > 0 {
        let size = left.min(PIECE);
        sent = connection.write(&piece[..size]);
        left -= size;
        thread::sleep(Duration::from_millis(1));
    }
    // A refusal may come before the body is sent; it can still be read then.
    let answer = connection.read(Duration::from_secs(4));
    answer
        .ok()
        .flatten()
        .map_or(0, |answer| answer.head.status())
}
