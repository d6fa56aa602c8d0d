//! Detection of backend servers that answer no entry host, although they may still announce themselves.
//!
//! With many entry hosts, each one sends a backend server few requests, so each would have to lose some
//! before it knows. Entry hosts report attempts without an answer, and replicas exchange these
//! reports. A server that several hosts got no answer from, and no host an answer since, counts as
//! unresponsive for a time. The replica that finds this tells the others, which may know of answers of
//! before, and of no attempts afterwards.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fleet::hint::{HintKind, ServerHint, ServerIncarnation};
use fleet::ids;

use crate::index::ServerIndex;
use crate::message::{ReporterHash, UnansweredReport};

/// Number of entry hosts without an answer from which a server counts as unresponsive: what is between
/// one host and the server may have failed. After an outage, one suffices until the server answers.
const MIN_REPORTERS: usize = 2;

/// Time from the first report until a server counts as unresponsive. It is longer than a call of an
/// entry host and a report of a replica take together, so that answers of before are known.
const CONFIRMATION_TIME: Duration = Duration::from_millis(800);

/// Age at which a report no longer counts.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// Time for which a server first counts as unresponsive. It doubles each time in a row.
const MIN_OUTAGE: Duration = Duration::from_secs(3);

/// Longest time for which a server counts as unresponsive.
const MAX_OUTAGE: Duration = Duration::from_secs(8);

#[derive(Debug)]
struct OutageEntry {
    born: ids::StartTime,
    /// Entry hosts that got no answer since the last answer to any host, with the latest report.
    reporters: BTreeMap<ReporterHash, Instant>,
    /// Time of the first of these reports.
    first_report_at: Instant,
    until: Option<Instant>,
    /// Outages in a row.
    outages: u32,
    /// Whether this replica found the outage since its previous report.
    unreported: bool,
    touched_at: Instant,
}

/// Backend servers with unanswered requests, by id.
#[derive(Debug, Default)]
pub struct OutageTable {
    entries: BTreeMap<ids::ServerId, OutageEntry>,
    /// Reports of entry hosts to this replica since the previous report to the other replicas.
    unreported: Vec<(ids::ServerId, ReporterHash)>,
    /// Whether the unresponsive servers changed since this was last taken.
    changed: bool,
}

impl OutageTable {
    /// Records that an entry host, which called this replica, got no answer from a server.
    pub fn record_unanswered(
        &mut self,
        now: Instant,
        server: &ServerIncarnation,
        reporter: ReporterHash,
    ) {
        self.unreported.push((server.id.clone(), reporter));
        self.merge_unanswered(now, server, reporter);
    }

    /// Merges a report that another replica passes on.
    pub fn merge_unanswered(
        &mut self,
        now: Instant,
        server: &ServerIncarnation,
        reporter: ReporterHash,
    ) {
        let entry = self.entry(now, server);
        // The attempt began before the hosts knew of the outage.
        if entry.is_unresponsive(now) {
            return;
        }
        entry.evict_reporters(now);
        if entry.reporters.is_empty() {
            entry.first_report_at = now;
        }
        entry.reporters.insert(reporter, now);
    }

    /// Merges an outage that another replica found; one that is known already isn't extended.
    pub fn merge_outage(&mut self, now: Instant, hint: &ServerHint) {
        let known = self.entries.get(&hint.server.id);
        if known.is_some_and(|known| known.born > hint.server.born) {
            return;
        }
        let entry = self.entry(now, &hint.server);
        if !entry.is_unresponsive(now) {
            entry.start_outage(now, hint.remaining.min(MAX_OUTAGE));
            self.changed = true;
        }
    }

    /// Returns the entry of an incarnation, which replaces that of another one.
    fn entry(&mut self, now: Instant, server: &ServerIncarnation) -> &mut OutageEntry {
        let entry = self.entries.entry(server.id.clone());
        let entry = entry.or_insert_with(|| OutageEntry::new(now, server.born));
        if entry.born != server.born {
            *entry = OutageEntry::new(now, server.born);
        }
        entry.touched_at = now;
        entry
    }

