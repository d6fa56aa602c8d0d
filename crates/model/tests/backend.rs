//! Validation of announcements of backend servers.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use model::backend::{BackendAnnouncement, RawAnnouncement};
use rstest::rstest;

fn valid_announcement() -> serde_json::Value {
    serde_json::json!({
        "service": "ascent-lookup", "address": "10.0.0.1:7001", "zone": "altiplano-a",
        "slots": 3, "incarnation": 1, "ttl_ms": 3000,
    })
}

#[test]
fn a_valid_announcement_is_accepted() {
    let raw: RawAnnouncement = serde_json::from_value(valid_announcement()).unwrap();
    let announcement = BackendAnnouncement::try_from(raw).unwrap();
    assert_eq!(announcement.ttl.as_secs(), 3);
}

#[rstest]
#[case("service", "Ascent".into())]
#[case("zone", "".into())]
#[case("address", "backend:7001".into())]
#[case("address", "10.0.0.1:0".into())]
#[case("address", "0.0.0.0:80".into())]
#[case("slots", 0.into())]
#[case("slots", 10_001.into())]
#[case("ttl_ms", 499.into())]
#[case("ttl_ms", 60_001.into())]
fn the_error_names_the_invalid_field(#[case] field: &str, #[case] value: serde_json::Value) {
    let mut announcement = valid_announcement();
    announcement[field] = value;
    let raw: RawAnnouncement = serde_json::from_value(announcement).unwrap();
    let faults = BackendAnnouncement::try_from(raw).unwrap_err();
    let fields: Vec<_> = faults.iter().map(|fault| fault.field.as_str()).collect();
    assert_eq!(fields, [field]);
}
