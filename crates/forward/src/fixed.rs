//! Backend servers from a list, for contract tests and measurements.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use http::StatusCode;
use model::outcome::RefusalReason;

use crate::lease::{FixedSlot, LeaseHold, RouteLease};
use crate::refusal::RequestRefusal;
use crate::routes::RouteQuery;

/// Time after which a refused caller comes back.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Backend servers by service, each with a limit of requests at once.
#[derive(Debug, Default)]
pub struct FixedRoutes {
    services: ArcSwap<HashMap<String, Arc<[FixedBackend]>>>,
}

#[derive(Debug, Clone)]
struct FixedBackend {
    address: SocketAddr,
    limit: usize,
    in_flight: Arc<AtomicUsize>,
}

impl FixedRoutes {
    /// Sets the backend servers of a service, each with the same limit of requests at once.
    pub fn set(&self, service: &str, addresses: &[SocketAddr], limit: usize) {
        let backends: Arc<[FixedBackend]> = addresses
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

    /// Starts the choices for one request.
    ///
    /// # Errors
    ///
    /// Refuses an unknown service.
    pub fn start(&self, query: RouteQuery) -> Result<FixedSession, RequestRefusal> {
        let services = self.services.load();
        let Some(backends) = services.get(&query.service) else {
            return Err(RequestRefusal::unknown_service());
        };
        Ok(FixedSession {
            backends: backends.clone(),
            query,
            tried: Vec::new(),
        })
    }
}

/// The choices for one request out of a list.
#[derive(Debug)]
pub struct FixedSession {
    backends: Arc<[FixedBackend]>,
    query: RouteQuery,
    tried: Vec<SocketAddr>,
}

impl FixedSession {
    /// Chooses the untried backend server with the fewest requests.
    ///
    /// # Errors
    ///
    /// Refuses where none has room.
    pub fn next_lease(&mut self, now: Instant) -> Result<RouteLease, RequestRefusal> {
        let untried = |backend: &&FixedBackend| !self.tried.contains(&backend.address);
        let least = self
            .backends
            .iter()
            .filter(untried)
            .min_by_key(|backend| backend.in_flight.load(Ordering::Relaxed));
        let Some(backend) = least else {
            return Err(RequestRefusal::no_room(
                RefusalReason::NoBackend,
                RETRY_AFTER,
                "no backend server of the service is available",
            ));
        };
        let slot = FixedSlot::new(backend.in_flight.clone());
        if slot.count() > backend.limit {
            return Err(RequestRefusal::no_room(
                RefusalReason::Overloaded,
                RETRY_AFTER,
                "backend servers are at their limits",
            ));
        }
        self.tried.push(backend.address);
        let hold = LeaseHold::Fixed { _slot: slot };
        Ok(RouteLease::new(now, backend.address, self.query.due, hold))
    }
}

impl RequestRefusal {
    /// Creates the refusal of a service that is not in force.
    pub(crate) fn unknown_service() -> Self {
        Self::not_run(
            StatusCode::NOT_FOUND,
            RefusalReason::UnknownService,
            "no such service is in force",
        )
    }
}
