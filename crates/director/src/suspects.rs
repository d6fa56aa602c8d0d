//! Evidence of entry hosts on requests during whose runs backend servers ended, and the commands that
//! follow from it.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use fleet::command::FleetCommand;
use fleet::ids;
use fleet::state::FleetState;
use fleet::suspect::{RunNotice, SuspectTable, QUARANTINE_CRASHES};
use xxhash_rust::xxh3::Xxh3;

/// Time for which evidence is in each report to the other replicas, as reports may be lost.
const REPORT_PERIOD: Duration = Duration::from_secs(2);

/// Time for which hosts watch a request for answers before it is quarantined. It covers a call of a host
/// to learn of it, an answer, and a further call to report that.
const WATCH_TIME: Duration = Duration::from_millis(1_200);

/// Most notices in a report to the other replicas.
const MAX_REPORTED: usize = 1_024;

/// Evidence on requests.
#[derive(Debug, Default)]
pub struct SuspectRegister {
    table: SuspectTable,
    /// Evidence that entry hosts recently reported to this replica, with the time of the report.
    reported: VecDeque<(Instant, RunNotice)>,
    /// Requests with evidence that may call for a command.
    undecided: BTreeSet<ids::RequestDigest>,
    /// Requests that hosts watch for answers.
    watched: WatchList,
}

/// A list of requests, which entry hosts name by its digest.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WatchList {
    /// Digest of the list; 0 for an empty one.
    pub digest: u64,
    /// The requests.
    pub requests: Vec<ids::RequestDigest>,
}

impl WatchList {
    fn new(requests: Vec<ids::RequestDigest>) -> Self {
        if requests.is_empty() {
            return Self::default();
        }
        let mut hasher = Xxh3::new();
        for request in &requests {
            hasher.update(&request.to_le_bytes());
        }
        Self {
            digest: hasher.digest() | 1,
            requests,
        }
    }
}

impl SuspectRegister {
    /// Records what an entry host reports. Returns whether the other replicas should learn of it at
    /// once.
    pub fn record(&mut self, now: Instant, notice: &RunNotice) -> bool {
        let was_watched = self.table.watched_since(notice.request).is_some();
        if !self.merge(now, notice) {
            return false;
        }
        if self.reported.len() >= MAX_REPORTED {
            self.reported.pop_front();
        }
        self.reported.push_back((now, notice.clone()));
        was_watched || self.table.watched_since(notice.request).is_some()
    }

    /// Merges what another replica reports. Returns whether it adds anything.
    pub fn merge(&mut self, now: Instant, notice: &RunNotice) -> bool {
        let at = now.checked_sub(notice.ago).unwrap_or(now);
        let was_watched = self.table.watched_since(notice.request).is_some();
        let adds = self.table.record(now, notice.request, &notice.evidence, at);
        if adds {
            self.undecided.insert(notice.request);
        }
        if was_watched || self.table.watched_since(notice.request).is_some() {
            self.watched = WatchList::new(self.table.watched(now));
        }
        adds
    }

    /// Returns the requests that hosts watch for answers.
    pub fn watched(&self) -> &WatchList {
        &self.watched
    }

    /// Returns the evidence for the other replicas.
    pub fn report(&mut self, now: Instant) -> Vec<RunNotice> {
        let is_old = |(at, _): &(Instant, RunNotice)| now >= *at + REPORT_PERIOD;
        while self.reported.front().is_some_and(is_old) {
            self.reported.pop_front();
        }
        let notices = self.reported.iter().map(|(at, notice)| RunNotice {
            ago: notice.ago + now.saturating_duration_since(*at),
            ..notice.clone()
        });
        notices.collect()
    }

    /// Returns the commands that the evidence calls for in the committed state.
    pub fn due_commands(&mut self, now: Instant, state: &FleetState) -> Vec<FleetCommand> {
        let mut commands = Vec::new();
        let table = &self.table;
        self.undecided
            .retain(|request| match decide(now, table, state, *request) {
                SuspectDecision::None => false,
                SuspectDecision::Wait => true,
                SuspectDecision::Submit(command) => {
                    commands.push(command);
                    true
                }
            });
        commands
    }
}

/// What the evidence on a request calls for.
enum SuspectDecision {
    None,
    /// A later answer may clear the request.
    Wait,
    Submit(FleetCommand),
}

fn decide(
    now: Instant,
    table: &SuspectTable,
    state: &FleetState,
    request: ids::RequestDigest,
) -> SuspectDecision {
    let ended: Vec<_> = table.ended(now, request).cloned().collect();
    if let Some(known) = state.quarantined(request) {
        if table.is_cleared(request) {
            return SuspectDecision::Submit(FleetCommand::Release(request));
        }
        let any_new = ended.iter().any(|server| !known.ended.contains(server));
        return match any_new {
            true => SuspectDecision::Submit(FleetCommand::Quarantine { request, ended }),
            false => SuspectDecision::None,
        };
    }
    if ended.len() < QUARANTINE_CRASHES {
        return SuspectDecision::None;
    }
    let watched_since = table.watched_since(request);
    match watched_since.is_some_and(|since| now >= since + WATCH_TIME) {
        true => SuspectDecision::Submit(FleetCommand::Quarantine { request, ended }),
        false => SuspectDecision::Wait,
    }
}
