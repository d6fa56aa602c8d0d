//! Decisions of the replica: the replicated log, the verdicts and the cap shares.

mod answers;
mod apply;
mod leadership;
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

/// An action that the daemon carries out for the core. Actions are carried out in the order given.
#[derive(Debug)]
pub enum CoreAction {
    /// Write and sync, then report [`CoreCall::Disk`].
    Write(PersistWrite),
    /// Send a message of the replicated log to a replica. Delivery is not guaranteed.
    Send(quorum::ids::ReplicaId, Message),
    /// Send the leader's heartbeat to all other replicas. Delivery is not guaranteed.
    Heartbeat(v1::Beat),
}

/// The whole state of a replica, owned by one task.
///
/// It does no I/O: its inputs are calls and the time, its outputs are [`CoreAction`]s.
#[derive(Debug)]
pub struct ReplicaCore {
    settings: ControlSettings,
    machine: QuorumMachine,
    ledger: TicketLedger,
    shares: ShareTable,
    holder: Arc<StateHolder>,
    /// Index of the last applied entry, for reads that wait for it.
    applied: watch::Sender<quorum::ids::LogIndex>,
    /// Index of the last entry that a snapshot covers or failed to cover.
    snapshot_index: quorum::ids::LogIndex,
    /// Term of the last applied entry.
    applied_term: quorum::ids::Term,
    /// Latest verdicts by the log index of their tickets, for submitters that wait for an answer.
    verdicts: BTreeMap<quorum::ids::LogIndex, TicketVerdict>,
    pending: HashMap<quorum::ids::RequestId, PendingAnswer>,
    last_request: quorum::ids::RequestId,
    /// Last report of each entry host and the time at which it arrived.
    reports: BTreeMap<ids::HostName, (Instant, HostReport)>,
    /// Latest term in which this replica became the leader.
    led_term: quorum::ids::Term,
    /// Term in which this replica last proposed to open idempotency keys.
    keys_proposed_term: quorum::ids::Term,
    /// Heartbeats sent in the term that this replica leads.
    heartbeats: u64,
    next_heartbeat_at: Instant,
    metrics: ControlMetrics,
    /// Whether the disk has failed, so that the core must be recovered from what it holds.
    disk_failed: bool,
    actions: Vec<CoreAction>,
}

impl ReplicaCore {
    /// Interval between two heartbeats of a leader.
    pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

    /// Creates the core of a replica from the state recovered from its disk.
    ///
    /// # Errors
    ///
    /// Fails where the snapshot can't be decoded.
    pub fn new(
        now: Instant,
        settings: ControlSettings,
        recovered: RecoveredState,
        holder: Arc<StateHolder>,
        metrics: ControlMetrics,
    ) -> Result<Self, ControlError> {
        let ledger = match recovered.snapshot.index {
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
            ledger,
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
            keys_proposed_term: 0,
            heartbeats: 0,
            next_heartbeat_at: now,
            metrics,
            disk_failed: false,
            actions: Vec::new(),
        };
        core.publish_snapshot();
        Ok(core)
    }

    /// Begins anew from the state recovered from the disk after it failed. Watchers keep the state that was
    /// published before.
    ///
    /// # Errors
    ///
    /// Fails where the snapshot can't be decoded.
    pub fn recover(&mut self, now: Instant, recovered: RecoveredState) -> Result<(), ControlError> {
        let mut core = Self::new(
            now,
            self.settings.clone(),
            recovered,
            Arc::clone(&self.holder),
            self.metrics.clone(),
        )?;
        core.machine.postpone_election();
        let applied = self.applied.clone();
        applied.send_replace(core.snapshot_index);
        let reports = std::mem::take(&mut self.reports);
        *self = Self {
            applied,
            reports,
            ..core
        };
        Ok(())
    }

    /// Returns whether the disk has failed, after which the core must be recovered.
    pub fn has_failed_disk(&self) -> bool {
        self.disk_failed
    }

    /// Returns a receiver of the index of the last applied entry.
    pub fn applied(&self) -> watch::Receiver<quorum::ids::LogIndex> {
        self.applied.subscribe()
    }

    /// Returns the time at which [`ReplicaCore::tick`] is due next.
    pub fn deadline(&self) -> Instant {
        if self.machine.role() == Role::Leader {
            return self.machine.deadline().min(self.next_heartbeat_at);
        }
        self.machine.deadline()
    }

    /// Handles all timers that have expired.
    pub fn tick(&mut self, now: Instant) {
        if self.machine.deadline() <= now {
            self.handle_event(now, Event::Tick);
        }
        if self.next_heartbeat_at <= now {
            self.next_heartbeat_at = now + Self::HEARTBEAT_INTERVAL;
            self.send_heartbeat(now);
        }
    }

    /// Removes and returns the actions collected since the last call.
    pub fn take_actions(&mut self) -> Vec<CoreAction> {
        std::mem::take(&mut self.actions)
    }

    /// Handles a call.
    pub fn handle_call(&mut self, now: Instant, call: CoreCall) {
        match call {
            CoreCall::Receive { from, message } => {
                self.handle_event(now, Event::Receive { from, message });
            }
            CoreCall::Heartbeat(heartbeat) => self.publish_heartbeat(now, heartbeat),
            CoreCall::Disk(report) => self.handle_disk_report(now, report),
            CoreCall::Submit { ticket, reply } => self.submit(now, &ticket, reply),
            CoreCall::Confirm { reply } => self.confirm(now, reply),
            CoreCall::Lease { report, reply } => {
                let _ = reply.send(self.lease(now, report));
            }
            CoreCall::Ticket { number, reply } => {
                let _ = reply.send(self.look_up_ticket(number));
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
            CoreCall::TransferLeadership => self.handle_event(now, Event::TransferLeadership),
        }
    }

    /// Passes an event to the state machine and executes its effects.
    fn handle_event(&mut self, now: Instant, event: Event) {
        for effect in self.machine.handle(now, event) {
            self.execute(now, effect);
        }
        self.snapshot_if_due(now);
        // The first heartbeat of a term is sent as soon as this leader has the current state.
        if self.heartbeats == 0 && self.leads_with_current_state(now) {
            self.next_heartbeat_at = now;
        }
    }

    fn execute(&mut self, now: Instant, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.actions.push(CoreAction::Send(to, message)),
            Effect::Persist(write) => self.actions.push(CoreAction::Write(write)),
            Effect::Apply(entry) => self.apply(entry),
            Effect::Restore(snapshot) => self.restore(now, &snapshot),
            Effect::Answer { request, outcome } => self.answer(request, &outcome),
            Effect::RoleChanged { role, term, leader } => {
                log::info!(target: "quorum", "{role} in term {term}, leader {leader:?}");
                self.metrics.replica.set_role(role == Role::Leader, term);
                self.update_leadership(now, role, term);
            }
        }
    }

    /// Starts to grant shares and send heartbeats in a new term as the leader, or stops the grants.
    fn update_leadership(&mut self, now: Instant, role: Role, term: quorum::ids::Term) {
        if role != Role::Leader {
            self.shares.stop();
            return;
        }
        if self.led_term != term {
            self.led_term = term;
            self.heartbeats = 0;
            self.next_heartbeat_at = now;
            self.shares.start(now);
        }
    }

    fn handle_disk_report(&mut self, now: Instant, report: DiskReport) {
        match report {
            DiskReport::Synced { token, took } => {
                self.metrics.replica.record_sync(took);
                self.handle_event(now, Event::Persisted { token });
            }
            DiskReport::Failed(_) => {
                self.disk_failed = true;
                self.handle_event(now, Event::StorageFailed);
            }
        }
    }
}
