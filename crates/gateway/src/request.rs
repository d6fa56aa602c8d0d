//! A request as it is forwarded.

use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::site::{RouteKind, RouteSpec};
use http::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, TE, TRAILER};
use http::header::{TRANSFER_ENCODING, UPGRADE};
use http::{Method, Uri};
use xxhash_rust::xxh3;

use crate::settings::HeaderNames;

/// Time that a request has where its client names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Headers that concern one connection alone.
const HOP_HEADERS: [HeaderName; 6] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    CONTENT_LENGTH,
];

/// Headers of the same kind without a name in the library.
const OLD_HOP_HEADERS: [&str; 2] = ["keep-alive", "proxy-connection"];

/// A request, whole, with what its route says of it.
#[derive(Debug, Clone)]
pub struct ForwardRequest {
    /// Id of the client's attempt.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path and query, as the client sent them.
    pub target: Uri,
    /// Headers that go to the backend server.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Route that takes it.
    pub route: RouteSpec,
    /// Service that it goes to.
    pub service: String,
    /// When its head came.
    pub arrived_at: Instant,
    /// When the client gives up, or the route does.
    pub deadline: Instant,
    /// Digest of the object that it is about, on a sticky route.
    pub object: Option<u64>,
}

impl ForwardRequest {
    /// Tells whether it may run more than once.
    pub fn is_safe(&self) -> bool {
        self.route.kind == RouteKind::Safe
    }

    /// Returns the time that is left.
    pub fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the time within which the answer is wanted.
    pub fn wanted(&self, now: Instant) -> Duration {
        let wanted_at = self.arrived_at + self.route.target_latency;
        wanted_at.saturating_duration_since(now)
    }
}

/// Returns when a request must be answered: the client's deadline or the route's timeout.
pub fn deadline(
    names: &HeaderNames,
    headers: &HeaderMap,
    route: &RouteSpec,
    now: Instant,
) -> Instant {
    let value = headers
        .get(&names.deadline)
        .and_then(|value| value.to_str().ok());
    let given = value.and_then(|value| value.trim().parse::<f64>().ok());
    let given = given.filter(|given| given.is_finite() && *given >= 0.0);
    let patience = given.map_or(DEFAULT_DEADLINE, |given| {
        Duration::from_secs_f64((given / 1e3).min(DEFAULT_DEADLINE.as_secs_f64() * 20.0))
    });
    now + patience.min(route.timeout)
}

/// Returns the digest of the object that a request is about.
pub fn object(names: &HeaderNames, headers: &HeaderMap, route: &RouteSpec) -> Option<u64> {
    let value = headers.get(&names.object).filter(|_| route.sticky)?;
    let seed = xxh3::xxh3_64(route.path_prefix.as_bytes());
    Some(xxh3::xxh3_64_with_seed(value.as_bytes(), seed))
}

/// Removes the headers that concern one connection alone, and those that they name.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    for name in OLD_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Sets a header to a number.
pub fn set_number(headers: &mut HeaderMap, name: &HeaderName, number: u128) {
    if let Ok(value) = HeaderValue::from_str(&number.to_string()) {
        headers.insert(name.clone(), value);
    }
}
