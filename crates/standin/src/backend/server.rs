//! State of one stand-in backend server.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use crate::backend::fault::{FaultCommand, FaultKind, FaultTable};
use crate::backend::request_counts::{self, RequestCounts};
use crate::backend::stream::StreamFaults;
use crate::backend::work::WorkProfile;

/// The load report of a server, the answer of `GET /load`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in progress and queued over slots; above 1 if requests are queued.
    pub utilisation: f64,
    /// Requests that the server processes concurrently.
    pub slots: u32,
    /// Requests that the server is processing.
    pub in_flight: usize,
    /// Requests that are queued for a slot.
    pub queued: usize,
}

/// The status of a server, a row of `GET /control/servers`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Index of the server within its process, for use in fault commands.
    pub server: usize,
    /// Service that the server belongs to.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Requests that have arrived since the start.
    pub arrived: u64,
    /// Requests that the server is processing or has queued.
    pub in_flight: usize,
    /// Time of the last arrival, in milliseconds since the Unix epoch; 0 if no request has arrived.
    pub last_arrival_ms: u64,
}

/// One stand-in backend server.
#[derive(Debug)]
pub struct StandinServer {
    /// Index of the server within the process.
    pub index: usize,
    /// Service that the server belongs to.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Capacity and timing of the server.
    pub work: WorkProfile,
    /// Request counts of the process.
    pub counts: Arc<RequestCounts>,
    /// Semaphore with one permit per slot.
    pub slots: Semaphore,
    in_flight: AtomicUsize,
    arrived: AtomicU64,
    last_arrival_ms: AtomicU64,
    first_request: Mutex<Option<Instant>>,
    draining: AtomicBool,
    faults: Mutex<FaultTable>,
    frozen_load: Mutex<Option<LoadReport>>,
    rng: Mutex<SmallRng>,
    connections: Mutex<Vec<Weak<StreamFaults>>>,
}

impl StandinServer {
    /// Creates a server that has not received any request.
    pub fn new(
        index: usize,
        (service, zone): (&str, &str),
        address: SocketAddr,
        work: WorkProfile,
        counts: Arc<RequestCounts>,
        seed: u64,
    ) -> Self {
        Self {
            index,
            service: service.to_string(),
            zone: zone.to_string(),
            address,
            slots: Semaphore::new(work.slots as usize),
            work,
            counts,
            in_flight: AtomicUsize::new(0),
            arrived: AtomicU64::new(0),
            last_arrival_ms: AtomicU64::new(0),
            first_request: Mutex::default(),
            draining: AtomicBool::new(false),
            faults: Mutex::default(),
            frozen_load: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            connections: Mutex::default(),
        }
    }

    /// Counts the arrival of a request, which stays in flight until the returned guard is dropped.
    pub fn begin_request(&self) -> RequestGuard<'_> {
        self.arrived.fetch_add(1, Ordering::Relaxed);
        let now = request_counts::millis(request_counts::unix_time());
        self.last_arrival_ms.store(now, Ordering::Relaxed);
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        RequestGuard { server: self }
    }

    /// Returns whether the requests in flight exceed the slots and the queue of the server.
    pub fn is_full(&self) -> bool {
        let capacity = self.work.slots as usize + self.work.queue as usize;
        self.in_flight() > capacity
    }

    /// Returns the number of requests that the server is processing or has queued.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Starts the drain: the server sheds every new request.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Returns whether the drain has started.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns a random processing time for a request of the given method that starts now.
    pub fn processing_time(&self, method: &http::Method) -> Duration {
        let now = Instant::now();
        let first_request = *lock(&self.first_request).get_or_insert(now);
        self.work
            .processing_time(method, first_request, now, &mut lock(&self.rng))
    }

    /// Resets the warm-up, so that the server is as slow as after its start.
    pub fn reset_warm_up(&self) {
        *lock(&self.first_request) = None;
    }

    /// Applies a fault command to the server.
    pub fn inject_fault(&self, command: FaultCommand) {
        if command.kind == Some(FaultKind::Silent) {
            let connections = lock(&self.connections);
            for faults in connections.iter().filter_map(Weak::upgrade) {
                faults.silence();
            }
            return;
        }
        *lock(&self.frozen_load) = Some(self.actual_load());
        lock(&self.faults).apply(command);
    }

    /// Returns the fault and delay of the next request, and counts the request against the fault's
    /// limit.
    pub fn next_fault(&self) -> Option<(FaultKind, Duration)> {
        lock(&self.faults).next_request_fault()
    }

    /// Registers a new connection, so that [`FaultKind::Silent`] can silence it.
    pub fn register_connection(&self) -> Arc<StreamFaults> {
        let faults = Arc::new(StreamFaults::default());
        let mut connections = lock(&self.connections);
        connections.retain(|known| known.strong_count() > 0);
        connections.push(Arc::downgrade(&faults));
        faults
    }

    /// Returns the load that the load endpoint reports, or `None` if a fault suppresses the report.
    pub fn reported_load(&self) -> Option<LoadReport> {
        match lock(&self.faults).report_fault() {
            Some(FaultKind::NoReports) => None,
            Some(FaultKind::LieIdle) => Some(LoadReport {
                utilisation: 0.0,
                in_flight: 0,
                queued: 0,
                ..self.actual_load()
            }),
            Some(FaultKind::FreezeReports) => lock(&self.frozen_load).clone(),
            _ => Some(self.actual_load()),
        }
    }

    /// Returns whether the health endpoint reports a healthy server, or `None` if a fault
    /// suppresses the report.
    pub fn reported_health(&self) -> Option<bool> {
        match lock(&self.faults).report_fault() {
            Some(FaultKind::NoReports) => None,
            Some(FaultKind::LieSick) => Some(false),
            _ => Some(!self.is_draining()),
        }
    }

    /// Returns the status of the server for `GET /control/servers`.
    pub fn status(&self) -> ServerStatus {
        ServerStatus {
            server: self.index,
            service: self.service.clone(),
            zone: self.zone.clone(),
            address: self.address,
            arrived: self.arrived.load(Ordering::Relaxed),
            in_flight: self.in_flight(),
            last_arrival_ms: self.last_arrival_ms.load(Ordering::Relaxed),
        }
    }

    fn actual_load(&self) -> LoadReport {
        let total = self.in_flight();
        let in_flight = total.min(self.work.slots as usize);
        LoadReport {
            utilisation: total as f64 / f64::from(self.work.slots),
            slots: self.work.slots,
            in_flight,
            queued: total - in_flight,
        }
    }
}

/// A guard that counts a request as in flight until it is dropped, which includes cancellation when
/// the caller closes the connection.
#[derive(Debug)]
pub struct RequestGuard<'a> {
    server: &'a StandinServer,
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.server.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
