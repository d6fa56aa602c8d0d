//! Idempotency keys of requests, claimed before they run.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use forward::claimed::{ClaimEnd, ClaimOutcome, ClaimRequest};
use forward::edges::ClaimEdge;
use futures_util::future::{self, BoxFuture, FutureExt};
use model::ids;

use crate::context::EntryContext;

/// Most keys that are kept.
const MAX_KEYS: usize = 100_000;

/// Claims keys for this host.
#[derive(Debug)]
pub struct KeyClaims {
    keys: Mutex<HashMap<(ids::ServiceName, String), KeyRecord>>,
}

#[derive(Debug, Clone)]
struct KeyRecord {
    digest: ids::Digest,
    outcome: ClaimOutcome,
}

impl KeyClaims {
    /// Creates the claims of a process.
    pub fn new(_context: Arc<EntryContext>) -> Self {
        Self {
            keys: Mutex::default(),
        }
    }

    fn keys(&self) -> MutexGuard<'_, HashMap<(ids::ServiceName, String), KeyRecord>> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, request: ClaimRequest) -> ClaimOutcome {
        let mut keys = self.keys();
        let full = keys.len() >= MAX_KEYS;
        let name = (request.service, request.key);
        match keys.get(&name) {
            Some(record) if record.digest != request.digest => ClaimOutcome::Used,
            Some(record) => record.outcome.clone(),
            None if full => ClaimOutcome::Unconfirmed,
            None => {
                let record = KeyRecord {
                    digest: request.digest,
                    outcome: ClaimOutcome::InProgress,
                };
                keys.insert(name, record);
                ClaimOutcome::Granted { attempt: 1 }
            }
        }
    }

    fn end(&self, request: ClaimRequest, end: ClaimEnd) {
        let mut keys = self.keys();
        let name = (request.service, request.key);
        let outcome = match end {
            ClaimEnd::NotRun => {
                keys.remove(&name);
                return;
            }
            ClaimEnd::Answered(answer) => ClaimOutcome::Answered(answer),
            ClaimEnd::AnswerLost => ClaimOutcome::AnswerLost,
        };
        if let Some(record) = keys.get_mut(&name) {
            record.outcome = outcome;
        }
    }
}

impl ClaimEdge for KeyClaims {
    fn claim(&self, request: ClaimRequest) -> BoxFuture<'_, ClaimOutcome> {
        future::ready(self.take(request)).boxed()
    }

    fn complete(&self, request: ClaimRequest, _: u64, end: ClaimEnd) -> BoxFuture<'_, ()> {
        self.end(request, end);
        future::ready(()).boxed()
    }
}
