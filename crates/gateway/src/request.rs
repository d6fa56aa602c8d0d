//! Request in the form in which it is forwarded.

use std::sync::Arc;
use std::time::{Duration, Instant};

use admission::rank::Rank;
use bytes::Bytes;
use fleet::access::OrganisationSpec;
use fleet::ids;
use fleet::site::RouteSpec;
use http::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, TE, TRAILER};
use http::header::{AUTHORIZATION, COOKIE, TRANSFER_ENCODING, UPGRADE};
use http::uri::PathAndQuery;
use http::{Method, Uri};
use xxhash_rust::xxh3::{self, Xxh3};

use crate::settings::HeaderNames;

/// Time limit of a request whose client sends no valid deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Longest time limit that is read from a client's deadline.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Hop-by-hop headers, and `content-length`, which is set anew for each message.
const HOP_BY_HOP_HEADERS: [HeaderName; 6] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    CONTENT_LENGTH,
];

/// Hop-by-hop headers for which the `http` crate has no constant.
const LEGACY_HOP_BY_HOP_HEADERS: [&str; 2] = ["keep-alive", "proxy-connection"];

/// A complete request with its route.
#[derive(Debug, Clone)]
pub struct ForwardRequest {
    /// Id of the client's attempt; empty if the client sends none.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Request target as the client sent it.
    pub target: Uri,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Route that matches the request.
    pub route: RouteSpec,
    /// Service that the request goes to, from the route's traffic split.
    pub service: String,
    /// Organisation of the caller; `None` where the request needs no key.
    pub organisation: Option<Arc<OrganisationSpec>>,
    /// Rank by which room is kept for more urgent requests; `None` where ranks don't count.
    pub rank: Option<Rank>,
    /// Regions that may serve the request; empty where any region may.
    pub home_regions: Vec<ids::RegionName>,
    /// Time at which the head of the request was read.
    pub received_at: Instant,
    /// Deadline of the client or timeout of the route, whichever is earlier.
    pub deadline: Instant,
    /// Digest of the object that the request is about, if its route is sticky.
    pub object: Option<u64>,
    /// Digest of the whole request.
    pub digest: ids::RequestDigest,
}

impl ForwardRequest {
    /// Returns whether the request may run more than once.
    pub fn is_safe(&self) -> bool {
        self.route.kind.is_repeatable()
    }

    /// Returns the time until the deadline.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the rest of the route's target latency, counted from `now`.
    pub fn remaining_target(&self, now: Instant) -> Duration {
        let target_at = self.received_at + self.route.target_latency;
        target_at.saturating_duration_since(now)
    }
}

/// Returns the deadline of a request: that of the client or the timeout of the route, whichever is
/// earlier.
pub fn deadline(
    names: &HeaderNames,
    headers: &HeaderMap,
    route: &RouteSpec,
    now: Instant,
) -> Instant {
    let value = headers
        .get(&names.deadline)
        .and_then(|value| value.to_str().ok());
    let millis = value.and_then(|value| value.trim().parse::<f64>().ok());
    let millis = millis.filter(|millis| millis.is_finite() && *millis >= 0.0);
    let limit = millis.map_or(DEFAULT_DEADLINE, |millis| {
        Duration::from_secs_f64((millis / 1e3).min(MAX_DEADLINE.as_secs_f64()))
    });
    now + limit.min(route.timeout)
}

/// Returns the digest of the object that a request is about, or `None` if the route isn't sticky or
/// the request names no object. Equal objects under different path prefixes have different digests.
pub fn object_digest(names: &HeaderNames, headers: &HeaderMap, route: &RouteSpec) -> Option<u64> {
    let value = headers.get(&names.object).filter(|_| route.sticky)?;
    let seed = xxh3::xxh3_64(route.path_prefix.as_bytes());
    Some(xxh3::xxh3_64_with_seed(value.as_bytes(), seed))
}

/// Returns the digest of a request by its method, host, target, caller and body. A request that comes
/// again, under another id, at any host, has the same.
pub fn request_digest(
    names: &HeaderNames,
    method: &Method,
    host: &str,
    target: &Uri,
    headers: &HeaderMap,
    body: &[u8],
) -> ids::RequestDigest {
    let path = target.path_and_query().map_or("/", PathAndQuery::as_str);
    let mut hasher = Xxh3::new();
    for part in [method.as_str(), host, path] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    for name in [&names.object, &names.key, &AUTHORIZATION, &COOKIE] {
        for value in headers.get_all(name) {
            hasher.update(&(value.len() as u64).to_le_bytes());
            hasher.update(value.as_bytes());
        }
        hasher.update(&u64::MAX.to_le_bytes());
    }
    hasher.update(body);
    hasher.digest128()
}

/// Removes the hop-by-hop headers, and the headers that `connection` lists.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    for name in LEGACY_HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Replaces the key of a request by the name of its organisation, whatever the client says of that.
pub fn set_organisation(
    names: &HeaderNames,
    headers: &mut HeaderMap,
    organisation: Option<&OrganisationSpec>,
) {
    headers.remove(&names.key);
    headers.remove(&names.organisation);
    // The validation of the configuration ensures that the name is the value of a header.
    let name = organisation.and_then(|own| HeaderValue::from_bytes(own.name.as_bytes()).ok());
    if let Some(name) = name {
        headers.insert(names.organisation.clone(), name);
    }
}

/// Sets a header to a number.
pub fn set_number(headers: &mut HeaderMap, name: &HeaderName, number: u128) {
    if let Ok(value) = HeaderValue::from_str(&number.to_string()) {
        headers.insert(name.clone(), value);
    }
}
