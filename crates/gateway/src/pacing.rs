//! When answers to clients are written, so that large ones don't fill the link of the host.
//!
//! What is written waits in the send queues of the clients' connections and then on the link, in order.
//! Everything that the host sends later, such as calls to control replicas, waits behind it.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Size of an answer, in bytes, up to which it is written at once.
pub const MAX_SMALL_ANSWER_BYTES: usize = 16 << 10;

/// Time for which the link may be busy with earlier answers when a large one is written.
pub const MAX_BACKLOG: Duration = Duration::from_millis(50);

/// Longest time for which an answer is delayed. A host that stops delays no further answers, and leaves
/// running requests more time than this.
pub const MAX_DELAY: Duration = Duration::from_secs(3);

/// Share of the link's rate that answers get; the rest is for heads, requests to backend servers and calls.
const ANSWER_SHARE: f64 = 0.85;

/// Answers that were written, or will be, as time for which they keep the link busy.
#[derive(Debug)]
pub struct LinkBacklog {
    bytes_per_second: f64,
    /// Time at which the link has carried all answers so far; `None` before the first.
    free_at: Option<Instant>,
}

impl LinkBacklog {
    /// Creates the backlog of an idle link.
    pub fn new(link_bytes_per_second: f64) -> Self {
        Self {
            bytes_per_second: link_bytes_per_second * ANSWER_SHARE,
            free_at: None,
        }
    }

    /// Adds an answer. Returns the time at which it is written.
    pub fn add(&mut self, now: Instant, bytes: usize) -> Instant {
        let free_at = self.free_at.map_or(now, |free_at| free_at.max(now));
        let busy_until = free_at + self.transfer(bytes);
        // Nothing is delayed for longer, so a longer backlog would only be a wrong estimate.
        self.free_at = Some(busy_until.min(now + MAX_DELAY + MAX_BACKLOG));
        if bytes <= MAX_SMALL_ANSWER_BYTES {
            return now;
        }
        let write_at = free_at.checked_sub(MAX_BACKLOG).unwrap_or(now);
        write_at.clamp(now, now + MAX_DELAY)
    }

    /// Takes back an answer that was added and won't be written.
    pub fn remove(&mut self, bytes: usize) {
        let transfer = self.transfer(bytes);
        self.free_at = self.free_at.and_then(|at| at.checked_sub(transfer));
    }

    fn transfer(&self, bytes: usize) -> Duration {
        let seconds = bytes as f64 / self.bytes_per_second;
        Duration::try_from_secs_f64(seconds).map_or(MAX_DELAY, |transfer| transfer.min(MAX_DELAY))
    }
}

/// Delays large answers while the link is busy.
#[derive(Debug)]
pub struct AnswerPacer {
    /// `None` where the rate of the link isn't known.
    backlog: Option<Mutex<LinkBacklog>>,
}

impl AnswerPacer {
    /// Creates the pacer of a host; without a rate of its link, no answer is delayed.
    pub fn new(link_bytes_per_second: Option<f64>) -> Self {
        Self {
            backlog: link_bytes_per_second.map(|rate| Mutex::new(LinkBacklog::new(rate))),
        }
    }

    /// Waits until an answer may be written, until `deadline` at most.
    pub async fn wait(&self, bytes: usize, deadline: Instant) {
        let Some(backlog) = &self.backlog else {
            return;
        };
        let now = Instant::now();
        let write_at = lock(backlog).add(now, bytes).min(deadline);
        if write_at <= now {
            return;
        }
        let mut pending = PendingAnswer {
            backlog,
            bytes: Some(bytes),
        };
        tokio::time::sleep_until(write_at.into()).await;
        pending.bytes = None;
    }
}

/// An answer that waits; dropping it takes it back.
struct PendingAnswer<'a> {
    backlog: &'a Mutex<LinkBacklog>,
    /// `None` once the answer may be written.
    bytes: Option<usize>,
}

impl Drop for PendingAnswer<'_> {
    fn drop(&mut self) {
        if let Some(bytes) = self.bytes {
            lock(self.backlog).remove(bytes);
        }
    }
}

fn lock(backlog: &Mutex<LinkBacklog>) -> MutexGuard<'_, LinkBacklog> {
    backlog.lock().unwrap_or_else(PoisonError::into_inner)
}
