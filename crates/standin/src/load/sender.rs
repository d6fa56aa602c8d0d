//! Open-loop sending of a phase's requests at their scheduled times.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use async_std::task;

use crate::load::caller::{CallerPool, LoadRequest};
use crate::load::deployment::Deployment;
use crate::load::outcome::{LoadOutcome, RequestRecord};
use crate::load::policy::{SteeringPolicy, TargetTable};
use crate::load::schedule::PlannedRequest;

/// Servers that the baseline policies choose from, by index of the service.
pub(crate) type TargetTables = Arc<Mutex<HashMap<usize, Arc<TargetTable>>>>;

/// Sends the requests of one phase and records their outcomes.
#[derive(Clone)]
pub(crate) struct LoadSender {
    pub(crate) deployment: Arc<Deployment>,
    pub(crate) zones: Arc<Vec<String>>,
    pub(crate) callers: Arc<CallerPool>,
    pub(crate) targets: TargetTables,
    pub(crate) next_id: Arc<AtomicU64>,
    pub(crate) seed: u64,
    pub(crate) policy: SteeringPolicy,
    pub(crate) records: Arc<Mutex<Vec<RequestRecord>>>,
}

impl LoadSender {
    /// Sends one request and records its outcome; its latency counts from `scheduled`.
    async fn send(self, planned: PlannedRequest, scheduled: Instant) {
        let model = &self.deployment.services[planned.service];
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let request = LoadRequest::new(model, &format!("r{}-{number}", self.seed));
        let zone = &self.zones[planned.zone];
        let (outcome, resent) = match self.policy {
            SteeringPolicy::Wisteria => self.callers.send(zone, &request).await,
            policy => (self.send_direct(policy, &planned, &request).await, false),
        };
        let is_counted = request.method != http::Method::GET;
        let record = RequestRecord {
            service: planned.service,
            key: if is_counted {
                request.id.clone()
            } else {
                String::new()
            },
            at_most_once: request.is_at_most_once(),
            latency: scheduled.elapsed(),
            outcome,
            resent,
        };
        lock(&self.records).push(record);
    }

    /// Sends a request directly to the backend server that a baseline policy chooses.
    async fn send_direct(
        &self,
        policy: SteeringPolicy,
        planned: &PlannedRequest,
        request: &LoadRequest,
    ) -> LoadOutcome {
        let table = lock(&self.targets).get(&planned.service).cloned();
        let zone = &self.zones[planned.zone];
        let target = table.as_ref().and_then(|table| table.choose(policy, zone));
        match target {
            Some(target) => self.callers.send_to(target.address, zone, request).await,
            None => LoadOutcome::NotRun("no-backend".to_string()),
        }
    }
}

/// Sends every request at its scheduled time, independently of the outcomes of earlier requests,
/// and waits until all requests have completed.
pub(crate) async fn send_all(plan: Vec<PlannedRequest>, start: Instant, sender: LoadSender) {
    let mut sent = Vec::with_capacity(plan.len());
    for planned in plan {
        let scheduled = start + planned.at;
        sleep_until(scheduled).await;
        sent.push(task::spawn(sender.clone().send(planned, scheduled)));
    }
    for request in sent {
        request.await;
    }
}

/// Sleeps until a point in time; returns at once if it has passed.
pub(crate) async fn sleep_until(time: Instant) {
    let left = time.saturating_duration_since(Instant::now());
    if !left.is_zero() {
        task::sleep(left).await;
    }
}

/// Locks a mutex, even if a task panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
