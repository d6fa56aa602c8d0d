//! Counts of executed requests by idempotency key, and of traffic by time window.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Length of a time window.
pub const WINDOW: Duration = Duration::from_millis(100);

/// Maximum number of keys, and of windows, that are counted; further ones are dropped.
const MAX_COUNTERS: usize = 1_000_000;

/// Traffic of one server from one zone in one time window, a row of `GET /control/windows`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowCount {
    /// Index of the server.
    pub server: usize,
    /// Availability zone of the callers; empty if the requests name none.
    pub from: String,
    /// Number of the window, counted from the Unix epoch.
    pub window: u64,
    /// Requests that arrived in the window.
    pub requests: u64,
    /// Body bytes of requests.
    pub bytes_in: u64,
    /// Body bytes of answers.
    pub bytes_out: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Traffic {
    requests: u64,
    bytes_in: u64,
    bytes_out: u64,
}

/// Index of the server, zone of the callers and number of the window.
type WindowKey = (usize, String, u64);

/// Request counts of all servers of a process.
#[derive(Debug, Default)]
pub struct RequestCounts {
    runs: Mutex<HashMap<String, u64>>,
    windows: Mutex<HashMap<WindowKey, Traffic>>,
}

impl RequestCounts {
    /// Counts one execution of a request with an idempotency key or a mark.
    pub fn count_run(&self, key: &str) {
        let mut runs = lock(&self.runs);
        if runs.len() < MAX_COUNTERS || runs.contains_key(key) {
            *runs.entry(key.to_string()).or_default() += 1;
        }
    }

    /// Returns the number of executions by key.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        let runs = lock(&self.runs);
        runs.iter()
            .map(|(key, runs)| (key.clone(), *runs))
            .collect()
    }

    /// Counts the arrival of a request.
    pub fn count_arrival(&self, server: usize, from: &str, bytes_in: usize) {
        self.update_window(server, from, |traffic| {
            traffic.requests += 1;
            traffic.bytes_in += bytes_in as u64;
        });
    }

    /// Counts the body bytes of an answer.
    pub fn count_answer(&self, server: usize, from: &str, bytes_out: usize) {
        self.update_window(server, from, |traffic| {
            traffic.bytes_out += bytes_out as u64
        });
    }

    /// Returns the counts of all windows.
    pub fn windows(&self) -> Vec<WindowCount> {
        let windows = lock(&self.windows);
        let count = |((server, from, window), traffic): (&WindowKey, &Traffic)| WindowCount {
            server: *server,
            from: from.clone(),
            window: *window,
            requests: traffic.requests,
            bytes_in: traffic.bytes_in,
            bytes_out: traffic.bytes_out,
        };
        windows.iter().map(count).collect()
    }

    /// Deletes the counts of all windows, but not the counts of executions.
    pub fn clear_windows(&self) {
        lock(&self.windows).clear();
    }

    fn update_window(&self, server: usize, from: &str, update: impl FnOnce(&mut Traffic)) {
        let key = (server, from.to_string(), window_index(unix_time()));
        let mut windows = lock(&self.windows);
        if windows.len() < MAX_COUNTERS || windows.contains_key(&key) {
            update(windows.entry(key).or_default());
        }
    }
}

/// Returns the time since the Unix epoch.
pub fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Returns a duration in whole milliseconds.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the number of the window that contains a time since the Unix epoch.
pub fn window_index(time: Duration) -> u64 {
    millis(time) / millis(WINDOW)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
