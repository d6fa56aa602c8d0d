//! Announcements as entry hosts exchange them.

use std::time::Duration;

use model::backend::BackendAnnouncement;

/// An announcement that one entry host sends to another.
///
/// It carries the remaining time to live instead of the full one, and the number of the renewal. A
/// receiver accepts each renewal once, so that copies which circulate between the hosts can't keep
/// a dead server registered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedAnnouncement {
    /// Announcement of the backend server.
    pub announcement: BackendAnnouncement,
    /// Remaining time to live at the sender.
    pub remaining: Duration,
    /// Number of the renewal, counted from 1 within the incarnation.
    pub renewal: u64,
}
