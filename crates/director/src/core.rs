//! The replica's decisions: the replicated log, the state, who is alive.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use fleet::change::{ChangeLog, FleetChange, FleetUpdate, FleetView};
use fleet::command::{CommandOutcome, FleetCommand};
use fleet::ids;
use fleet::server::ServerRecord;
use fleet::state::FleetState;
use quorum::config::QuorumConfig;
use quorum::entry::{EntryPayload, LogEntry, LogSnapshot, RecoveredState};
use quorum::event::{AnswerOutcome, Effect, Event, Role};
use quorum::ids::{LogIndex, ReplicaId, RequestId, Term};
use quorum::machine::QuorumMachine;
use quorum::message::{Message, MessageBody};
use store::writer::DiskReport;
use tokio::sync::oneshot;

use crate::address;
use crate::call::{AnnounceStep, CoreAction, CoreCall, DirectorDump};
use crate::liveness::{self, LivenessTable};
use crate::loads::LoadTable;
use crate::message::{FollowReply, FollowRequest, ProposeOutcome, SiteReading};
use crate::metrics::DirectorMetrics;
use crate::settings::DirectorSettings;
use crate::shares::ShareTable;

/// Time between two heartbeats of a leader; a third of a slow round between regions is 20 ms.
const HEARTBEAT: Duration = Duration::from_millis(150);

/// Shortest silence after which another replica stands for election: six heartbeats.
const ELECTION: Duration = Duration::from_millis(900);

/// Time for which a leader acts after a quorum answered it; below the election time.
const LEASE: Duration = Duration::from_millis(750);

/// Time between two reports of what was heard.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two looks for silent backend servers.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Announcements that a backend server may miss before it is taken out.
const MISSED_ANNOUNCEMENTS: u32 = 4;

/// Time that an announcement may be late by itself.
const LATE_ANNOUNCEMENT: Duration = Duration::from_secs(2);

/// Time after which what was heard is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Age of the last confirmation up to which this replica answers for the deployment by itself.
pub const CONFIRMED_LIMIT: Duration = Duration::from_millis(1_200);

/// Entries between two snapshots.
const SNAPSHOT_ENTRIES: u64 = 512;

/// Outcomes of applied commands that are kept for their proposers.
const MAX_OUTCOMES: usize = 256;

enum PendingAnswer {
    Propose(oneshot::Sender<ProposeOutcome>),
    Read(oneshot::Sender<SiteReading>),
}

struct Follower {
    until: Instant,
    request: FollowRequest,
    reply: oneshot::Sender<FollowReply>,
}

/// Holds the replica's whole state; one task owns it.
pub struct DirectorCore {
    settings: DirectorSettings,
    metrics: DirectorMetrics,
    machine: QuorumMachine,
    state: FleetState,
    changes: ChangeLog,
    liveness: LivenessTable,
    shares: ShareTable,
    loads: LoadTable,
    /// When each backend server's latest announcement was applied here.
    announced_at: BTreeMap<ids::ServerId, Instant>,
    outcomes: BTreeMap<LogIndex, CommandOutcome>,
    pending: HashMap<RequestId, PendingAnswer>,
    followers: Vec<Follower>,
    last_request: RequestId,
    snapshot_index: LogIndex,
    applied_term: Term,
    leads_since: Option<Instant>,
    confirmed_at: Option<Instant>,
    report_at: Instant,
    expiry_at: Instant,
    actions: Vec<CoreAction>,
}

impl DirectorCore {
    /// Creates the core from what the replica found on its disk.
    ///
    /// # Errors
    ///
    /// Fails where the snapshot's content can't be read.
    pub fn new(
        now: Instant,
        settings: DirectorSettings,
        recovered: RecoveredState,
        metrics: DirectorMetrics,
    ) -> Result<Self, postcard::Error> {
        let state = decode_state(&recovered.snapshot)?;
        let own = address::replica_at(settings.mesh);
        let seeds: Vec<_> = settings
            .seeds
            .iter()
            .map(|s| address::replica_at(*s))
            .collect();
        let mut config = QuorumConfig::new(own, seeds);
        config.may_bootstrap = settings.founding;
        config.target_voters = settings.voters();
        config.heartbeat_interval = HEARTBEAT;
        config.min_election_timeout = ELECTION;
        config.lease_duration = LEASE;
        config.seed = rand::random();
        let snapshot_index = recovered.snapshot.index;
        let applied_term = recovered.snapshot.term;
        Ok(Self {
            machine: QuorumMachine::new(now, config, recovered),
            changes: ChangeLog::new(state.revision()),
            state,
            settings,
            metrics,
            liveness: LivenessTable::new(),
            shares: ShareTable::default(),
            loads: LoadTable::default(),
            announced_at: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            pending: HashMap::new(),
            followers: Vec::new(),
            last_request: 0,
            snapshot_index,
            applied_term,
            leads_since: None,
            confirmed_at: None,
            report_at: now + REPORT_INTERVAL,
            expiry_at: now + EXPIRY_INTERVAL,
            actions: Vec::new(),
        })
    }

