//! Selection of backend servers from a fixed list, for contract tests and measurements.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use http::StatusCode;
use model::outcome::RefusalReason;

use crate::permit::{AttemptPermit, FixedSlot, ReservedCapacity};
use crate::refusal::RequestRefusal;
use crate::routes::RouteQuery;

/// Retry-after time of a request that finds no backend server with free capacity.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Fixed backend servers of each service.
#[derive(Debug, Default)]
pub struct FixedRoutes {
    services: ArcSwap<HashMap<String, Arc<[FixedBackend]>>>,
}

#[derive(Debug, Clone)]
struct FixedBackend {
    address: SocketAddr,
    max_in_flight: usize,
    in_flight: Arc<AtomicUsize>,
}

impl FixedRoutes {
    /// Sets the backend servers of a service, each of which accepts up to `max_in_flight`
    /// concurrent requests.
    pub fn set(&self, service: &str, addresses: &[SocketAddr], max_in_flight: usize) {
        let backends: Arc<[FixedBackend]> = addresses
            .iter()
            .map(|&address| FixedBackend {
                address,
                max_in_flight,
                in_flight: Arc::default(),
            })
            .collect();
        self.services.rcu(|services| {
            let mut services = HashMap::clone(services);
            services.insert(service.to_string(), backends.clone());
            services
        });
    }

    /// Starts the selection of backend servers for one request.
    ///
    /// # Errors
    ///
    /// Refuses the request if its service is unknown.
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

/// Selection from a fixed list for the attempts of one request.
#[derive(Debug)]
pub struct FixedSession {
    backends: Arc<[FixedBackend]>,
    query: RouteQuery,
    tried: Vec<SocketAddr>,
}

impl FixedSession {
    /// Selects the backend server with the fewest in-flight requests among those that no earlier
    /// attempt used, and reserves capacity on it.
    ///
    /// # Errors
    ///
    /// Refuses the request if no untried backend server is left or the selected one is at its
    /// limit.
    pub fn next_permit(&mut self, now: Instant) -> Result<AttemptPermit, RequestRefusal> {
        let untried = |backend: &&FixedBackend| !self.tried.contains(&backend.address);
        let least_loaded = self
            .backends
            .iter()
            .filter(untried)
            .min_by_key(|backend| backend.in_flight.load(Ordering::Relaxed));
        let Some(backend) = least_loaded else {
            return Err(RequestRefusal::unavailable(
                RefusalReason::NoBackend,
                RETRY_AFTER,
                "no backend server of the service is available",
            ));
        };
        let slot = FixedSlot::new(backend.in_flight.clone());
        if slot.in_flight() > backend.max_in_flight {
            return Err(RequestRefusal::unavailable(
                RefusalReason::Overloaded,
                RETRY_AFTER,
                "backend servers are at their limits",
            ));
        }
        self.tried.push(backend.address);
        let reserved = ReservedCapacity::Fixed { _slot: slot };
        let deadline = self.query.deadline;
        Ok(AttemptPermit::new(now, backend.address, deadline, reserved))
    }
}

impl RequestRefusal {
    /// Creates the refusal of a request to a service that does not exist.
    pub(crate) fn unknown_service() -> Self {
        Self::not_run(
            StatusCode::NOT_FOUND,
            RefusalReason::UnknownService,
            "no such service is in force",
        )
    }
}
