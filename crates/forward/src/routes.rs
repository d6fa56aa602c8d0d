//! Which backend server takes the next attempt of a request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::fixed::{FixedRoutes, FixedSession};
use crate::lease::RouteLease;
use crate::refusal::RequestRefusal;
use crate::steered::{SteeredRoutes, SteeredSession};

/// What a request needs of a backend server.
#[derive(Debug, Clone)]
pub struct RouteQuery {
    /// Service that the request names.
    pub service: String,
    /// When the answer is due.
    pub due: Instant,
    /// Bytes of the request's body, where they are known.
    pub body_bytes: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Number that differs from request to request and spreads choices.
    pub seed: u64,
}

/// Where backend servers come from.
#[derive(Debug)]
pub enum RouteTable {
    /// A list for each service.
    Fixed(FixedRoutes),
    /// What is in force and which backend servers announced themselves.
    Steered(Arc<SteeredRoutes>),
}

impl RouteTable {
    /// Starts the choices for one request.
    ///
    /// # Errors
    ///
    /// Refuses where the service is not in force, or this host may not serve.
    pub fn start(&self, query: RouteQuery) -> Result<RouteSession, RequestRefusal> {
        match self {
            Self::Fixed(routes) => routes.start(query).map(RouteSession::Fixed),
            Self::Steered(routes) => SteeredRoutes::start(routes, query)
                .map(|session| RouteSession::Steered(Box::new(session))),
        }
    }
}

/// The choices for one request, attempt by attempt.
#[derive(Debug)]
pub enum RouteSession {
    /// From a list.
    Fixed(FixedSession),
    /// From what is in force.
    Steered(Box<SteeredSession>),
}

impl RouteSession {
    /// Chooses a backend server that no earlier attempt used, and takes room on it.
    ///
    /// # Errors
    ///
    /// Refuses where none has room.
    pub fn next_lease(&mut self, now: Instant) -> Result<RouteLease, RequestRefusal> {
        match self {
            Self::Fixed(session) => session.next_lease(now),
            Self::Steered(session) => session.next_lease(now),
        }
    }

    /// Returns how long to pause before a refused request asks again, or nothing where it is given
    /// up.
    pub fn pause_for_room(&mut self, now: Instant) -> Option<Duration> {
        match self {
            Self::Fixed(_) => None,
            Self::Steered(session) => session.pause_for_room(now),
        }
    }

    /// Takes one more attempt out of the budget for retries, if it is there.
    pub fn take_retry(&mut self) -> bool {
        match self {
            Self::Fixed(_) => true,
            Self::Steered(session) => session.take_retry(),
        }
    }

    /// Takes a second attempt beside a slow one out of the budget for hedges, if it is there.
    pub fn take_hedge(&mut self) -> bool {
        match self {
            Self::Fixed(_) => true,
            Self::Steered(session) => session.take_hedge(),
        }
    }
}
