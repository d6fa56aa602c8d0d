//! Removal of headers that must not be forwarded.

use http::header::{self, HeaderMap, HeaderName};
use model::outcome;

/// Headers that apply to a single connection and that a proxy never forwards.
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

/// Headers that only entry hosts may set on a response to a caller.
const RESERVED: [&str; 3] = [
    outcome::OUTCOME_HEADER,
    outcome::REASON_HEADER,
    outcome::SHED_HEADER,
];

/// Removes the hop-by-hop headers, and the headers that `Connection` lists except for
/// `Content-Length` and `Host`.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != header::CONTENT_LENGTH && *name != header::HOST)
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(header::TRAILER);
}

/// Removes the headers that only entry hosts may set, so that neither a caller nor a backend
/// server can forge them.
pub fn remove_reserved(headers: &mut HeaderMap) {
    for name in RESERVED {
        headers.remove(name);
    }
}
