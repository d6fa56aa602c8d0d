//! The replica's decisions: the replicated log, the verdicts, the cap shares.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use feed::holder::{ForceChange, StateHolder};
use feed::view::BeatStamp;
use ledger::book::TicketBook;
use ledger::verdict::TicketVerdict;
use model::ids;
use model::raw::RawTicket;
use model::ticket::ChangeTicket;
use quorum::entry::{EntryPayload, LogEntry, LogSnapshot, RecoveredState};
use quorum::event::{AnswerOutcome, Effect, Event, PersistWrite, Role};
use quorum::machine::QuorumMachine;
use quorum::message::Message;
use tokio::sync::{oneshot, watch};
use wire::v1;

use crate::call::{
    ConfirmOutcome, CoreCall, HostReport, HostStatus, LeaseGrant, StatusReport, SubmitOutcome,
    TicketSummary,
};
use crate::disk::DiskReport;
use crate::error::ControlError;
use crate::metrics::ControlMetrics;
use crate::settings::ControlSettings;
use crate::shares::ShareTable;

/// Something that the process must do for the core, in order.
#[derive(Debug)]
pub enum CoreAction {
    /// Make a write durable and report it.
    Write(PersistWrite),
    /// Send a message to a replica; it may be lost.
    Send(quorum::ids::ReplicaId, Message),
    /// Send the freshness stamp to all other replicas.
    Beat(v1::Beat),
}

/// Holds the replica's whole state; one task owns it.
#[derive(Debug)]
pub struct ReplicaCore {
    settings: ControlSettings,
    machine: QuorumMachine,
    book: TicketBook,
    shares: ShareTable,
    holder: Arc<StateHolder>,
    applied: watch::Sender<quorum::ids::LogIndex>,
    snapshot_index: quorum::ids::LogIndex,
    verdicts: BTreeMap<quorum::ids::LogIndex, TicketVerdict>,
    pending: HashMap<quorum::ids::RequestId, PendingAnswer>,
    last_request: quorum::ids::RequestId,
    reports: BTreeMap<ids::HostName, (Instant, HostReport)>,
    led_term: quorum::ids::Term,
    beats: u64,
    beat_at: Instant,
    metrics: ControlMetrics,
    actions: Vec<CoreAction>,
}

/// Who waits for an answer of the log.
#[derive(Debug)]
enum PendingAnswer {
    Submit(oneshot::Sender<SubmitOutcome>),
    Confirm(oneshot::Sender<ConfirmOutcome>),
}

impl ReplicaCore {
    /// Time between two freshness stamps of a leader.
    pub const BEAT_INTERVAL: Duration = Duration::from_millis(250);

    /// Verdicts kept by log index, until their submitter is answered.
    const MAX_VERDICTS: usize = 8_192;

    /// Most submissions and reads that wait for the log.
    const MAX_PENDING: usize = 1_024;

    /// Time for which a host's report is shown.
    const REPORT_AGE: Duration = Duration::from_secs(60);

    /// Most hosts whose reports are kept.
    const MAX_REPORTS: usize = 10_000;

    /// Creates the core of a replica from what it found on its disk.
    ///
    /// # Errors
    ///
    /// Fails where the snapshot's content can't be read.
    pub fn new(
        now: Instant,
        settings: ControlSettings,
        recovered: RecoveredState,
        holder: Arc<StateHolder>,
        metrics: ControlMetrics,
    ) -> Result<Self, ControlError> {
        let book = match recovered.snapshot.index {
            0 => TicketBook::new(settings.verdict_window),
            _ => serde_json::from_slice(&recovered.snapshot.data)?,
        };
        let replicas = settings.replicas.keys().copied().collect();
        let config = quorum::config::QuorumConfig::new(settings.id, replicas);
        let snapshot_index = recovered.snapshot.index;
        let core = Self {
            machine: QuorumMachine::new(now, config, recovered),
            settings,
            book,
            shares: ShareTable::new(),
            holder,
            applied: watch::Sender::new(snapshot_index),
            snapshot_index,
            verdicts: BTreeMap::new(),
            pending: HashMap::new(),
            last_request: 0,
            reports: BTreeMap::new(),
            led_term: 0,
            beats: 0,
            beat_at: now,
            metrics,
            actions: Vec::new(),
        };
        core.publish_whole();
        Ok(core)
    }

