//! Configuration of a deployment: raw input, validation and validated types.
//!
//! A host in this module is a virtual host: the name that clients send in the `Host` header.

use std::collections::BTreeSet;
use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::ids;

/// Longest timeout that a route may have; a longer one is more likely a typing error.
pub const MAX_ROUTE_TIMEOUT: Duration = Duration::from_secs(600);

quick_error! {
    /// Reason why a configuration is refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SiteError {
        /// A route sends requests to a service that the configuration doesn't define.
        UnknownService(route: String, service: String) {
            display("route {route}: service: there is no service {service}")
        }
        /// A service of a route's traffic split has a negative weight.
        NegativeWeight(route: String, weight: i64) {
            display("route {route}: weight: {weight} is below 0")
        }
        /// The timeout of a route is zero.
        ZeroTimeout(route: String) {
            display("route {route}: timeout: 0 leaves no time")
        }
        /// The timeout of a route exceeds [`MAX_ROUTE_TIMEOUT`].
        LongTimeout(route: String, timeout: Duration) {
            display("route {route}: timeout: {timeout:?} is over {MAX_ROUTE_TIMEOUT:?}")
        }
        /// The path prefix of a route doesn't begin with a slash.
        RelativePrefix(route: String, prefix: String) {
            display("route {route}: path prefix: {prefix:?} doesn't begin with a slash")
        }
        /// The kind of a route isn't the name of a [`RouteKind`].
        UnknownKind(route: String, kind: String) {
            display("route {route}: kind: {kind:?} is neither safe nor unsafe nor download")
        }
        /// A route has no service.
        NoService(route: String) {
            display("route {route}: service: the route names none")
        }
    }
}

/// Whether a request may run more than once.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::EnumString, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteKind {
    /// The request may run more than once.
    Safe,
    /// The request runs at most once.
    Unsafe,
    /// The request may run more than once, and its answer may be large.
    Download,
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Safe | Self::Download => true,
            Self::Unsafe => false,
        }
    }
}

/// A configuration that was parsed but not validated.
#[derive(Debug, Clone, Default)]
pub struct RawSite {
    /// Services to which routes may send requests.
    pub services: Vec<ServiceSpec>,
    /// Limits on client connections and requests.
    pub limits: ClientLimits,
    /// Routes of each virtual host.
    pub hosts: Vec<(String, Vec<RawRoute>)>,
}

/// A route that was parsed but not validated.
#[derive(Debug, Clone, Default)]
pub struct RawRoute {
    /// Name of the route in logs and errors.
    pub name: String,
    /// Prefix of the paths that the route matches.
    pub path_prefix: String,
    /// `safe`, `unsafe` or `download`.
    pub kind: String,
    /// Longest time that a client waits for the answer to a request.
    pub timeout: Duration,
    /// Latency that the route aims at.
    pub target_latency: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Services of the traffic split, with their weights.
    pub split: Vec<(ids::ServiceName, i64)>,
    /// Most backend servers to which one request is sent.
    pub max_attempts: u32,
    /// Whether requests for the same object go to the same backend server.
    pub sticky: bool,
    /// Regions that may serve the route; empty where any region may.
    pub home_regions: Vec<ids::RegionName>,
}

/// Limits on client connections and requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Time within which a client must have sent the request head.
    pub header_timeout: Duration,
    /// Time for which a connection without a request stays open.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Returns the limits until a configuration sets others: those of common HTTP servers.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A service and the limits of its backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ids::ServiceName,
    /// Path of the health check on a backend server.
    pub health_path: String,
    /// Connections that one backend server accepts from all callers together.
    pub max_connections: u32,
    /// Time after its start for which a backend server is cold.
    pub cold_period: Duration,
    /// Requests per second that a cold backend server can process from all callers together.
    pub cold_rate: f64,
}

/// One service of a route's traffic split.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SplitPart {
    /// Service that gets the requests.
    pub service: ids::ServiceName,
    /// Weight relative to the other services of the split.
    pub weight: u32,
}

/// A validated route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Name of the route in logs and errors.
    pub name: String,
    /// Prefix of the paths that the route matches.
    pub path_prefix: String,
    /// Whether requests may run more than once.
    pub kind: RouteKind,
    /// Longest time that a client waits for the answer to a request.
    pub timeout: Duration,
    /// Latency that the route aims at.
    pub target_latency: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Services of the traffic split; at least one.
    pub split: Vec<SplitPart>,
    /// Most backend servers to which one request is sent; at least 1.
    pub max_attempts: u32,
    /// Whether requests for the same object go to the same backend server.
    pub sticky: bool,
    /// Regions that may serve the route; empty where any region may.
    pub home_regions: Vec<ids::RegionName>,
}

/// Routes of one virtual host, longest path prefix first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRoutes {
    /// Name of the virtual host, in lower case.
    pub host: String,
    /// Routes, longest path prefix first.
    pub routes: Vec<RouteSpec>,
}

/// A validated configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteConfig {
    /// Services to which routes send requests.
    pub services: Vec<ServiceSpec>,
    /// Limits on client connections and requests.
    pub limits: ClientLimits,
    /// Routes of each virtual host.
    pub hosts: Vec<HostRoutes>,
}

impl SiteConfig {
    /// Returns the route of a path on a virtual host: the one with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let routes = self.hosts.iter().filter(|entry| entry.host == host);
        routes
            .flat_map(|entry| &entry.routes)
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|service| service.name == name)
    }
}

impl TryFrom<RawSite> for SiteConfig {
    type Error = SiteError;

    fn try_from(raw: RawSite) -> Result<Self, SiteError> {
        let names: BTreeSet<&str> = raw.services.iter().map(|s| s.name.as_str()).collect();
        let mut hosts = Vec::new();
        for (host, raw_routes) in raw.hosts {
            let routes = raw_routes
                .into_iter()
                .map(|route| validate_route(route, &names));
            let mut routes = routes.collect::<Result<Vec<_>, _>>()?;
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
            let host = host.to_ascii_lowercase();
            hosts.push(HostRoutes { host, routes });
        }
        Ok(Self {
            services: raw.services,
            limits: raw.limits,
            hosts,
        })
    }
}

fn validate_route(raw: RawRoute, services: &BTreeSet<&str>) -> Result<RouteSpec, SiteError> {
    let name = raw.name;
    let Ok(kind) = raw.kind.parse() else {
        return Err(SiteError::UnknownKind(name, raw.kind));
    };
    if raw.timeout.is_zero() {
        return Err(SiteError::ZeroTimeout(name));
    }
    if raw.timeout > MAX_ROUTE_TIMEOUT {
        return Err(SiteError::LongTimeout(name, raw.timeout));
    }
    if !raw.path_prefix.starts_with('/') {
        return Err(SiteError::RelativePrefix(name, raw.path_prefix));
    }
    if raw.split.is_empty() {
        return Err(SiteError::NoService(name));
    }
    let mut split = Vec::new();
    for (service, weight) in raw.split {
        if !services.contains(service.as_str()) {
            return Err(SiteError::UnknownService(name, service));
        }
        if weight < 0 {
            return Err(SiteError::NegativeWeight(name, weight));
        }
        let weight = u32::try_from(weight).unwrap_or(u32::MAX);
        split.push(SplitPart { service, weight });
    }
    Ok(RouteSpec {
        name,
        path_prefix: raw.path_prefix,
        kind,
        timeout: raw.timeout,
        target_latency: raw.target_latency,
        priority: raw.priority,
        split,
        max_attempts: raw.max_attempts.max(1),
        sticky: raw.sticky,
        home_regions: raw.home_regions,
    })
}
