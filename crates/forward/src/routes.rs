//! Which backend server takes the next attempt of a request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use model::outcome::RefusalReason;

use http::StatusCode;

use crate::refusal::RequestRefusal;

/// What the next attempt needs.
#[derive(Debug)]
pub struct RouteQuery<'a> {
    /// Service that the request names.
    pub service: &'a str,
    /// When the answer is due.
    pub deadline: Instant,
    /// Bytes of the request's body, where they are known.
    pub body_bytes: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Backend servers that earlier attempts used.
    pub tried: &'a [SocketAddr],
}

/// How an attempt ended, as seen by the choice of the next backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// A whole answer came.
    Answered,
    /// The backend server shed it.
    Shed,
    /// It could not be reached, or its answer was cut, malformed or late.
    Failed,
    /// The caller left, or another attempt was faster.
    Cancelled,
}

/// A place on a backend server, held for one attempt.
#[derive(Debug)]
pub struct RouteLease {
    /// Address of the backend server.
    pub address: SocketAddr,
    in_flight: Arc<AtomicUsize>,
}

impl RouteLease {
    /// Gives the place back and says how the attempt ended.
    pub fn finish(self, _now: Instant, _result: AttemptResult) {}
}

impl Drop for RouteLease {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Where backend servers come from.
#[derive(Debug)]
pub enum RouteTable {
    /// A list for each service.
    Fixed(FixedRoutes),
}

impl RouteTable {
    /// Chooses a backend server and holds a place on it.
    ///
    /// # Errors
    ///
    /// Refuses where the service is unknown or no backend server has room.
    pub fn choose(
        &self,
        now: Instant,
        query: &RouteQuery<'_>,
    ) -> Result<RouteLease, RequestRefusal> {
        match self {
            Self::Fixed(routes) => routes.choose(now, query),
        }
    }

    /// Tells whether one more attempt of a request fits the budget for retries.
    pub fn allow_retry(&self, _now: Instant, _service: &str) -> bool {
        true
    }

    /// Tells whether a second attempt beside a slow one fits the budget for hedges.
    pub fn allow_hedge(&self, _now: Instant, _service: &str) -> bool {
        true
    }
}

/// Backend servers by service, each with a limit of requests at once.
#[derive(Debug, Default)]
pub struct FixedRoutes {
    services: ArcSwap<HashMap<String, Vec<FixedBackend>>>,
}

#[derive(Debug, Clone)]
struct FixedBackend {
    address: SocketAddr,
    limit: usize,
    in_flight: Arc<AtomicUsize>,
}

impl FixedRoutes {
    /// Time after which a refused caller comes back.
    const RETRY_AFTER: Duration = Duration::from_millis(200);

    /// Sets the backend servers of a service, each with the same limit of requests at once.
    pub fn set(&self, service: &str, addresses: &[SocketAddr], limit: usize) {
        let backends: Vec<_> = addresses
            .iter()
            .map(|&address| FixedBackend {
                address,
                limit,
                in_flight: Arc::default(),
            })
            .collect();
        self.services.rcu(|services| {
            let mut services = HashMap::clone(services);
            services.insert(service.to_string(), backends.clone());
            services
        });
    }

    fn choose(&self, _now: Instant, query: &RouteQuery<'_>) -> Result<RouteLease, RequestRefusal> {
        let services = self.services.load();
        let Some(backends) = services.get(query.service) else {
            return Err(RequestRefusal::not_run(
                StatusCode::NOT_FOUND,
                RefusalReason::UnknownService,
                "no such service is in force",
            ));
        };
        let untried = |backend: &&FixedBackend| !query.tried.contains(&backend.address);
        let least = backends
            .iter()
            .filter(untried)
            .min_by_key(|backend| backend.in_flight.load(Ordering::Relaxed));
        let Some(backend) = least else {
            return Err(RequestRefusal::no_room(
                RefusalReason::NoBackend,
                Self::RETRY_AFTER,
                "no backend server of the service is available",
            ));
        };
        if backend.in_flight.fetch_add(1, Ordering::Relaxed) >= backend.limit {
            backend.in_flight.fetch_sub(1, Ordering::Relaxed);
            return Err(RequestRefusal::no_room(
                RefusalReason::Overloaded,
                Self::RETRY_AFTER,
                "backend servers are at their limits",
            ));
        }
        Ok(RouteLease {
            address: backend.address,
            in_flight: backend.in_flight.clone(),
        })
    }
}
