//! Hints about backend servers, which processes share without changing the committed state.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids;

/// One incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerIncarnation {
    /// Id of the server.
    pub id: ids::ServerId,
    /// Start time, which identifies the incarnation.
    pub born: ids::StartTime,
}

/// What a hint says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum HintKind {
    /// The server told an entry host that it is leaving.
    Leaving,
    /// The server answers no entry host.
    Unresponsive,
}

/// Hint that other servers are preferable for a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerHint {
    /// The server.
    pub server: ServerIncarnation,
    /// What the hint says.
    pub kind: HintKind,
    /// Time for which the hint still holds.
    pub remaining: Duration,
}
