//! One immutable view of what is in force.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::ids;
use model::state::ForceState;
use serde::Serialize;

/// Freshness stamp of the leading control replica.
///
/// Stamps order by term and then by sequence; a stamp is given out only while the leader holds the
/// lease of its quorum.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct BeatStamp {
    /// Term of the leader.
    pub term: u64,
    /// Count of the leader's beats.
    pub sequence: u64,
}

/// State, freshness and confirmation at one moment.
#[derive(Debug, Clone)]
pub struct ForceView {
    /// What is in force.
    pub state: Arc<ForceState>,
    /// Latest stamp and when it came.
    pub beat: Option<(BeatStamp, Instant)>,
    /// Revision and digest that the latest stamp named.
    pub beat_state: (ids::Revision, ids::Digest),
    /// True once the state has been as new as a stamp that came.
    pub confirmed: bool,
}

impl ForceView {
    /// Creates a view without state, at the start of a process.
    pub fn empty() -> Self {
        Self {
            state: Arc::default(),
            beat: None,
            beat_state: (0, 0),
            confirmed: false,
        }
    }

    /// Returns the time since the latest stamp came, where one came.
    pub fn beat_age(&self, now: Instant) -> Option<Duration> {
        self.beat.map(|(_, at)| now.saturating_duration_since(at))
    }

    /// Returns the latest stamp.
    pub fn stamp(&self) -> Option<BeatStamp> {
        self.beat.map(|(stamp, _)| stamp)
    }

    /// Tells whether the state is the one that the latest stamp named, or newer.
    pub fn is_current(&self) -> bool {
        self.beat.is_some() && self.state.revision >= self.beat_state.0
    }
}