    /// Returns a receiver of the last applied entry.
    pub fn applied(&self) -> watch::Receiver<quorum::ids::LogIndex> {
        self.applied.subscribe()
    }

    /// Returns when [`ReplicaCore::tick`] is next wanted.
    pub fn deadline(&self) -> Instant {
        if self.machine.role() == Role::Leader {
            return self.machine.deadline().min(self.beat_at);
        }
        self.machine.deadline()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant) {
        if self.machine.deadline() <= now {
            self.feed(now, Event::Tick);
        }
        if self.beat_at <= now {
            self.beat_at = now + Self::BEAT_INTERVAL;
            self.beat(now);
        }
    }

    /// Takes what the process must do since the last time.
    pub fn take_actions(&mut self) -> Vec<CoreAction> {
        std::mem::take(&mut self.actions)
    }

    /// Takes a call.
    pub fn handle(&mut self, now: Instant, call: CoreCall) {
        match call {
            CoreCall::Receive { from, message } => {
                self.feed(now, Event::Receive { from, message });
            }
            CoreCall::Beat(beat) => self.take_beat(now, beat),
            CoreCall::Disk(report) => self.take_report(now, report),
            CoreCall::Submit { ticket, reply } => self.submit(now, &ticket, reply),
            CoreCall::Confirm { reply } => self.confirm(now, reply),
            CoreCall::Lease { report, reply } => {
                let _ = reply.send(self.lease(now, report));
            }
            CoreCall::Ticket { number, reply } => {
                let _ = reply.send(self.ticket(number));
            }
            CoreCall::Tickets { limit, reply } => {
                let _ = reply.send(self.tickets(limit));
            }
            CoreCall::Status(reply) => {
                let _ = reply.send(self.status(now));
            }
            CoreCall::Dump(reply) => {
                let _ = reply.send(self.dump(now));
            }
            CoreCall::HandOver => self.feed(now, Event::HandOver),
        }
    }

    fn feed(&mut self, now: Instant, event: Event) {
        for effect in self.machine.handle(now, event) {
            self.carry_out(now, effect);
        }
        self.snapshot_if_due(now);
    }

