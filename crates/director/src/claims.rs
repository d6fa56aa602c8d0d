//! Whether an announcement may take an address or an id over from another backend server.
//!
//! Announcements may come from other writers. One that names the address of a server in use, or its
//! id with a later start time, would take that server out of use. So a server that goes on announcing
//! itself keeps its address and its id: a real successor comes after the former one has ended, and
//! announces itself until it is accepted.

use std::time::{Duration, SystemTime};

use fleet::ids;
use fleet::server::ServerRecord;
use fleet::state::FleetState;

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

/// Returns the server that keeps its address or its id against a record: one that still announces
/// itself, by `is_announcing`, or any if no configuration names the service of the record.
pub(crate) fn incumbent<'a>(
    state: &'a FleetState,
    record: &ServerRecord,
    is_announcing: impl Fn(&ServerRecord) -> bool,
) -> Option<&'a ServerRecord> {
    let site = state.site();
    let is_named = site.is_none_or(|site| site.site.service(&record.service).is_some());
    let mut claimed = state.servers().filter(|server| {
        if server.id == record.id {
            // A server that restarts at its address has ended its former incarnation.
            server.address != record.address && server.born != record.born
        } else {
            server.address == record.address
        }
    });
    claimed.find(|server| !is_named || is_announcing(server))
}
