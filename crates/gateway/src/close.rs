//! Causes for which client connections end.

/// Why a client connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CloseCause {
    /// The last answer announced the end.
    Announced,
    /// No request came for longer than the limit.
    Idle,
    /// The host stops, and no request is unanswered.
    Shutdown,
    /// The client disconnected.
    Disconnected,
}
