//! Clients that send requests at a steady rate.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::RunRecord;

/// How long a client waits for an answer, over all its attempts.
const DEADLINE: Duration = Duration::from_millis(1_200);

/// One request of a client, over its attempts.
#[derive(Debug, Clone)]
pub struct ClientOutcome {
    pub sent_at: Instant,
    pub served: bool,
}

/// Client attempts, by the id of the attempt, with the time at which each was sent.
pub type SentAttempts = Arc<Mutex<Vec<(String, Instant)>>>;

/// Requests of one kind.
#[derive(Debug, Clone)]
pub struct RequestStream {
    name: String,
    running: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<ClientOutcome>>>,
    attempts: SentAttempts,
}

impl RequestStream {
    /// Sends safe requests below a path, `per_second` of them, to the entry hosts in turn.
    pub fn start(
        name: &str,
        path: &str,
        per_second: u32,
        fronts: Vec<SocketAddr>,
        record: &RunRecord,
    ) -> Self {
        let stream = Self {
            name: name.to_string(),
            running: Arc::new(AtomicBool::new(true)),
            outcomes: Arc::default(),
            attempts: Arc::default(),
        };
        let (sending, path, record) = (stream.clone(), path.to_string(), record.clone());
        std::thread::spawn(move || {
            let interval = Duration::from_secs(1) / per_second;
            let mut due = Instant::now();
            for number in 0.. {
                if !sending.running.load(Ordering::SeqCst) {
                    return;
                }
                let (one, path, record) = (sending.clone(), path.clone(), record.clone());
                let fronts = fronts.clone();
                std::thread::spawn(move || one.request(number, &path, &fronts, &record));
                due += interval;
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
            }
        });
        stream
    }

    /// Sends one request, and once more after a failure.
    fn request(&self, number: usize, path: &str, fronts: &[SocketAddr], record: &RunRecord) {
        let sent_at = Instant::now();
        let until = sent_at + DEADLINE;
        let mut served = false;
        for attempt in 0..2 {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let id = format!("{}-{number}-{attempt}", self.name);
            let front = fronts[(number + attempt) % fronts.len()];
            let thing = number % 40;
            let bytes = format!(
                "GET {path}{thing:x} HTTP/1.1\r\nHost: shop.example\r\nWisteriaspread-Request-Id: {id}\r\n\
                 Wisteriaspread-Affinity-Key: {thing}\r\nWisteriaspread-Deadline-Ms: {}\r\n\r\n",
                left.as_millis()
            );
            let attempt_at = Instant::now();
            self.attempts.lock().unwrap().push((id.clone(), attempt_at));
            let outcome = http::exchange(front, bytes.as_bytes(), left);
            let what = match &outcome {
                Ok(answer) => format!(
                    "{} {}",
                    answer.status(),
                    String::from_utf8_lossy(&answer.body)
                ),
                Err(e) => format!("no answer: {e}"),
            };
            record.note(format!("client {id} at {front}: {what}"));
            let Ok(answer) = outcome else {
                continue;
            };
            let is_sealed = !answer.header("wisteriaspread-response-seal").is_empty();
            served = answer.status() == 200 && is_sealed && answer.body == b"whole";
            if served || matches!(answer.status(), 400 | 401 | 404 | 413 | 431) {
                break;
            }
            let wait: f64 = answer.header("retry-after").parse().unwrap_or(0.0);
            let left = until.saturating_duration_since(Instant::now());
            std::thread::sleep(Duration::from_secs_f64(wait.clamp(0.0, 60.0)).min(left / 3));
        }
        let outcome = ClientOutcome { sent_at, served };
        self.outcomes.lock().unwrap().push(outcome);
    }

    /// Stops, and waits until the last requests have ended.
    pub fn stop(&self) {
        self.running.store(false, Ordering::SeqCst);
        std::thread::sleep(DEADLINE + Duration::from_millis(300));
    }

    /// Returns the requests that were sent within a time, and how many of them were served.
    pub fn served(&self, from: Instant, to: Instant) -> (usize, usize) {
        let outcomes = self.outcomes.lock().unwrap();
        let within: Vec<_> = outcomes
            .iter()
            .filter(|outcome| (from..to).contains(&outcome.sent_at))
            .collect();
        let served = within.iter().filter(|outcome| outcome.served).count();
        (within.len(), served)
    }

    /// Returns when an attempt was sent.
    pub fn sent_at(&self, id: &str) -> Option<Instant> {
        let attempts = self.attempts.lock().unwrap();
        let found = attempts.iter().find(|(other, _)| other == id);
        found.map(|(_, at)| *at)
    }
}
