//! Selection of the backend server for each attempt of a request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::fixed::{FixedRoutes, FixedSession};
use crate::permit::AttemptPermit;
use crate::refusal::RequestRefusal;
use crate::steered::{SteeredRoutes, SteeredSession};

/// Properties of a request that decide which backend server is selected.
#[derive(Debug, Clone)]
pub struct RouteQuery {
    /// Service that the request names.
    pub service: String,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Size of the request's body in bytes; 0 if it is not known.
    pub body_bytes: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Hash of the request's id, which spreads requests over backend servers and refused callers
    /// over retry times.
    pub seed: u64,
}

/// Source of the backend servers of all services.
#[derive(Debug)]
pub enum RouteTable {
    /// A fixed list for each service.
    Fixed(FixedRoutes),
    /// The current state together with the announcements of backend servers.
    Steered(Arc<SteeredRoutes>),
}

impl RouteTable {
    /// Starts the selection of backend servers for one request.
    ///
    /// # Errors
    ///
    /// Refuses the request if its service is unknown or this entry host does not serve.
    pub fn start(&self, query: RouteQuery) -> Result<RouteSession, RequestRefusal> {
        match self {
            Self::Fixed(routes) => routes.start(query).map(RouteSession::Fixed),
            Self::Steered(routes) => SteeredRoutes::start(routes, query)
                .map(|session| RouteSession::Steered(Box::new(session))),
        }
    }
}

/// Selection of backend servers for the attempts of one request.
#[derive(Debug)]
pub enum RouteSession {
    /// Selects from a fixed list.
    Fixed(FixedSession),
    /// Selects by the current state and the announcements of backend servers.
    Steered(Box<SteeredSession>),
}

impl RouteSession {
    /// Selects a backend server that no earlier attempt of the request used, and reserves capacity
    /// on it.
    ///
    /// # Errors
    ///
    /// Refuses the request if no backend server has free capacity.
    pub fn next_permit(&mut self, now: Instant) -> Result<AttemptPermit, RequestRefusal> {
        match self {
            Self::Fixed(session) => session.next_permit(now),
            Self::Steered(session) => session.next_permit(now),
        }
    }

    /// Returns the delay before a request that [`next_permit`](Self::next_permit) refused asks
    /// again, or `None` if it does not wait for capacity.
    pub fn capacity_wait(&mut self, now: Instant) -> Option<Duration> {
        match self {
            Self::Fixed(_) => None,
            Self::Steered(session) => session.capacity_wait(now),
        }
    }

    /// Withdraws one retry from the retry budget of the service. Returns whether it was granted.
    pub fn try_withdraw_retry(&mut self) -> bool {
        match self {
            Self::Fixed(_) => true,
            Self::Steered(session) => session.try_withdraw_retry(),
        }
    }

    /// Withdraws one hedge from the hedge budget of the service. Returns whether it was granted.
    pub fn try_withdraw_hedge(&mut self) -> bool {
        match self {
            Self::Fixed(_) => true,
            Self::Steered(session) => session.try_withdraw_hedge(),
        }
    }
}
