//! Wire messages to checked types and back.

use std::time::Duration;

use feed::view::StateView;
use model::backend::{BackendAnnouncement, RawAnnouncement};
use registry::SharedAnnouncement;
use wire::v1;

/// Writes an announcement for another entry host.
pub fn to_wire(shared: SharedAnnouncement) -> v1::Announcement {
    let announcement = shared.announcement;
    v1::Announcement {
        service: announcement.service,
        address: announcement.address.to_string(),
        zone: announcement.zone,
        slots: announcement.slots,
        incarnation: announcement.incarnation,
        ttl_ms: millis(shared.remaining),
        renewal: shared.renewal,
    }
}

/// Reads an announcement of another entry host; a malformed one gives nothing.
pub fn from_wire(message: v1::Announcement) -> Option<SharedAnnouncement> {
    let left = Duration::from_millis(message.ttl_ms).min(BackendAnnouncement::MAX_TTL);
    let ttl = left.max(BackendAnnouncement::MIN_TTL);
    let raw = RawAnnouncement {
        service: message.service,
        address: message.address,
        zone: message.zone,
        slots: message.slots,
        incarnation: message.incarnation,
        ttl_ms: millis(ttl),
    };
    let announcement = BackendAnnouncement::try_from(raw).ok()?;
    Some(SharedAnnouncement {
        announcement,
        remaining: left,
        renewal: message.renewal,
    })
}

/// Writes the freshness stamp of a view.
pub fn beat(view: &StateView) -> Option<v1::Beat> {
    view.heartbeat.map(|(beat, _)| beat.into())
}

/// Returns a duration in whole milliseconds.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
