//! The configuration of a deployment, from raw input to checked types.

use std::collections::BTreeSet;
use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::ids;

/// Longest timeout that a route may have; an operator's typing error is more likely beyond it.
pub const MAX_ROUTE_TIMEOUT: Duration = Duration::from_secs(600);

quick_error! {
    /// What is wrong with a configuration.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SiteFault {
        /// A route sends to a service that the configuration doesn't hold.
        UnknownService(route: String, service: String) {
            display("route {route}: service: there is no service {service}")
        }
        /// A part of a split weighs less than nothing.
        NegativeWeight(route: String, weight: i64) {
            display("route {route}: weight: {weight} is below 0")
        }
        /// A route gives no time at all.
        ZeroTimeout(route: String) {
            display("route {route}: timeout: 0 leaves no time")
        }
        /// A route gives more time than any may.
        LongTimeout(route: String, timeout: Duration) {
            display("route {route}: timeout: {timeout:?} is over {MAX_ROUTE_TIMEOUT:?}")
        }
        /// A prefix doesn't begin with a slash.
        BarePrefix(route: String, prefix: String) {
            display("route {route}: path prefix: {prefix:?} doesn't begin with a slash")
        }
        /// A kind has no meaning.
        UnknownKind(route: String, kind: String) {
            display("route {route}: kind: {kind:?} is neither safe nor unsafe")
        }
        /// A route sends nowhere.
        NoService(route: String) {
            display("route {route}: service: the route names none")
        }
    }
}

/// What may be repeated of a request.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::EnumString, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs once at most.
    Unsafe,
}

/// A configuration as it was read, not yet checked.
#[derive(Debug, Clone, Default)]
pub struct RawSite {
    /// Services that routes may name.
    pub services: Vec<ServiceSpec>,
    /// Bounds of what clients send.
    pub limits: ClientLimits,
    /// Routes by host.
    pub hosts: Vec<(String, Vec<RawRoute>)>,
}

/// A route as it was read.
#[derive(Debug, Clone, Default)]
pub struct RawRoute {
    /// Name for logs.
    pub name: String,
    /// Start of the paths that it takes.
    pub path_prefix: String,
    /// `safe` or `unsafe`.
    pub kind: String,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time in which an answer is wanted.
    pub target_latency: Duration,
    /// Rank; 0 goes first.
    pub priority: u32,
    /// Services with their weights.
    pub split: Vec<(ids::ServiceName, i64)>,
    /// Most backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests for one object go to one backend server.
    pub sticky: bool,
    /// Regions outside which it must not be served; none where any may.
    pub home_regions: Vec<ids::RegionName>,
}

/// Bounds of what clients send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Most bytes of a request's head.
    pub max_header_bytes: usize,
    /// Most bytes of a request's body.
    pub max_body_bytes: u64,
    /// Longest time for a request's head.
    pub header_timeout: Duration,
    /// Longest time that a connection stays open without a request.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Bounds until a configuration says others: those of common HTTP servers.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A service and what its backend servers bear.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name.
    pub name: ids::ServiceName,
    /// Path that tells whether a backend server is well.
    pub health_path: String,
    /// Connections that one backend server accepts from all callers together.
    pub max_connections: u32,
    /// Time for which a backend server is cold after a start.
    pub cold_period: Duration,
    /// Requests a second that a cold backend server bears from all callers together.
    pub cold_rate: f64,
}

/// One part of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SplitPart {
    /// Service that it goes to.
    pub service: ids::ServiceName,
    /// Its share, relative to the others'.
    pub weight: u32,
}

/// A checked route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Name for logs.
    pub name: String,
    /// Start of the paths that it takes.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time in which an answer is wanted.
    pub target_latency: Duration,
    /// Rank; 0 goes first.
    pub priority: u32,
    /// Where its traffic goes; at least one part.
    pub split: Vec<SplitPart>,
    /// Most backend servers that one request is sent to, at least 1.
    pub max_attempts: u32,
    /// Whether requests for one object go to one backend server.
    pub sticky: bool,
    /// Regions outside which it must not be served; none where any may.
    pub home_regions: Vec<ids::RegionName>,
}

/// Routes of one host, longest prefix first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRoutes {
    /// Name of the host, in lower case.
    pub host: String,
    /// Its routes.
    pub routes: Vec<RouteSpec>,
}

/// A checked configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteConfig {
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Bounds of what clients send.
    pub limits: ClientLimits,
    /// Routes by host.
    pub hosts: Vec<HostRoutes>,
}

impl SiteConfig {
    /// Returns the route of a path on a host: the one with the longest prefix that begins it.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let routes = self.hosts.iter().filter(|entry| entry.host == host);
        routes
            .flat_map(|entry| &entry.routes)
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|service| service.name == name)
    }
}

impl TryFrom<RawSite> for SiteConfig {
    type Error = SiteFault;

    fn try_from(raw: RawSite) -> Result<Self, SiteFault> {
        let names: BTreeSet<&str> = raw.services.iter().map(|s| s.name.as_str()).collect();
        let mut hosts = Vec::new();
        for (host, raw_routes) in raw.hosts {
            let routes = raw_routes
                .into_iter()
                .map(|route| check_route(route, &names));
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

fn check_route(raw: RawRoute, services: &BTreeSet<&str>) -> Result<RouteSpec, SiteFault> {
    let name = raw.name;
    let Ok(kind) = raw.kind.parse() else {
        return Err(SiteFault::UnknownKind(name, raw.kind));
    };
    if raw.timeout.is_zero() {
        return Err(SiteFault::ZeroTimeout(name));
    }
    if raw.timeout > MAX_ROUTE_TIMEOUT {
        return Err(SiteFault::LongTimeout(name, raw.timeout));
    }
    if !raw.path_prefix.starts_with('/') {
        return Err(SiteFault::BarePrefix(name, raw.path_prefix));
    }
    if raw.split.is_empty() {
        return Err(SiteFault::NoService(name));
    }
    let mut split = Vec::new();
    for (service, weight) in raw.split {
        if !services.contains(service.as_str()) {
            return Err(SiteFault::UnknownService(name, service));
        }
        if weight < 0 {
            return Err(SiteFault::NegativeWeight(name, weight));
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