    /// Returns when [`DirectorCore::tick`] is next wanted.
    pub fn deadline(&self) -> Instant {
        let follower = self.followers.iter().map(|follower| follower.until).min();
        let deadline = self
            .machine
            .deadline()
            .min(self.report_at)
            .min(self.expiry_at);
        follower.map_or(deadline, |until| until.min(deadline))
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant) {
        if self.machine.deadline() <= now {
            self.feed(now, Event::Tick);
        }
        if self.report_at <= now {
            self.report_at = now + REPORT_INTERVAL;
            self.report(now);
        }
        if self.expiry_at <= now {
            self.expiry_at = now + EXPIRY_INTERVAL;
            self.expire_servers(now);
            self.liveness.forget(now, FORGET_AFTER);
        }
        self.answer_followers(now);
    }

    /// Takes what the process must do since the last time.
    pub fn take_actions(&mut self) -> Vec<CoreAction> {
        std::mem::take(&mut self.actions)
    }

    /// Takes a call.
    pub fn handle(&mut self, now: Instant, call: CoreCall) {
        match call {
            CoreCall::Receive { from, message } => self.receive(now, from, *message),
            CoreCall::Heard { from, mut report } => {
                let shares = std::mem::take(&mut report.shares);
                self.shares.merge(now, from, shares);
                if report.revision == self.changes.last() {
                    let ids = server_ids(&self.state);
                    self.loads.merge(now, &ids, &report.loads);
                }
                self.liveness.merge(now, *report);
            }
            CoreCall::Disk(DiskReport::Synced { token, took }) => {
                self.metrics.replica.record_sync(took);
                self.feed(now, Event::Persisted { token });
            }
            CoreCall::Disk(DiskReport::Failed(_)) => self.feed(now, Event::StorageFailed),
            CoreCall::Propose { command, reply } => self.propose(now, &command, reply),
            CoreCall::ReadSite(reply) => {
                let request = self.open(PendingAnswer::Read(reply));
                self.feed(now, Event::Read { request });
            }
            CoreCall::Announce { record, reply } => {
                let _ = reply.send(self.announce(now, &record));
            }
            CoreCall::Follow { request, reply } => self.follow(now, *request, reply),
            CoreCall::Hosts(reply) => {
                let _ = reply.send(self.liveness.hosts(now));
            }
            CoreCall::Dump(reply) => {
                let _ = reply.send(self.dump(now));
            }
            CoreCall::Seeds(seeds) => self.feed(now, Event::DiscoveredPeers(seeds)),
            CoreCall::HandOver => self.feed(now, Event::TransferLeadership),
        }
        self.answer_followers(now);
    }

    /// Tells whether the disk failed, so that the process must start anew.
    pub fn has_failed(&self) -> bool {
        self.machine.role() == Role::Failed
    }

    fn receive(&mut self, now: Instant, from: ReplicaId, message: Message) {
        let term = message.term;
        let commit = match &message.body {
            MessageBody::Append { commit, .. } => Some(*commit),
            _ => None,
        };
        self.feed(now, Event::Receive { from, message });
        let follows = self.machine.leader() == Some(from) && self.machine.term() == term;
        if follows && commit.is_some_and(|commit| self.machine.applied_index() >= commit) {
            self.confirmed_at = Some(now);
        }
    }

