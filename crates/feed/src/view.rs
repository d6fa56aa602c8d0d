//! One immutable view of what is in force.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::ids;
use model::state::ForceState;
use serde::Serialize;
use wire::v1;

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

/// A freshness stamp with what the leader knew when it gave it out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForceBeat {
    /// The stamp.
    pub stamp: BeatStamp,
    /// Revision that was in force.
    pub revision: ids::Revision,
    /// Digest that was in force.
    pub digest: ids::Digest,
    /// Whether an idempotency key may have been granted before.
    pub keys_opened: bool,
}

impl From<v1::Beat> for ForceBeat {
    fn from(beat: v1::Beat) -> Self {
        Self {
            stamp: BeatStamp {
                term: beat.term,
                sequence: beat.sequence,
            },
            revision: beat.revision,
            digest: beat.digest,
            keys_opened: beat.keys_opened,
        }
    }
}

impl From<ForceBeat> for v1::Beat {
    fn from(beat: ForceBeat) -> Self {
        Self {
            term: beat.stamp.term,
            sequence: beat.stamp.sequence,
            revision: beat.revision,
            digest: beat.digest,
            keys_opened: beat.keys_opened,
        }
    }
}

/// State, freshness and confirmation at one moment.
#[derive(Debug, Clone)]
pub struct ForceView {
    /// What is in force.
    pub state: Arc<ForceState>,
    /// Latest stamp and when it came.
    pub beat: Option<(ForceBeat, Instant)>,
    /// True once the state has been as new as a stamp that came.
    pub confirmed: bool,
}

impl ForceView {
    /// Creates a view without state, at the start of a process.
    pub fn empty() -> Self {
        Self {
            state: Arc::default(),
            beat: None,
            confirmed: false,
        }
    }

    /// Returns the time since the latest stamp came, where one came.
    pub fn beat_age(&self, now: Instant) -> Option<Duration> {
        self.beat.map(|(_, at)| now.saturating_duration_since(at))
    }

    /// Returns the latest stamp.
    pub fn stamp(&self) -> Option<BeatStamp> {
        self.beat.map(|(beat, _)| beat.stamp)
    }

    /// Tells whether the state is the one that the latest stamp named, or newer.
    pub fn is_current(&self) -> bool {
        self.beat
            .is_some_and(|(beat, _)| self.state.revision >= beat.revision)
    }

    /// Tells whether an idempotency key may have been granted before the latest stamp, where one
    /// came.
    pub fn keys_opened(&self) -> Option<bool> {
        self.beat.map(|(beat, _)| beat.keys_opened)
    }
}
