//! What a replica observes of claims to the address or the id of a backend server.
//!
//! Announcements may come from other writers. One that names the address of a server in use, or its
//! id with a later start time, would take that server out of use. So a server that goes on announcing
//! itself keeps its address and its id: a real successor comes after the former one has ended, and
//! announces itself until it is accepted. [`fleet::membership`] decides by these observations.

use std::time::{Duration, SystemTime};

use fleet::ids;

/// Time by which a start time may be ahead of this machine's time of day.
const MAX_START_AHEAD: Duration = Duration::from_secs(60);

/// Time after the announcement interval for which a server still counts as announcing itself. It
/// covers the jitter of announcements and the interval at which replicas tell each other of them.
pub(crate) const ANNOUNCEMENT_MARGIN: Duration = Duration::from_millis(700);

/// Returns whether a start time is too far in the future to be that of a server.
pub(crate) fn is_ahead(now: SystemTime, born: ids::StartTime) -> bool {
    let time = now
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u128::from(born) > (time + MAX_START_AHEAD).as_millis()
}