    fn carry_out(&mut self, now: Instant, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.actions.push(CoreAction::Send(to, message)),
            Effect::Persist(write) => self.actions.push(CoreAction::Write(write)),
            Effect::Apply(entry) => self.apply(entry),
            Effect::Restore(snapshot) => self.restore(&snapshot),
            Effect::Answer { request, outcome } => self.answer(request, &outcome),
            Effect::RoleChanged { role, term, leader } => {
                log::info!(target: "quorum", "{role} in term {term}, leader {leader:?}");
                self.metrics.set_role(role, term);
                self.change_role(now, role, term);
            }
        }
    }

    fn change_role(&mut self, now: Instant, role: Role, term: quorum::ids::Term) {
        if role != Role::Leader {
            self.shares.stop();
            return;
        }
        if self.led_term != term {
            self.led_term = term;
            self.beats = 0;
            self.beat_at = now;
            self.shares.start(now);
        }
    }

    fn apply(&mut self, entry: LogEntry) {
        if let EntryPayload::Command(command) = entry.payload {
            self.apply_ticket(entry.index, command);
        }
        self.applied.send_replace(entry.index);
    }

    fn apply_ticket(&mut self, index: quorum::ids::LogIndex, command: Vec<u8>) {
        let Some(ticket) = read_ticket(&command) else {
            log::error!(target: "ledger", "entry {index} holds no ticket and is passed over");
            return;
        };
        let before = self.book.state().revision;
        let verdict = self.book.submit(&ticket);
        self.metrics.count_verdict(&verdict);
        let (revision, digest) = (self.book.state().revision, self.book.state().digest);
        if revision > before {
            let change = ForceChange {
                revision,
                digest,
                ticket: Bytes::from(command),
            };
            if let Err(e) = self.holder.publish_change(change) {
                log::error!(target: "feed", "revision {revision} was not published: {e}");
                self.publish_whole();
            }
        }
        log::info!(target: "ledger", "ticket {}: {verdict}", ticket.number);
        self.verdicts.insert(index, verdict);
        if self.verdicts.len() > Self::MAX_VERDICTS {
            self.verdicts.pop_first();
        }
    }

    fn restore(&mut self, snapshot: &LogSnapshot) {
        match serde_json::from_slice(&snapshot.data) {
            Ok(book) => self.book = book,
            Err(e) => {
                log::error!(target: "ledger", "the leader's snapshot can't be read: {e}");
                return self.fail();
            }
        }
        self.snapshot_index = snapshot.index;
        self.publish_whole();
        self.applied.send_replace(snapshot.index);
    }

    /// Publishes the whole state; one that is in force already is passed over.
    fn publish_whole(&self) {
        if let Err(e) = self.holder.publish_snapshot(self.book.state().clone()) {
            log::error!(target: "feed", "the state was not published: {e}");
        }
    }

    fn snapshot_if_due(&mut self, now: Instant) {
        let applied = self.machine.applied_index();
        if applied < self.snapshot_index + self.settings.snapshot_every {
            return;
        }
        self.snapshot_index = applied;
        match serde_json::to_vec(&self.book) {
            Ok(data) => {
                let event = Event::SnapshotTaken {
                    index: applied,
                    data,
                };
                for effect in self.machine.handle(now, event) {
                    self.carry_out(now, effect);
                }
            }
            Err(e) => log::error!(target: "ledger", "no snapshot was taken: {e}"),
        }
    }

    fn take_report(&mut self, now: Instant, report: DiskReport) {
        match report {
            DiskReport::Synced { token, took } => {
                self.metrics.record_sync(took);
                self.feed(now, Event::Persisted { token });
            }
            DiskReport::Failed(_) => self.feed(now, Event::StorageFailed),
        }
    }

    /// Ends this replica's part in the log, as after a failure of the disk.
    fn fail(&mut self) {
        let now = Instant::now();
        for effect in self.machine.handle(now, Event::StorageFailed) {
            if let Effect::Answer { request, outcome } = effect {
                self.answer(request, &outcome);
            }
        }
    }

    fn submit(
        &mut self,
        now: Instant,
        ticket: &ChangeTicket,
        reply: oneshot::Sender<SubmitOutcome>,
    ) {
        let command = ticket.to_json();
        let Some(request) = self.wait(PendingAnswer::Submit(reply)) else {
            return;
        };
        self.feed(now, Event::Propose { request, command });
    }

    fn confirm(&mut self, now: Instant, reply: oneshot::Sender<ConfirmOutcome>) {
        if let Some(request) = self.wait(PendingAnswer::Confirm(reply)) {
            self.feed(now, Event::Read { request });
        }
    }

    /// Keeps who waits for an answer; one too many is told that nothing is known.
    fn wait(&mut self, pending: PendingAnswer) -> Option<quorum::ids::RequestId> {
        self.pending.retain(|_, pending| !pending.is_gone());
        if self.pending.len() >= Self::MAX_PENDING {
            pending.end_unknown();
            return None;
        }
        self.last_request += 1;
        self.pending.insert(self.last_request, pending);
        Some(self.last_request)
    }

    fn answer(&mut self, request: quorum::ids::RequestId, outcome: &AnswerOutcome) {
        match self.pending.remove(&request) {
            Some(PendingAnswer::Submit(reply)) => {
                let _ = reply.send(self.submit_outcome(outcome));
            }
            Some(PendingAnswer::Confirm(reply)) => {
                let _ = reply.send(self.confirm_outcome(outcome));
            }
            None => {}
        }
    }

    fn submit_outcome(&self, outcome: &AnswerOutcome) -> SubmitOutcome {
        match outcome {
            AnswerOutcome::Committed { index } => match self.verdicts.get(index) {
                Some(verdict) => SubmitOutcome::Known(verdict.clone()),
                None => SubmitOutcome::Unknown,
            },
            AnswerOutcome::NotLeader { leader } => SubmitOutcome::NotLeader(*leader),
            AnswerOutcome::Confirmed | AnswerOutcome::Unknown => SubmitOutcome::Unknown,
        }
    }

    fn confirm_outcome(&self, outcome: &AnswerOutcome) -> ConfirmOutcome {
        match outcome {
            AnswerOutcome::Confirmed => ConfirmOutcome::Confirmed(self.machine.applied_index()),
            AnswerOutcome::NotLeader { leader } => ConfirmOutcome::NotLeader(*leader),
            AnswerOutcome::Committed { .. } | AnswerOutcome::Unknown => ConfirmOutcome::Unknown,
        }
    }

    /// Stamps what is in force, while a quorum answered this leader within the lease.
    fn beat(&mut self, now: Instant) {
        if !self.machine.has_lease(now) {
            return;
        }
        self.beats += 1;
        let beat = v1::Beat {
            term: self.machine.term(),
            sequence: self.beats,
            revision: self.book.state().revision,
            digest: self.book.state().digest,
        };
        self.take_beat(now, beat);
        self.actions.push(CoreAction::Beat(beat));
    }

    fn take_beat(&mut self, now: Instant, beat: v1::Beat) {
        let stamp = BeatStamp {
            term: beat.term,
            sequence: beat.sequence,
        };
        let taken = self
            .holder
            .publish_beat(now, stamp, beat.revision, beat.digest);
        if let Err(e) = taken {
            log::error!(target: "feed", "the leader's stamp was not taken: {e}");
        }
    }

    fn lease(&mut self, now: Instant, report: HostReport) -> Option<LeaseGrant> {
        let grant = self.machine.has_lease(now).then(|| LeaseGrant {
            revision: self.book.state().revision,
            shares: self
                .shares
                .lease(now, self.book.state(), &report.host, &report.demand),
        });
        self.reports
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < Self::REPORT_AGE);
        if self.reports.len() < Self::MAX_REPORTS || self.reports.contains_key(&report.host) {
            self.reports.insert(report.host.clone(), (now, report));
        }
        grant
    }

    fn ticket(&self, number: ids::TicketNumber) -> Option<TicketSummary> {
        let record = self.book.record(number)?;
        Some(TicketSummary {
            number,
            digest: record.digest.clone(),
            verdict: record.verdict.clone(),
        })
    }

    fn tickets(&self, limit: usize) -> Vec<TicketSummary> {
        let numbers = self.book.records().map(|(number, _)| number);
        numbers
            .take(limit)
            .filter_map(|number| self.ticket(number))
            .collect()
    }

    fn status(&self, now: Instant) -> StatusReport {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis();
        let hosts = self.reports.iter().map(|(host, (at, report))| {
            let status = HostStatus {
                revision: report.revision,
                digest: report.digest,
                age_ms: u64::try_from(age(*at)).unwrap_or(u64::MAX),
            };
            (host.clone(), status)
        });
        StatusReport {
            id: self.settings.id,
            role: self.machine.role().into(),
            term: self.machine.term(),
            leader: self.machine.leader(),
            lease: self.machine.has_lease(now),
            commit: self.machine.commit_index(),
            applied: self.machine.applied_index(),
            revision: self.book.state().revision,
            digest: self.book.state().digest,
            hosts: hosts.collect(),
        }
    }

    /// Returns the whole state, without secrets.
    fn dump(&self, now: Instant) -> serde_json::Value {
        let settings = &self.settings;
        let verdicts: Vec<_> = self.tickets(usize::MAX);
        serde_json::json!({
            "settings": {
                "id": settings.id,
                "replicas": settings.replicas,
                "operators": settings.operators,
                "zone": settings.zone,
                "data_folder": settings.data_folder,
                "verdict_window": settings.verdict_window,
                "snapshot_every": settings.snapshot_every,
            },
            "status": self.status(now),
            "quorum": self.machine.report(now),
            "state": self.book.state(),
            "verdicts": verdicts,
            "shares": self.shares.summary(),
            "waiting": self.pending.len(),
            "beats": self.beats,
        })
    }
}

impl PendingAnswer {
    /// Tells whether nobody waits any more.
    fn is_gone(&self) -> bool {
        match self {
            Self::Submit(reply) => reply.is_closed(),
            Self::Confirm(reply) => reply.is_closed(),
        }
    }

    fn end_unknown(self) {
        match self {
            Self::Submit(reply) => {
                let _ = reply.send(SubmitOutcome::Unknown);
            }
            Self::Confirm(reply) => {
                let _ = reply.send(ConfirmOutcome::Unknown);
            }
        }
    }
}

fn read_ticket(command: &[u8]) -> Option<ChangeTicket> {
    let raw = RawTicket::from_json(command).ok()?;
    ChangeTicket::try_from(raw).ok()
}
