//! Immutable view of the current state.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::ids;
use model::state::ForceState;
use serde::Serialize;
use wire::v1;

/// Logical timestamp of a heartbeat of the leading control replica.
///
/// Stamps are ordered by term, then by sequence. The leader issues stamps only while it holds the
/// leader lease from its quorum.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct HeartbeatStamp {
    /// Term of the leader.
    pub term: u64,
    /// Number of the heartbeat, counted by the leader.
    pub sequence: u64,
}

/// Heartbeat of the leading control replica, with the revision of its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderHeartbeat {
    /// Logical timestamp of the heartbeat.
    pub stamp: HeartbeatStamp,
    /// Revision of the leader's state.
    pub revision: ids::Revision,
    /// Digest of the leader's state.
    pub digest: ids::Digest,
    /// Whether an entry host may have granted an idempotency key before the heartbeat.
    pub keys_opened: bool,
}

impl From<v1::Beat> for LeaderHeartbeat {
    fn from(message: v1::Beat) -> Self {
        Self {
            stamp: HeartbeatStamp {
                term: message.term,
                sequence: message.sequence,
            },
            revision: message.revision,
            digest: message.digest,
            keys_opened: message.keys_opened,
        }
    }
}

impl From<LeaderHeartbeat> for v1::Beat {
    fn from(heartbeat: LeaderHeartbeat) -> Self {
        Self {
            term: heartbeat.stamp.term,
            sequence: heartbeat.stamp.sequence,
            revision: heartbeat.revision,
            digest: heartbeat.digest,
            keys_opened: heartbeat.keys_opened,
        }
    }
}

/// The state at one moment, and how fresh it is.
#[derive(Debug, Clone)]
pub struct StateView {
    /// State after the latest known change.
    pub state: Arc<ForceState>,
    /// Latest heartbeat, and the local time at which it arrived.
    pub heartbeat: Option<(LeaderHeartbeat, Instant)>,
    /// Whether the state was as new as the latest heartbeat at some time since the start or the
    /// last reset.
    pub confirmed: bool,
}

impl StateView {
    /// Creates the empty view of a process that starts.
    pub fn empty() -> Self {
        Self {
            state: Arc::default(),
            heartbeat: None,
            confirmed: false,
        }
    }

    /// Returns the time since the latest heartbeat arrived, if any.
    pub fn heartbeat_age(&self, now: Instant) -> Option<Duration> {
        self.heartbeat
            .map(|(_, at)| now.saturating_duration_since(at))
    }

    /// Returns the stamp of the latest heartbeat, if any.
    pub fn stamp(&self) -> Option<HeartbeatStamp> {
        self.heartbeat.map(|(heartbeat, _)| heartbeat.stamp)
    }

    /// Returns whether the state is at least as new as the latest heartbeat.
    pub fn is_current(&self) -> bool {
        self.heartbeat
            .is_some_and(|(heartbeat, _)| self.state.revision >= heartbeat.revision)
    }

    /// Returns whether an entry host may have granted an idempotency key before the latest
    /// heartbeat, if any.
    pub fn keys_opened(&self) -> Option<bool> {
        self.heartbeat.map(|(heartbeat, _)| heartbeat.keys_opened)
    }
}
