//! One stand-in backend server.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use crate::backend::fault::{FaultKind, FaultOrder, FaultTable};
use crate::backend::run_log::{self, RunLog};
use crate::backend::stream::StreamFaults;
use crate::backend::work::WorkProfile;

/// What a server says of its load at `GET /load`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadWord {
    /// Part of its slots in use, from 0 to 1; more where requests wait.
    pub utilisation: f64,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Requests that it works on.
    pub in_flight: usize,
    /// Requests that wait for a slot.
    pub queued: usize,
}

/// A server in the list of `GET /control/servers`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerWord {
    /// Index, for orders of faults.
    pub server: usize,
    /// Service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Requests that have arrived.
    pub arrived: u64,
    /// Requests that it works on or that wait.
    pub in_flight: usize,
    /// Last arrival, in milliseconds since the Unix epoch; 0 where there was none.
    pub last_arrival_ms: u64,
}

/// One stand-in backend server.
#[derive(Debug)]
pub struct StandinServer {
    /// Index within the process.
    pub index: usize,
    /// Service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// How it works.
    pub work: WorkProfile,
    /// Counts of the process.
    pub log: Arc<RunLog>,
    /// One permit a slot.
    pub slots: Semaphore,
    in_flight: AtomicUsize,
    arrived: AtomicU64,
    last_arrival_ms: AtomicU64,
    first: Mutex<Option<Instant>>,
    draining: AtomicBool,
    faults: Mutex<FaultTable>,
    frozen: Mutex<Option<LoadWord>>,
    rng: Mutex<SmallRng>,
    connections: Mutex<Vec<Weak<StreamFaults>>>,
}

impl StandinServer {
    /// Creates a server.
    pub fn new(
        index: usize,
        (service, zone): (&str, &str),
        address: SocketAddr,
        work: WorkProfile,
        log: Arc<RunLog>,
        seed: u64,
    ) -> Self {
        Self {
            index,
            service: service.to_string(),
            zone: zone.to_string(),
            address,
            slots: Semaphore::new(work.slots as usize),
            work,
            log,
            in_flight: AtomicUsize::new(0),
            arrived: AtomicU64::new(0),
            last_arrival_ms: AtomicU64::new(0),
            first: Mutex::default(),
            draining: AtomicBool::new(false),
            faults: Mutex::default(),
            frozen: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            connections: Mutex::default(),
        }
    }

    /// Counts an arrival until the guard is dropped.
    pub fn arrive(&self) -> FlightGuard<'_> {
        self.arrived.fetch_add(1, Ordering::Relaxed);
        let now = run_log::millis(run_log::unix_time());
        self.last_arrival_ms.store(now, Ordering::Relaxed);
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        FlightGuard { server: self }
    }

    /// Tells whether the server has no room for another request to wait.
    pub fn is_full(&self) -> bool {
        let room = self.work.slots as usize + self.work.queue as usize;
        self.in_flight() > room
    }

    /// Returns the requests that it works on or that wait.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Begins the drain: every new request is shed.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Tells whether the drain has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns the time that a request of this method takes, if it starts now.
    pub fn work_time(&self, method: &http::Method) -> Duration {
        let now = Instant::now();
        let first = *lock(&self.first).get_or_insert(now);
        self.work
            .work_time(method, first, now, &mut lock(&self.rng))
    }

    /// Makes the server cold again, as after a start.
    pub fn cool(&self) {
        *lock(&self.first) = None;
    }

    /// Takes an order of a fault.
    pub fn order(&self, order: FaultOrder) {
        if order.kind == Some(FaultKind::Silent) {
            let connections = lock(&self.connections);
            for faults in connections.iter().filter_map(Weak::upgrade) {
                faults.silence();
            }
            return;
        }
        *lock(&self.frozen) = Some(self.true_load());
        lock(&self.faults).order(order);
    }

    /// Takes the fault that hits the next request.
    pub fn next_fault(&self) -> Option<(FaultKind, Duration)> {
        lock(&self.faults).next_request()
    }

    /// Registers a connection, so that it can go silent.
    pub fn register(&self) -> Arc<StreamFaults> {
        let faults = Arc::new(StreamFaults::default());
        let mut connections = lock(&self.connections);
        connections.retain(|known| known.strong_count() > 0);
        connections.push(Arc::downgrade(&faults));
        faults
    }

    /// Returns what the load endpoint says, or nothing where it doesn't answer.
    pub fn load(&self) -> Option<LoadWord> {
        match lock(&self.faults).report() {
            Some(FaultKind::NoReports) => None,
            Some(FaultKind::LieIdle) => Some(LoadWord {
                utilisation: 0.0,
                in_flight: 0,
                queued: 0,
                ..self.true_load()
            }),
            Some(FaultKind::FreezeReports) => lock(&self.frozen).clone(),
            _ => Some(self.true_load()),
        }
    }

    /// Returns what the health endpoint says, or nothing where it doesn't answer.
    pub fn health(&self) -> Option<bool> {
        match lock(&self.faults).report() {
            Some(FaultKind::NoReports) => None,
            Some(FaultKind::LieSick) => Some(false),
            _ => Some(!self.is_draining()),
        }
    }

    /// Returns the server's row of `GET /control/servers`.
    pub fn word(&self) -> ServerWord {
        ServerWord {
            server: self.index,
            service: self.service.clone(),
            zone: self.zone.clone(),
            address: self.address,
            arrived: self.arrived.load(Ordering::Relaxed),
            in_flight: self.in_flight(),
            last_arrival_ms: self.last_arrival_ms.load(Ordering::Relaxed),
        }
    }

    fn true_load(&self) -> LoadWord {
        let held = self.in_flight();
        let in_flight = held.min(self.work.slots as usize);
        LoadWord {
            utilisation: held as f64 / f64::from(self.work.slots),
            slots: self.work.slots,
            in_flight,
            queued: held - in_flight,
        }
    }
}

/// Counts a request as in flight until it is dropped, also where its caller has gone.
#[derive(Debug)]
pub struct FlightGuard<'a> {
    server: &'a StandinServer,
}

impl Drop for FlightGuard<'_> {
    fn drop(&mut self) {
        self.server.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
