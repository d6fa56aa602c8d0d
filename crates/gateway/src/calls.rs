//! When an entry host calls which control replica for state updates.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time limit for the answer to a call, in addition to the time for which the replica may hold it. After
/// it, another replica is called too.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which a further replica is called while several calls run.
pub const NEXT_CALL_DELAY: Duration = Duration::from_millis(500);

/// Time after which a call is given up, in addition to the time for which the replica may hold it. Its
/// connection is then taken for dead.
pub const GIVE_UP_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time between a failed call and the next one.
pub const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Maximum number of calls that run at the same time.
const MAX_RUNNING_CALLS: usize = 3;

/// Identifies a call of an entry host.
pub type CallId = u64;

/// What the host does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallStep {
    /// It calls the replica.
    Call(SocketAddr),
    /// It waits for the end of a call, until the given time at most; `None` for no limit.
    Wait(Option<Instant>),
}

/// A call that has not ended.
#[derive(Debug)]
struct RunningCall {
    id: CallId,
    replica: SocketAddr,
    late_at: Instant,
}

/// Calls of an entry host to control replicas.
///
/// While calls are answered in time, one runs at a time. A late one goes on beside a call to the next
/// replica: on a full link its answer is still the first to arrive, and on a dead connection the other
/// call is answered.
#[derive(Debug, Default)]
pub struct FollowCalls {
    running: Vec<RunningCall>,
    latest: CallId,
    /// Time before which no call is made, after a failure.
    retry_at: Option<Instant>,
}

impl FollowCalls {
    /// Creates the calls of a host that has made none.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns what the host does next; of `replicas`, the first that isn't being called is called.
    pub fn next(&self, now: Instant, replicas: &[SocketAddr]) -> CallStep {
        let late_at = self.running.last().map(|call| call.late_at);
        if let Some(until) = late_at.max(self.retry_at).filter(|until| now < *until) {
            return CallStep::Wait(Some(until));
        }
        let is_called = |replica| self.running.iter().any(|call| call.replica == replica);
        let idle = replicas.iter().find(|replica| !is_called(**replica));
        match idle.filter(|_| self.running.len() < MAX_RUNNING_CALLS) {
            Some(replica) => CallStep::Call(*replica),
            None if self.running.is_empty() => CallStep::Wait(Some(now + RETRY_DELAY)),
            None => CallStep::Wait(None),
        }
    }

    /// Records a call, which the replica may hold for `max_wait`. Returns its id.
    pub fn begin(&mut self, now: Instant, replica: SocketAddr, max_wait: Duration) -> CallId {
        let late_after = match self.is_calling() {
            true => NEXT_CALL_DELAY,
            false => max_wait + ANSWER_TIMEOUT,
        };
        self.latest += 1;
        self.running.push(RunningCall {
            id: self.latest,
            replica,
            late_at: now + late_after,
        });
        self.latest
    }

    /// Returns whether a call is running.
    pub fn is_calling(&self) -> bool {
        !self.running.is_empty()
    }

    /// Returns whether no call was made after this one.
    pub fn is_latest(&self, id: CallId) -> bool {
        self.latest == id
    }

    /// Records that a call was answered with a confirmed state. All calls end, as the others ask for what
    /// the host has now.
    pub fn end_all(&mut self) {
        self.running.clear();
        self.retry_at = None;
    }

    /// Records that a call ended without a confirmed state.
    pub fn end_failed(&mut self, now: Instant, id: CallId) {
        self.running.retain(|call| call.id != id);
        self.retry_at = Some(now + RETRY_DELAY);
    }
}
