//! State dump of the process as JSON, without secrets.

use registry::BackendEntry;
use serde_json::{json, Value};

use crate::context::EntryContext;
use crate::convert;

/// Returns the state dump of the process.
pub fn state(context: &EntryContext) -> Value {
    let now = context.now();
    let view = context.holder.view();
    let snapshot = context.registry.snapshot();
    json!({
        "host": context.settings.name,
        "zone": context.settings.zone,
        "incarnation": context.incarnation,
        "standing": context.standing(),
        "confirmed": view.confirmed,
        "beat": view.stamp(),
        "beat_age_ms": view.heartbeat_age(now).map(convert::millis),
        "in_force": &*view.state,
        "peers": context.peers().report(now),
        "backend_servers": snapshot.entries().map(|entry| server(entry)).collect::<Vec<_>>(),
        "keys": claim_records(context),
        "steering": context.steering.report(now),
    })
}

fn claim_records(context: &EntryContext) -> Value {
    let keeper = context.keepers.keeper();
    json!({
        "recovering": keeper.is_recovering(context.now()),
        "records": keeper.len(),
        "bytes": keeper.bytes(),
    })
}

fn server(entry: &BackendEntry) -> Value {
    let announcement = &entry.announcement;
    json!({
        "service": announcement.service,
        "address": announcement.address,
        "zone": announcement.zone,
        "slots": announcement.slots,
        "incarnation": announcement.incarnation,
        "in_flight": entry.gauge.limit().in_flight(),
        "limit": entry.gauge.limit().limit(),
        "latency_ms": entry.gauge.latency().as_secs_f64() * 1e3,
    })
}
