//! The replica's decisions: the replicated log, the verdicts, the cap shares.

mod answers;
mod applying;
mod freshness;
mod views;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use feed::holder::StateHolder;
use ledger::tickets::TicketLedger;
use ledger::verdict::TicketVerdict;
use model::ids;
use quorum::entry::RecoveredState;
use quorum::event::{Effect, Event, PersistWrite, Role};
use quorum::machine::QuorumMachine;
use quorum::message::Message;
use tokio::sync::watch;
use wire::v1;

use self::answers::PendingAnswer;
use crate::call::{CoreCall, HostReport};
use crate::error::ControlError;
use crate::metrics::ControlMetrics;
use crate::settings::ControlSettings;
use crate::shares::ShareTable;
use store::writer::DiskReport;

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
    book: TicketLedger,
    shares: ShareTable,
    holder: Arc<StateHolder>,
    applied: watch::Sender<quorum::ids::LogIndex>,
    snapshot_index: quorum::ids::LogIndex,
    /// Term of the last applied entry.
    applied_term: quorum::ids::Term,
    verdicts: BTreeMap<quorum::ids::LogIndex, TicketVerdict>,
    pending: HashMap<quorum::ids::RequestId, PendingAnswer>,
    last_request: quorum::ids::RequestId,
    reports: BTreeMap<ids::HostName, (Instant, HostReport)>,
    led_term: quorum::ids::Term,
    /// Term in which this replica asked the log to open idempotency keys.
    keys_asked_term: quorum::ids::Term,
    beats: u64,
    beat_at: Instant,
    metrics: ControlMetrics,
    actions: Vec<CoreAction>,
}

impl ReplicaCore {
    /// Time between two freshness stamps of a leader.
    pub const BEAT_INTERVAL: Duration = Duration::from_millis(250);

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
            0 => TicketLedger::new(settings.verdict_window),
            _ => serde_json::from_slice(&recovered.snapshot.data)?,
        };
        let replicas = settings.replicas.keys().copied().collect();
        let mut config = quorum::config::QuorumConfig::new(settings.id, replicas);
        config.seed = rand::random();
        let snapshot_index = recovered.snapshot.index;
        let applied_term = recovered.snapshot.term;
        let core = Self {
            machine: QuorumMachine::new(now, config, recovered),
            settings,
            book,
            shares: ShareTable::new(),
            holder,
            applied: watch::Sender::new(snapshot_index),
            snapshot_index,
            applied_term,
            verdicts: BTreeMap::new(),
            pending: HashMap::new(),
            last_request: 0,
            reports: BTreeMap::new(),
            led_term: 0,
            keys_asked_term: 0,
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
            CoreCall::HandOver => self.feed(now, Event::TransferLeadership),
        }
    }

    fn feed(&mut self, now: Instant, event: Event) {
        for effect in self.machine.handle(now, event) {
            self.carry_out(now, effect);
        }
        self.snapshot_if_due(now);
        if self.beats == 0 && self.speaks_for_quorum(now) {
            self.beat_at = now;
        }
    }

    fn carry_out(&mut self, now: Instant, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.actions.push(CoreAction::Send(to, message)),
            Effect::Persist(write) => self.actions.push(CoreAction::Write(write)),
            Effect::Apply(entry) => self.apply(entry),
            Effect::Restore(snapshot) => self.restore(now, &snapshot),
            Effect::Answer { request, outcome } => self.answer(request, &outcome),
            Effect::RoleChanged { role, term, leader } => {
                log::info!(target: "quorum", "{role} in term {term}, leader {leader:?}");
                self.metrics.replica.set_role(role == Role::Leader, term);
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

    fn take_report(&mut self, now: Instant, report: DiskReport) {
        match report {
            DiskReport::Synced { token, took } => {
                self.metrics.replica.record_sync(took);
                self.feed(now, Event::Persisted { token });
            }
            DiskReport::Failed(_) => self.feed(now, Event::StorageFailed),
        }
    }
}
