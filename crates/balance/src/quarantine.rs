//! Requests that are held back because backend servers ended while they ran them.
//!
//! Control replicas collect the evidence of all hosts, and quarantine a request by a committed command.
//! A host with enough evidence of its own doesn't wait for that. After some time one host runs the request
//! once more: an answer releases it, as it may have been suspected wrongly.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use fleet::hint::ServerIncarnation;
use fleet::ids;
use fleet::suspect::{RunEvidence, RunNotice, SuspectTable, QUARANTINE_CRASHES};

/// Time until the first trial of a quarantined request. It grows by [`TRIAL_BACKOFF`] with each further
/// server that ends.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(60);

/// Factor by which the time until a trial grows.
const TRIAL_BACKOFF: u32 = 4;

/// Longest time until a trial.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(86_400);

/// Shortest time after which a client may retry a request that is held back.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time between two reports that a quarantined or watched request was answered.
const ANSWER_REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Most notices that wait for a control replica; the oldest ones are dropped.
const MAX_UNREPORTED: usize = 1_024;

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunAdmission {
    /// Nothing is known against the request.
    Free,
    /// The request is quarantined, and this host may run it once.
    Trial,
    /// The request is held back for at least this time.
    Held(Duration),
}

#[derive(Debug)]
struct QuarantinedRequest {
    /// Number of servers that ended with the request.
    crashes: u32,
    /// Time at which this host learned of the number, or began a trial.
    since: Instant,
}

impl QuarantinedRequest {
    /// Returns the time until a trial.
    fn wait(&self, now: Instant) -> Duration {
        let further = self.crashes.saturating_sub(QUARANTINE_CRASHES as u32);
        let factor = TRIAL_BACKOFF.saturating_pow(further);
        let delay = FIRST_TRIAL_DELAY
            .saturating_mul(factor)
            .min(MAX_TRIAL_DELAY);
        (self.since + delay).saturating_duration_since(now)
    }
}

#[derive(Debug)]
struct PendingNotice {
    request: ids::RequestDigest,
    evidence: RunEvidence,
    at: Instant,
}

/// Quarantined requests, and the evidence of this host.
#[derive(Debug, Default)]
pub(crate) struct RequestQuarantine {
    quarantined: HashMap<ids::RequestDigest, QuarantinedRequest>,
    suspects: SuspectTable,
    /// Requests with evidence of other hosts.
    watched: HashSet<ids::RequestDigest>,
    /// Times at which answers to quarantined and watched requests were last reported.
    answers_reported_at: HashMap<ids::RequestDigest, Instant>,
    /// Notices that no control replica is known to have.
    unreported: Vec<PendingNotice>,
    /// Number of these in the running report.
    in_report: usize,
}

impl RequestQuarantine {
    /// Returns whether a request may run. `may_try` tells whether this host is the one that runs trials
    /// of it.
    pub(crate) fn admission(
        &self,
        now: Instant,
        request: ids::RequestDigest,
        may_try: impl FnOnce() -> bool,
    ) -> RunAdmission {
        if let Some(known) = self.quarantined.get(&request) {
            let wait = known.wait(now);
            return match wait.is_zero() && may_try() {
                true => RunAdmission::Trial,
                false => RunAdmission::Held(wait.max(MIN_RETRY_AFTER)),
            };
        }
        match self.suspects.ended(now, request).count() >= QUARANTINE_CRASHES {
            true => RunAdmission::Held(FIRST_TRIAL_DELAY),
            false => RunAdmission::Free,
        }
    }

    /// Records that a trial begins. The next one comes no sooner than after the same time again.
    pub(crate) fn begin_trial(&mut self, now: Instant, request: ids::RequestDigest) {
        if let Some(known) = self.quarantined.get_mut(&request) {
            known.since = now;
        }
    }

    /// Records that a server ended while it ran a request.
    pub(crate) fn record_end(
        &mut self,
        now: Instant,
        request: ids::RequestDigest,
        server: ServerIncarnation,
    ) {
        let evidence = RunEvidence::ServerEnded(server);
        if self.suspects.record(now, request, &evidence, now) {
            self.push(now, request, evidence);
        }
    }

    /// Records that a server answered a request.
    pub(crate) fn record_answer(&mut self, now: Instant, request: ids::RequestDigest) {
        let is_suspected_elsewhere =
            self.watched.contains(&request) || self.quarantined.contains_key(&request);
        let is_suspected_here = self.suspects.ended(now, request).next().is_some();
        if !is_suspected_here && !is_suspected_elsewhere {
            return;
        }
        let recent = |at: &Instant| now < *at + ANSWER_REPORT_INTERVAL;
        let reported_at = self.answers_reported_at.get(&request);
        if !is_suspected_here && reported_at.is_some_and(recent) {
            return;
        }
        self.answers_reported_at.retain(|_, at| recent(at));
        self.answers_reported_at.insert(request, now);
        self.suspects
            .record(now, request, &RunEvidence::Answered, now);
        self.push(now, request, RunEvidence::Answered);
    }

    /// Sets the requests whose answers are reported because other hosts have evidence against them.
    pub(crate) fn set_watched(&mut self, requests: Vec<ids::RequestDigest>) {
        self.watched = requests.into_iter().collect();
    }

    fn push(&mut self, at: Instant, request: ids::RequestDigest, evidence: RunEvidence) {
        if self.unreported.len() >= MAX_UNREPORTED {
            self.unreported.remove(0);
            self.in_report = self.in_report.saturating_sub(1);
        }
        self.unreported.push(PendingNotice {
            request,
            evidence,
            at,
        });
    }

    /// Returns the notices for a control replica, which are kept until
    /// [`confirm_report`](Self::confirm_report).
    pub(crate) fn report(&mut self, now: Instant) -> Vec<RunNotice> {
        self.in_report = self.unreported.len();
        let notices = self.unreported.iter().map(|pending| RunNotice {
            request: pending.request,
            evidence: pending.evidence.clone(),
            ago: now.saturating_duration_since(pending.at),
        });
        notices.collect()
    }

    /// Removes the notices of the latest report, which a control replica has received.
    pub(crate) fn confirm_report(&mut self) {
        self.unreported.drain(..self.in_report);
        self.in_report = 0;
    }

    /// Sets the number of servers that ended with a quarantined request.
    pub(crate) fn set_quarantined(
        &mut self,
        now: Instant,
        request: ids::RequestDigest,
        crashes: u32,
    ) {
        let known = self.quarantined.get(&request);
        if known.is_some_and(|known| known.crashes == crashes) {
            return;
        }
        let quarantined = QuarantinedRequest {
            crashes,
            since: now,
        };
        self.quarantined.insert(request, quarantined);
    }

    /// Ends the quarantine of a request.
    pub(crate) fn release(&mut self, now: Instant, request: ids::RequestDigest) {
        self.quarantined.remove(&request);
        if self.suspects.ended(now, request).next().is_some() {
            self.suspects
                .record(now, request, &RunEvidence::Answered, now);
        }
    }

    /// Releases all requests except those for which `is_kept` returns `true`.
    pub(crate) fn retain(&mut self, now: Instant, is_kept: impl Fn(ids::RequestDigest) -> bool) {
        let released = self.quarantined.keys().copied();
        let released: Vec<_> = released.filter(|request| !is_kept(*request)).collect();
        for request in released {
            self.release(now, request);
        }
    }

    /// Returns the number of quarantined requests.
    pub(crate) fn len(&self) -> usize {
        self.quarantined.len()
    }
}
