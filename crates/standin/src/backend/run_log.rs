//! What ran, and when requests came.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Length of a window of counts.
pub const WINDOW: Duration = Duration::from_millis(100);

/// Most keys and windows that are kept.
const MAX_ENTRIES: usize = 1_000_000;

/// Requests of one server from one zone in one window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowCount {
    /// Index of the server.
    pub server: usize,
    /// Zone that the requests came from; empty where they don't say.
    pub from: String,
    /// Count of windows since the Unix epoch.
    pub window: u64,
    /// Requests that arrived.
    pub requests: u64,
    /// Bytes of bodies towards the server.
    pub bytes_in: u64,
    /// Bytes of bodies from the server.
    pub bytes_out: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Traffic {
    requests: u64,
    bytes_in: u64,
    bytes_out: u64,
}

type WindowKey = (usize, String, u64);

/// Counts of all servers of a process.
#[derive(Debug, Default)]
pub struct RunLog {
    runs: Mutex<HashMap<String, u64>>,
    windows: Mutex<HashMap<WindowKey, Traffic>>,
}

impl RunLog {
    /// Counts the start of a run under a key.
    pub fn count_run(&self, key: &str) {
        let mut runs = lock(&self.runs);
        if runs.len() < MAX_ENTRIES || runs.contains_key(key) {
            *runs.entry(key.to_string()).or_default() += 1;
        }
    }

    /// Returns the count of runs by key.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        let runs = lock(&self.runs);
        runs.iter()
            .map(|(key, runs)| (key.clone(), *runs))
            .collect()
    }

    /// Counts the arrival of a request.
    pub fn count_arrival(&self, server: usize, from: &str, bytes_in: usize) {
        self.add(server, from, |traffic| {
            traffic.requests += 1;
            traffic.bytes_in += bytes_in as u64;
        });
    }

    /// Counts the bytes of an answer.
    pub fn count_answer(&self, server: usize, from: &str, bytes_out: usize) {
        self.add(server, from, |traffic| {
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

    /// Forgets the windows; runs stay.
    pub fn clear_windows(&self) {
        lock(&self.windows).clear();
    }

    fn add(&self, server: usize, from: &str, change: impl FnOnce(&mut Traffic)) {
        let key = (server, from.to_string(), window_of(unix_time()));
        let mut windows = lock(&self.windows);
        if windows.len() < MAX_ENTRIES || windows.contains_key(&key) {
            change(windows.entry(key).or_default());
        }
    }
}

/// Returns the time since the Unix epoch.
pub fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Returns a time in whole milliseconds.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the window of a time since the Unix epoch.
pub fn window_of(time: Duration) -> u64 {
    millis(time) / millis(WINDOW)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
