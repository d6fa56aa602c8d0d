//! Conversion between announcements, heartbeats and wire messages.

use std::time::Duration;

use feed::view::StateView;
use model::backend::{BackendAnnouncement, RawAnnouncement};
use registry::SharedAnnouncement;
use wire::v1;

/// Encodes an announcement for another entry host.
pub fn encode_announcement(shared: SharedAnnouncement) -> v1::Announcement {
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

/// Decodes an announcement of another entry host, or returns `None` if it is invalid.
pub fn decode_announcement(message: v1::Announcement) -> Option<SharedAnnouncement> {
    let remaining = Duration::from_millis(message.ttl_ms).min(BackendAnnouncement::MAX_TTL);
    let ttl = remaining.max(BackendAnnouncement::MIN_TTL);
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
        remaining,
        renewal: message.renewal,
    })
}

/// Encodes the latest heartbeat of a view, if any.
pub fn encode_heartbeat(view: &StateView) -> Option<v1::Beat> {
    view.heartbeat.map(|(heartbeat, _)| heartbeat.into())
}

/// Returns a duration in whole milliseconds, at most `u64::MAX`.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
