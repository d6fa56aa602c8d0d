//! Headers that belong to one connection only.

use http::header::{self, HeaderMap, HeaderName};
use model::outcome;

/// Headers that a proxy never passes on.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers by which only this system speaks to callers.
const SYSTEM_ONLY: [&str; 3] = [
    outcome::OUTCOME_HEADER,
    outcome::REASON_HEADER,
    outcome::SHED_HEADER,
];

/// Removes the headers that belong to one connection, and those that `Connection` names.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != header::CONTENT_LENGTH && *name != header::HOST)
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(header::TRAILER);
}

/// Removes the headers that a backend server can't set on an answer to a caller.
pub fn remove_system_only(headers: &mut HeaderMap) {
    for name in SYSTEM_ONLY {
        headers.remove(name);
    }
}
