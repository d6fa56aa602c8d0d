//! Long polls of entry hosts, which are answered in batches.

use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::message::{FollowReply, FollowRequest};

/// Shortest time between two batches of answers. Each batch looks at all requests that wait, so that
/// the cost of a call doesn't grow with the number of entry hosts.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// A follow request that is held until the state changes (long poll).
#[derive(Debug)]
pub struct PendingFollow {
    /// Time at which the request is answered in any case.
    until: Instant,
    /// The request.
    pub request: FollowRequest,
    /// Receives the answer.
    pub reply: oneshot::Sender<FollowReply>,
}

/// Follow requests that wait for an answer.
#[derive(Debug)]
pub struct FollowQueue {
    pending: Vec<PendingFollow>,
    /// Earliest time at which a request must be answered in any case.
    first_due: Option<Instant>,
    /// Whether requests may be outdated, and so can be answered before they are due.
    changed: bool,
    next_batch: Instant,
}

impl FollowQueue {
    /// Creates an empty queue.
    pub fn new(now: Instant) -> Self {
        Self {
            pending: Vec::new(),
            first_due: None,
            changed: false,
            next_batch: now,
        }
    }

    /// Adds a request.
    pub fn push(
        &mut self,
        now: Instant,
        request: FollowRequest,
        reply: oneshot::Sender<FollowReply>,
    ) {
        let until = now + request.max_wait;
        self.first_due = Some(self.first_due.map_or(until, |due| due.min(until)));
        self.pending.push(PendingFollow {
            until,
            request,
            reply,
        });
    }

    /// Marks that requests may be outdated.
    pub fn mark_changed(&mut self) {
        self.changed = true;
    }

    /// Returns the time of the next batch; `None` while there is nothing to answer.
    pub fn deadline(&self) -> Option<Instant> {
        let first_due = self.first_due?;
        let due = if self.changed {
            self.next_batch
        } else {
            first_due
        };
        Some(due.max(self.next_batch))
    }

    /// Removes and returns the requests of a batch where it is time for one: those that `is_outdated`
    /// accepts, and those that are due before the next batch.
    pub fn take_batch(
        &mut self,
        now: Instant,
        is_outdated: impl Fn(&FollowRequest) -> bool,
    ) -> Vec<PendingFollow> {
        if self.deadline().is_none_or(|deadline| now < deadline) {
            return Vec::new();
        }
        self.changed = false;
        self.next_batch = now + BATCH_INTERVAL;
        let due =
            |follow: &PendingFollow| follow.until < self.next_batch || is_outdated(&follow.request);
        let (batch, pending) = self.pending.drain(..).partition(due);
        self.pending = pending;
        self.first_due = self.pending.iter().map(|follow| follow.until).min();
        batch
    }
}