    fn feed(&mut self, now: Instant, event: Event) {
        for effect in self.machine.handle(now, event) {
            match effect {
                Effect::Send { to, message } => {
                    self.actions.push(CoreAction::Send(to, Box::new(message)));
                }
                Effect::Persist(write) => self.actions.push(CoreAction::Write(write)),
                Effect::Apply(entry) => self.apply(now, entry),
                Effect::Restore(snapshot) => self.restore(now, &snapshot),
                Effect::Answer { request, outcome } => self.answer(request, &outcome),
                Effect::RoleChanged { role, term, leader } => {
                    self.change_role(now, role, term, leader);
                }
            }
        }
        let current = self.applied_term == self.machine.term();
        if current && self.machine.has_lease(now) {
            self.confirmed_at = Some(now);
        }
        self.snapshot_if_due(now);
    }

    fn change_role(&mut self, now: Instant, role: Role, term: Term, leader: Option<ReplicaId>) {
        self.metrics.replica.set_role(role == Role::Leader, term);
        self.leads_since = (role == Role::Leader).then_some(now);
        let leader = leader.map(|leader| address::address_of(leader).to_string());
        let leader = leader.unwrap_or_default();
        log::info!(target: "quorum", "role changed; role={role} term={term} leader={leader}");
    }

    fn apply(&mut self, now: Instant, entry: LogEntry) {
        self.applied_term = entry.term;
        let EntryPayload::Command(bytes) = entry.payload else {
            if !entry.payload.admissions().is_empty() {
                let voters: Vec<_> = self.machine.voters().map(address::address_of).collect();
                log::info!(target: "quorum", "voters changed; index={} voters={voters:?}", entry.index);
            }
            return;
        };
        let command: FleetCommand = match postcard::from_bytes(&bytes) {
            Ok(command) => command,
            Err(e) => {
                log::error!(target: "state", "a command can't be read; index={} error={e}", entry.index);
                return;
            }
        };
        let (outcome, changes) = self.state.apply(entry.index, command);
        for change in &changes {
            self.note_change(now, entry.index, change);
        }
        self.changes.append(entry.index, changes);
        self.metrics.count_command(outcome);
        self.outcomes.insert(entry.index, outcome);
        while self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.pop_first();
        }
    }

    fn note_change(&mut self, now: Instant, index: LogIndex, change: &FleetChange) {
        match change {
            FleetChange::Site { version, .. } => {
                log::info!(target: "state", "configuration in force; version={version} index={index}");
            }
            FleetChange::Server(record) => {
                log::info!(
                    target: "state",
                    "server changed; server={} born={} service={} address={} state={} cold_ms={} index={index}",
                    record.id, record.born, record.service, record.address, record.state,
                    record.cold.as_millis(),
                );
                self.announced_at.insert(record.id.clone(), now);
                if !record.cold.is_zero() {
                    self.liveness
                        .set_cold(now, &record.id, record.born, record.cold);
                }
            }
            FleetChange::ServerGone(id) => {
                log::info!(target: "state", "server gone; server={id} index={index}");
                self.announced_at.remove(id);
            }
            FleetChange::Evacuated(zone) => {
                log::info!(target: "state", "zone evacuated; zone={zone} index={index}");
            }
            FleetChange::Readmitted(zone) => {
                log::info!(target: "state", "zone readmitted; zone={zone} index={index}");
                let site = self.state.site();
                let servers = self.state.servers().filter(|server| server.zone == *zone);
                for server in servers {
                    let spec = site.and_then(|site| site.site.service(&server.service));
                    let cold = spec.map_or(Duration::ZERO, |spec| spec.cold_period);
                    self.liveness.set_cold(now, &server.id, server.born, cold);
                }
            }
        }
    }

    fn restore(&mut self, now: Instant, snapshot: &LogSnapshot) {
        match decode_state(snapshot) {
            Ok(state) => {
                log::info!(
                    target: "state",
                    "snapshot taken over; index={} revision={}",
                    snapshot.index,
                    state.revision()
                );
                self.changes = ChangeLog::new(state.revision());
                self.announced_at = state.servers().map(|s| (s.id.clone(), now)).collect();
                self.state = state;
                self.snapshot_index = snapshot.index;
                self.applied_term = snapshot.term;
            }
            Err(e) => {
                log::error!(target: "state", "a snapshot can't be read; index={} error={e}", snapshot.index);
            }
        }
    }

    fn snapshot_if_due(&mut self, now: Instant) {
        let index = self.machine.applied_index();
        if index < self.snapshot_index + SNAPSHOT_ENTRIES {
            return;
        }
        self.snapshot_index = index;
        match postcard::to_allocvec(&self.state) {
            Ok(data) => self.feed(now, Event::SnapshotTaken { index, data }),
            Err(e) => log::error!(target: "state", "no snapshot; index={index} error={e}"),
        }
    }

    fn open(&mut self, answer: PendingAnswer) -> RequestId {
        self.last_request += 1;
        self.pending.insert(self.last_request, answer);
        self.last_request
    }

    fn propose(
        &mut self,
        now: Instant,
        command: &FleetCommand,
        reply: oneshot::Sender<ProposeOutcome>,
    ) {
        match postcard::to_allocvec(command) {
            Ok(command) => {
                let request = self.open(PendingAnswer::Propose(reply));
                self.feed(now, Event::Propose { request, command });
            }
            Err(e) => {
                log::error!(target: "state", "a command has no binary form: {e}");
                let _ = reply.send(ProposeOutcome::Unknown);
            }
        }
    }

    fn answer(&mut self, request: RequestId, outcome: &AnswerOutcome) {
        match self.pending.remove(&request) {
            Some(PendingAnswer::Propose(reply)) => {
                let _ = reply.send(self.propose_outcome(outcome));
            }
            Some(PendingAnswer::Read(reply)) => {
                let reading = match outcome {
                    AnswerOutcome::Confirmed => {
                        SiteReading::Current(self.state.site().map(|site| site.document.clone()))
                    }
                    AnswerOutcome::NotLeader { leader } => SiteReading::NotLeader(*leader),
                    AnswerOutcome::Committed { .. } | AnswerOutcome::Unknown => {
                        SiteReading::Unknown
                    }
                };
                let _ = reply.send(reading);
            }
            None => {}
        }
    }

    fn propose_outcome(&self, outcome: &AnswerOutcome) -> ProposeOutcome {
        match outcome {
            AnswerOutcome::Committed { index } => match self.outcomes.get(index) {
                Some(outcome) => ProposeOutcome::Done(*outcome),
                None => ProposeOutcome::Unknown,
            },
            AnswerOutcome::NotLeader { leader } => ProposeOutcome::NotLeader(*leader),
            AnswerOutcome::Confirmed | AnswerOutcome::Unknown => ProposeOutcome::Unknown,
        }
    }

    fn announce(&mut self, now: Instant, record: &ServerRecord) -> AnnounceStep {
        let confirmed = self
            .confirmed_at
            .is_some_and(|confirmed_at| now < confirmed_at + CONFIRMED_LIMIT);
        if !confirmed {
            return AnnounceStep::Unsure;
        }
        self.liveness
            .hear_server(now, &record.id, record.born, record.cold);
        if self.state.would_change(record) {
            return AnnounceStep::Propose;
        }
        AnnounceStep::Known
    }

    fn follow(
        &mut self,
        now: Instant,
        mut request: FollowRequest,
        reply: oneshot::Sender<FollowReply>,
    ) {
        let shares = std::mem::take(&mut request.shares);
        let host = &request.host.name;
        self.shares.hear_host(now, host, &request.region, shares);
        if request.revision == Some(self.changes.last()) {
            let ids = server_ids(&self.state);
            self.loads.hear_host(now, &ids, &request.loads);
        }
        if self.liveness.hear_host(now, &request.host) {
            let host = &request.host;
            log::info!(
                target: "hosts",
                "entry host changed; host={} address={} zone={} ready={}",
                host.name, host.address, host.zone, host.ready
            );
            // The others learn at once of a host that comes or stops.
            self.report_at = now;
        }
        let until = now + request.patience;
        self.followers.push(Follower {
            until,
            request,
            reply,
        });
    }

    /// Answers the entry hosts for which there is something new, or that have waited long enough.
    fn answer_followers(&mut self, now: Instant) {
        if self.followers.is_empty() {
            return;
        }
        let hosts = self.liveness.hosts(now);
        let hosts_digest = liveness::hosts_digest(&hosts);
        let cold = self.liveness.cold(now);
        let cold_digest = liveness::cold_digest(&cold);
        let last = self.changes.last();
        let waits = |follower: &Follower| {
            let request = &follower.request;
            let current = request.revision == Some(last)
                && request.cold_digest == cold_digest
                && request.hosts_digest == hosts_digest;
            current && now < follower.until
        };
        let (waiting, due): (Vec<_>, Vec<_>) = self.followers.drain(..).partition(waits);
        self.followers = waiting;
        if due.is_empty() {
            return;
        }
        let shares = self.shares.means(now);
        let loads = self.loads.sheet(now, last, &server_ids(&self.state));
        let replicas = self.replicas();
        for follower in due {
            let request = follower.request;
            let known = request.hosts_digest == hosts_digest;
            let reply = FollowReply {
                update: self.update(request.revision),
                confirmed_ago: self
                    .confirmed_at
                    .map(|confirmed_at| now.saturating_duration_since(confirmed_at)),
                cold: cold.clone(),
                cold_digest,
                hosts: (!known).then(|| hosts.clone()),
                hosts_digest,
                shares: shares.get(&request.region).cloned().unwrap_or_default(),
                loads: loads.clone(),
                replicas: replicas.clone(),
            };
            self.metrics.count_follow();
            // A host that left meanwhile asks another replica.
            let _ = follower.reply.send(reply);
        }
    }

    fn update(&self, revision: Option<ids::Revision>) -> FleetUpdate {
        let changes = revision.and_then(|revision| self.changes.since(revision));
        changes.unwrap_or_else(|| FleetUpdate::Whole(Box::new(FleetView::of(&self.state))))
    }

    fn replicas(&self) -> Vec<ReplicaId> {
        self.machine.voters().collect()
    }

    fn report(&mut self, now: Instant) {
        let mut report = self.liveness.take_report(now);
        report.shares = self.shares.report(now);
        report.revision = self.changes.last();
        report.loads = self.loads.take_sums(now, &server_ids(&self.state));
        if report.servers.is_empty() && report.hosts.is_empty() {
            return;
        }
        let own = address::replica_at(self.settings.mesh);
        let others = self.replicas().into_iter().filter(|other| *other != own);
        self.actions
            .push(CoreAction::Report(others.collect(), report));
    }

    /// Takes out the backend servers that have been silent for long, where this replica leads.
    fn expire_servers(&mut self, now: Instant) {
        let interval = self.settings.announcement_interval;
        let limit = interval * MISSED_ANNOUNCEMENTS + LATE_ANNOUNCEMENT;
        let Some(since) = self.leads_since else {
            return;
        };
        if now < since + limit || !self.machine.has_lease(now) {
            return;
        }
        let mut silent = Vec::new();
        for server in self.state.servers() {
            let announced_at = self.announced_at.get(&server.id).copied();
            let heard_at = self.liveness.heard_at(&server.id, server.born);
            let latest = announced_at.max(heard_at).unwrap_or(since).max(since);
            if now >= latest + limit {
                silent.push((server.id.clone(), server.born));
            }
        }
        if silent.is_empty() {
            return;
        }
        for (id, born) in &silent {
            log::info!(target: "state", "server silent; server={id} born={born} limit_ms={}", limit.as_millis());
        }
        let (reply, _) = oneshot::channel();
        self.propose(now, &FleetCommand::Expire(silent), reply);
    }

    fn dump(&self, now: Instant) -> DirectorDump {
        let hosts = self.liveness.hosts(now).into_iter();
        DirectorDump {
            quorum: self.machine.report(now),
            revision: self.state.revision(),
            version: self.state.site().map_or(0, |site| site.version),
            servers: self.state.servers().count(),
            hosts: hosts.map(|host| host.name).collect(),
            evacuated: self.state.evacuated().cloned().collect(),
            confirmed_ago_ms: self
                .confirmed_at
                .map(|confirmed_at| now.saturating_duration_since(confirmed_at).as_millis()),
        }
    }
}

/// Returns the ids of all backend servers in order.
fn server_ids(state: &FleetState) -> Vec<&ids::ServerId> {
    state.servers().map(|server| &server.id).collect()
}

fn decode_state(snapshot: &LogSnapshot) -> Result<FleetState, postcard::Error> {
    if snapshot.index == 0 {
        return Ok(FleetState::new());
    }
    postcard::from_bytes(&snapshot.data)
}