    /// Determines which servers became unresponsive since the last call, and evicts those without
    /// reports for long. Returns the new ones.
    pub fn refresh(&mut self, now: Instant) -> Vec<ServerIncarnation> {
        self.entries
            .retain(|_, entry| now < entry.touched_at + MAX_OUTAGE * 2);
        let mut found = Vec::new();
        for (id, entry) in &mut self.entries {
            if entry.begin_outage(now) {
                found.push(ServerIncarnation {
                    id: id.clone(),
                    born: entry.born,
                });
            }
        }
        self.changed |= !found.is_empty();
        found
    }

    /// Records that a server answered an entry host.
    pub fn record_answer(&mut self, now: Instant, id: &str) {
        let removed = self.entries.remove(id);
        self.changed |= removed.is_some_and(|entry| entry.is_unresponsive(now));
    }

    /// Returns whether no reports are known, so that answers need not be recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the hints for the servers that count as unresponsive.
    pub fn current(&self, now: Instant) -> Vec<ServerHint> {
        let entries = self.entries.iter();
        entries
            .filter_map(|(id, entry)| entry.hint(now, id))
            .collect()
    }

    /// Returns the hints for the outages that this replica found since the previous call.
    pub fn take_hints(&mut self, now: Instant) -> Vec<ServerHint> {
        let entries = self.entries.iter_mut();
        let unreported = entries.filter_map(|(id, entry)| {
            let unreported = std::mem::take(&mut entry.unreported);
            unreported.then(|| entry.hint(now, id)).flatten()
        });
        unreported.collect()
    }

    /// Returns the reports of entry hosts to this replica since the previous call.
    pub fn take_report(&mut self, index: &ServerIndex) -> Vec<UnansweredReport> {
        let unreported = std::mem::take(&mut self.unreported).into_iter();
        let reports = unreported.filter_map(|(id, reporter)| {
            let server_index = index.position(&id)?;
            Some(UnansweredReport {
                server_index,
                reporter,
            })
        });
        reports.collect()
    }

    /// Returns whether the unresponsive servers changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }
}

impl OutageEntry {
    fn new(now: Instant, born: ids::StartTime) -> Self {
        Self {
            born,
            reporters: BTreeMap::new(),
            first_report_at: now,
            until: None,
            outages: 0,
            unreported: false,
            touched_at: now,
        }
    }

    /// Begins an outage if there are enough reports. Returns whether it does.
    fn begin_outage(&mut self, now: Instant) -> bool {
        self.evict_reporters(now);
        let confirmed = match self.outages {
            0 => {
                now >= self.first_report_at + CONFIRMATION_TIME
                    && self.reporters.len() >= MIN_REPORTERS
            }
            _ => !self.reporters.is_empty(),
        };
        if !confirmed || self.is_unresponsive(now) {
            return false;
        }
        let period = MIN_OUTAGE * 2_u32.saturating_pow(self.outages);
        self.start_outage(now, period.min(MAX_OUTAGE));
        self.unreported = true;
        true
    }

    fn start_outage(&mut self, now: Instant, period: Duration) {
        self.until = Some(now + period);
        self.outages = (self.outages + 1).min(8);
        self.reporters.clear();
    }

    /// Returns the hint of an outage that is in force.
    fn hint(&self, now: Instant, id: &str) -> Option<ServerHint> {
        let until = self.until.filter(|until| now < *until)?;
        Some(ServerHint {
            server: ServerIncarnation {
                id: id.to_string(),
                born: self.born,
            },
            kind: HintKind::Unresponsive,
            remaining: until.saturating_duration_since(now),
        })
    }

    fn evict_reporters(&mut self, now: Instant) {
        self.reporters
            .retain(|_, reported_at| now < *reported_at + REPORT_TTL);
    }

    fn is_unresponsive(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
