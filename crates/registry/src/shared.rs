//! Announcements as entry hosts exchange them.

use std::time::Duration;

use model::backend::BackendAnnouncement;

/// An announcement on its way between entry hosts.
///
/// It carries the time that it still lives, not its whole time to live, and counts its renewals.
/// A receiver takes each renewal once, so copies that go round can't keep a dead server alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedAnnouncement {
    /// What the backend server announced.
    pub announcement: BackendAnnouncement,
    /// Time that it still lives at the sender.
    pub left: Duration,
    /// Count of renewals within the incarnation.
    pub renewal: u64,
}
