//! Decisions of a control replica: consensus, announcements, answers to entry hosts.
//!
//! The core does no input or output. It returns [`CoreAction`]s, which the task that owns it
//! performs.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant, SystemTime};

use fleet::change::FleetChange;
use fleet::command::FleetCommand;
use fleet::ids;
use fleet::membership::AnnouncementVerdict;
use fleet::server::{ServerAnnouncement, ServerRecord};
use quorum::config::QuorumConfig;
use quorum::entry::{EntryPayload, LogEntry, LogSnapshot, RecoveredState};
use quorum::event::{AnswerOutcome, Effect, Event, Role};
use quorum::ids::{LogIndex, ReplicaId, RequestId, Term};
use quorum::machine::QuorumMachine;
use quorum::message::{Message, MessageBody};
use store::writer::DiskReport;
use tokio::sync::oneshot;

use crate::address;
use crate::call::{AnnounceDecision, CoreAction, CoreCall, DirectorDump, HintSummary};
use crate::claims;
use crate::follow::FollowQueue;
use crate::hints;
use crate::liveness;
use crate::loads::LoadSchedule;
use crate::message::{FollowReply, FollowRequest, LoadVector, ProposeOutcome, ReadOutcome};
use crate::metrics::DirectorMetrics;
use crate::observer::FleetObserver;
use crate::replicated::ReplicatedState;
use crate::settings::DirectorSettings;

/// Interval between the heartbeats of a leader; well above a slow round trip between regions, which
/// takes 60 ms.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// Shortest silence of the leader after which another replica starts an election: six heartbeats.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(900);

/// Duration of the leader's lease after a quorum answered it; below the election timeout.
const LEASE_DURATION: Duration = Duration::from_millis(750);

/// Log entries between snapshots.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 512;

/// Interval between reports to the other replicas.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between checks for silent backend servers.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between checks for backend servers that answer no entry host. Each one looks at all reports.
const OUTAGE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Announcements that a backend server may miss before it is removed.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 4;

/// Time by which an announcement may be late, besides the missed ones.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(2);

/// Age of the last confirmation at which the state of a replica counts as stale. A replica with a
/// stale state accepts no announcements, and entry hosts go on to another one.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1_200);

/// Largest difference between the times of day of two machines that is expected.
const MAX_CLOCK_ERROR: Duration = Duration::from_secs(3);

/// Reply channel of a request to the consensus.
enum PendingReply {
    Propose(oneshot::Sender<ProposeOutcome>),
    Read(oneshot::Sender<ReadOutcome>),
}

/// Consensus, replicated state and observations of one control replica.
pub struct DirectorCore {
    settings: DirectorSettings,
    metrics: DirectorMetrics,
    machine: QuorumMachine,
    replicated: ReplicatedState,
    observer: FleetObserver,
    /// Time at which the latest announcement of each backend server was applied here.
    announced_at: BTreeMap<ids::ServerId, Instant>,
    pending_replies: HashMap<RequestId, PendingReply>,
    follows: FollowQueue,
    load_schedule: LoadSchedule,
    /// Revision at the latest check for changes that follow requests wait for.
    checked_revision: ids::Revision,
    /// Start of this replica.
    started_at: Instant,
    last_request: RequestId,
    applied_term: Term,
    /// Time at which this replica became the leader; `None` where it isn't.
    leader_since: Option<Instant>,
    /// Last time at which this replica confirmed that it has applied every committed entry.
    confirmed_at: Option<Instant>,
    /// Time before which nothing confirms the state, after a pause.
    doubted_until: Instant,
    next_report: Instant,
    next_expiry_check: Instant,
    next_outage_check: Instant,
    actions: Vec<CoreAction>,
}

impl DirectorCore {
    /// Creates the core from the state that was recovered from the disk.
    ///
    /// # Errors
    ///
    /// Fails where the snapshot can't be decoded.
    pub fn new(
        now: Instant,
        settings: DirectorSettings,
        recovered: RecoveredState,
        metrics: DirectorMetrics,
    ) -> Result<Self, postcard::Error> {
        let replicated = ReplicatedState::new(&recovered)?;
        let own = address::replica_at(settings.mesh_address);
        let seeds: Vec<_> = settings
            .seeds
            .iter()
            .map(|s| address::replica_at(*s))
            .collect();
        let mut config = QuorumConfig::new(own, seeds);
        config.may_bootstrap = settings.bootstrap;
        config.target_voters = settings.voters();
        config.heartbeat_interval = HEARTBEAT_INTERVAL;
        config.min_election_timeout = ELECTION_TIMEOUT;
        config.lease_duration = LEASE_DURATION;
        config.seed = rand::random();
        let applied_term = recovered.snapshot.term;
        Ok(Self {
            machine: QuorumMachine::new(now, config, recovered),
            observer: FleetObserver::new(now, replicated.state(), rand::random(), settings.quota),
            replicated,
            settings,
            metrics,
            announced_at: BTreeMap::new(),
            pending_replies: HashMap::new(),
            follows: FollowQueue::new(now),
            load_schedule: LoadSchedule::new(),
            checked_revision: 0,
            started_at: now,
            last_request: 0,
            applied_term,
            leader_since: None,
            confirmed_at: None,
            doubted_until: now,
            next_report: now + REPORT_INTERVAL,
            next_expiry_check: now + EXPIRY_CHECK_INTERVAL,
            next_outage_check: now + OUTAGE_CHECK_INTERVAL,
            actions: Vec::new(),
        })
    }

    /// Lets other replicas be elected first, as the disk of this one has failed. Must be called before the first
    /// call.
    pub fn postpone_election(&mut self) {
        self.machine.postpone_election();
    }

    /// Returns the time at which [`DirectorCore::tick`] must be called next.
    pub fn deadline(&self) -> Instant {
        let deadline = self
            .machine
            .deadline()
            .min(self.next_report)
            .min(self.next_expiry_check)
            .min(self.next_outage_check);
        let batch = self.follows.deadline();
        batch.map_or(deadline, |batch| batch.min(deadline))
    }

    /// Handles all timers that have expired.
    pub fn tick(&mut self, now: Instant) {
        if self.machine.deadline() <= now {
            self.handle_event(now, Event::Tick);
        }
        if self.next_outage_check <= now {
            self.next_outage_check = now + OUTAGE_CHECK_INTERVAL;
            let confirmed = self.is_confirmed(now);
            self.observer.quotas.set_confirmed(now, confirmed);
            if self.observer.refresh_outages(now) {
                // The other replicas may lack the reports, and get none while hosts avoid the server.
                self.next_report = now;
            }
            self.propose_quarantines(now);
        }
        if self.next_report <= now {
            self.next_report = now + REPORT_INTERVAL;
            self.queue_report(now);
        }
        if self.next_expiry_check <= now {
            self.next_expiry_check = now + EXPIRY_CHECK_INTERVAL;
            self.expire_servers(now);
            self.observer.evict_silent(now, self.replicated.state());
            self.load_schedule.evict_due(now);
        }
        self.answer_follows(now);
    }

    /// Returns the actions since the previous call, in order, and removes them.
    pub fn take_actions(&mut self) -> Vec<CoreAction> {
        std::mem::take(&mut self.actions)
    }

    /// Handles a call.
    pub fn handle_call(&mut self, now: Instant, call: CoreCall) {
        match call {
            CoreCall::Receive { from, message } => self.receive(now, from, *message),
            CoreCall::Gossip { from, report } => {
                let latest = self.replicated.latest_revision();
                let state = self.replicated.state();
                self.observer
                    .merge_report(now, from, state, latest, *report);
            }
            CoreCall::Disk(DiskReport::Synced { token, took }) => {
                self.metrics.replica.record_sync(took);
                self.handle_event(now, Event::Persisted { token });
            }
            CoreCall::Disk(DiskReport::Failed(_)) => self.handle_event(now, Event::StorageFailed),
            CoreCall::Propose { command, reply } => self.propose(now, &command, reply),
            CoreCall::ReadSite(reply) => {
                let request = self.register_request(PendingReply::Read(reply));
                self.handle_event(now, Event::Read { request });
            }
            CoreCall::KeySalt(reply) => {
                let access = self.replicated.state().access();
                let _ = reply.send(access.requires_key.then_some(access.salt));
            }
            CoreCall::LatestOrder { zone, reply } => {
                let _ = reply.send(self.replicated.state().latest_order(&zone));
            }
            CoreCall::Announce {
                announcement,
                reply,
            } => {
                let _ = reply.send(self.handle_announcement(now, announcement));
            }
            CoreCall::Follow { request, reply } => self.hold_follow(now, *request, reply),
            CoreCall::Hosts(reply) => {
                self.observer.refresh_hosts(now);
                let _ = reply.send(self.observer.host_lists.current().clone());
            }
            CoreCall::Dump(reply) => {
                let _ = reply.send(self.dump(now));
            }
            CoreCall::Seeds(seeds) => self.handle_event(now, Event::DiscoveredPeers(seeds)),
            CoreCall::TransferLeadership => self.handle_event(now, Event::TransferLeadership),
        }
        self.answer_follows(now);
    }

    /// Returns whether the disk failed, after which the core must be recreated from the data
    /// folder.
    pub fn has_failed(&self) -> bool {
        self.machine.role() == Role::Failed
    }

    /// Handles a pause of the process or the machine. What confirmed the state may have ended meanwhile:
    /// the lease of this replica counts on if the steady clock stood still, and messages of a former
    /// leader may still be queued. So nothing confirms the state until a lease of before is over.
    pub fn handle_pause(&mut self, now: Instant) {
        self.confirmed_at = None;
        self.doubted_until = now + LEASE_DURATION;
        self.observer.quotas.handle_pause(now);
    }

    /// Records that this replica has applied every committed entry.
    fn confirm(&mut self, now: Instant) {
        if now >= self.doubted_until {
            self.confirmed_at = Some(now);
        }
    }

    /// Handles a consensus message. A follower that has applied everything that its leader had
    /// committed when it sent the message confirms its state.
    fn receive(&mut self, now: Instant, from: ReplicaId, message: Message) {
        let term = message.term;
        let commit = match &message.body {
            MessageBody::Append { commit, .. } => Some(*commit),
            _ => None,
        };
        self.handle_event(now, Event::Receive { from, message });
        let from_leader = self.machine.leader() == Some(from) && self.machine.term() == term;
        if from_leader && commit.is_some_and(|commit| self.machine.applied_index() >= commit) {
            self.confirm(now);
        }
    }

    /// Passes an event to the consensus and applies its effects. A leader that has a lease and
    /// has applied an entry of its own term confirms its state.
    fn handle_event(&mut self, now: Instant, event: Event) {
        for effect in self.machine.handle(now, event) {
            match effect {
                Effect::Send { to, message } => {
                    self.actions.push(CoreAction::Send(to, Box::new(message)));
                }
                Effect::Persist(write) => self.actions.push(CoreAction::Write(write)),
                Effect::Apply(entry) => self.apply(now, entry),
                Effect::Restore(snapshot) => self.restore(now, &snapshot),
                Effect::Answer { request, outcome } => self.answer_request(request, &outcome),
                Effect::RoleChanged { role, term, leader } => {
                    self.record_role(now, role, term, leader);
                }
            }
        }
        let applied_own_term = self.applied_term == self.machine.term();
        if applied_own_term && self.machine.has_lease(now) {
            self.confirm(now);
        }
        self.snapshot_if_due(now);
    }

    fn record_role(&mut self, now: Instant, role: Role, term: Term, leader: Option<ReplicaId>) {
        self.metrics.replica.set_role(role == Role::Leader, term);
        self.leader_since = (role == Role::Leader).then_some(now);
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
        let Some((outcome, changes)) = self.replicated.apply(entry.index, &bytes) else {
            return;
        };
        for change in &changes {
            self.observer.apply_change(now, change);
            self.record_change(now, entry.index, change);
        }
        self.metrics.count_command(outcome);
    }

    /// Logs a change of the state and updates the liveness of the backend servers that it concerns.
    fn record_change(&mut self, now: Instant, index: LogIndex, change: &FleetChange) {
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
                self.observer
                    .liveness
                    .set_listed(now, &record.id, record.born);
                let cold = self.remaining_cold(index, record);
                if !cold.is_zero() {
                    self.observer
                        .liveness
                        .set_cold(now, &record.id, record.born, cold);
                }
            }
            FleetChange::ServerGone(id) => {
                log::info!(target: "state", "server removed; server={id} index={index}");
                self.announced_at.remove(id);
                self.observer.liveness.set_unlisted(id);
            }
            FleetChange::Quarantined { request, crashes } => {
                log::warn!(target: "state", "request quarantined, as servers ended while they ran it; digest={request:x} servers={crashes} index={index}");
            }
            FleetChange::Released(request) => {
                log::info!(target: "state", "request released from quarantine; digest={request:x} index={index}");
            }
            FleetChange::Evacuated(zone) => {
                log::info!(target: "state", "zone evacuated; zone={zone} index={index}");
            }
            FleetChange::Readmitted(zone) => {
                log::info!(target: "state", "zone readmitted; zone={zone} index={index}");
                let state = self.replicated.state();
                let site = state.site();
                let servers = state.servers().filter(|server| server.zone == *zone);
                for server in servers {
                    let spec = site.and_then(|site| site.site.service(&server.service));
                    let cold = spec.map_or(Duration::ZERO, |spec| spec.cold_period);
                    self.observer
                        .liveness
                        .set_cold(now, &server.id, server.born, cold);
                }
            }
        }
    }

    /// Returns the time for which a backend server remains cold, whose announcement is applied now.
    ///
    /// An announcement in the log of before a restart may be old, so its server counts as cold only if
    /// it started recently. The next announcement tells exactly.
    fn remaining_cold(&self, index: LogIndex, record: &ServerRecord) -> Duration {
        if !self.replicated.is_recovered(index) {
            return record.cold;
        }
        let born = SystemTime::UNIX_EPOCH + Duration::from_millis(record.born);
        let age = SystemTime::now().duration_since(born).unwrap_or_default();
        record
            .cold
            .saturating_sub(age.saturating_sub(MAX_CLOCK_ERROR))
    }

    fn restore(&mut self, now: Instant, snapshot: &LogSnapshot) {
        if self.replicated.restore(snapshot) {
            let state = self.replicated.state();
            self.announced_at = state.servers().map(|s| (s.id.clone(), now)).collect();
            self.observer.set_state(now, state);
            self.applied_term = snapshot.term;
        }
    }

    fn snapshot_if_due(&mut self, now: Instant) {
        if !self.machine.needs_snapshot(SNAPSHOT_INTERVAL_ENTRIES) {
            return;
        }
        let index = self.machine.applied_index();
        if let Some(data) = self.replicated.take_snapshot(index) {
            self.handle_event(now, Event::SnapshotTaken { index, data });
        }
    }

    /// Registers a request to the consensus and returns its id.
    fn register_request(&mut self, reply: PendingReply) -> RequestId {
        self.last_request += 1;
        self.pending_replies.insert(self.last_request, reply);
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
                let request = self.register_request(PendingReply::Propose(reply));
                self.handle_event(now, Event::Propose { request, command });
            }
            Err(e) => {
                log::error!(target: "state", "command not proposed, as it can't be encoded: {e}");
                let _ = reply.send(ProposeOutcome::Unknown);
            }
        }
    }

    fn answer_request(&mut self, request: RequestId, outcome: &AnswerOutcome) {
        match self.pending_replies.remove(&request) {
            Some(PendingReply::Propose(reply)) => {
                let _ = reply.send(self.propose_outcome(outcome));
            }
            Some(PendingReply::Read(reply)) => {
                let read_outcome = match outcome {
                    AnswerOutcome::Confirmed => {
                        let site = self.replicated.state().site();
                        ReadOutcome::Current(site.map(|site| site.document.clone()))
                    }
                    AnswerOutcome::NotLeader { leader } => ReadOutcome::NotLeader(*leader),
                    AnswerOutcome::Committed { .. } | AnswerOutcome::Unknown => {
                        ReadOutcome::Unknown
                    }
                };
                let _ = reply.send(read_outcome);
            }
            None => {}
        }
    }

    fn propose_outcome(&self, outcome: &AnswerOutcome) -> ProposeOutcome {
        match outcome {
            AnswerOutcome::Committed { index } => match self.replicated.outcome(*index) {
                Some(outcome) => ProposeOutcome::Done(outcome),
                None => ProposeOutcome::Unknown,
            },
            AnswerOutcome::NotLeader { leader } => ProposeOutcome::NotLeader(*leader),
            AnswerOutcome::Confirmed | AnswerOutcome::Unknown => ProposeOutcome::Unknown,
        }
    }

    /// Returns whether the state was confirmed recently.
    fn is_confirmed(&self, now: Instant) -> bool {
        self.confirmed_at
            .is_some_and(|confirmed_at| now < confirmed_at + MAX_CONFIRMATION_AGE)
    }

    /// Records an announcement where the state is current, and returns what to do with it.
    fn handle_announcement(
        &mut self,
        now: Instant,
        mut announcement: Box<ServerAnnouncement>,
    ) -> AnnounceDecision {
        if !self.is_confirmed(now) {
            return AnnounceDecision::Stale;
        }
        let record = &announcement.record;
        if claims::is_ahead(SystemTime::now(), record.born) {
            log::info!(target: "claims", "announcement passed over, as its start time is ahead; server={} born={}", record.id, record.born);
            return AnnounceDecision::Contested;
        }
        let state = self.replicated.state();
        let mut verdict = state.judge(&announcement);
        if verdict != AnnouncementVerdict::Unchanged {
            // Only a call that changes something is worth a look at all servers.
            let holders = state.holders(record);
            let silent = holders.filter(|holder| !self.is_announcing(now, holder));
            announcement.silent = Some(silent.map(ServerRecord::incarnation).collect());
            verdict = state.judge(&announcement);
        }
        let record = &announcement.record;
        let liveness = &mut self.observer.liveness;
        match verdict {
            AnnouncementVerdict::Unchanged => {
                liveness.record_server(now, &record.id, record.born, record.cold);
                AnnounceDecision::Unchanged
            }
            AnnouncementVerdict::Listed(_) => {
                liveness.record_server(now, &record.id, record.born, record.cold);
                AnnounceDecision::Propose(announcement)
            }
            AnnouncementVerdict::Contested(holder) => {
                log::info!(
                    target: "claims",
                    "announcement passed over, as another server holds its address or id; server={} born={} service={} address={} holder={} holder_born={}",
                    record.id, record.born, record.service, record.address, holder.id, holder.born,
                );
                AnnounceDecision::Contested
            }
            AnnouncementVerdict::Returning => {
                log::info!(target: "claims", "announcement of a server that has left, counted towards its return; server={} born={} sequence={}", record.id, record.born, announcement.sequence);
                AnnounceDecision::Propose(announcement)
            }
        }
    }

    /// Returns whether a listed server announced itself within the announcement interval.
    fn is_announcing(&self, now: Instant, server: &ServerRecord) -> bool {
        let limit = self.settings.announcement_interval + claims::ANNOUNCEMENT_MARGIN;
        let announced_at = self.announced_at.get(&server.id).copied();
        let seen_at = self.observer.liveness.last_seen(&server.id, server.born);
        let latest = announced_at.max(seen_at);
        latest.is_some_and(|latest| now < latest + limit)
    }

    /// Records the reports in a follow request and holds the request until it can be answered.
    fn hold_follow(
        &mut self,
        now: Instant,
        mut request: FollowRequest,
        reply: oneshot::Sender<FollowReply>,
    ) {
        let latest = self.replicated.latest_revision();
        let confirmed = self.is_confirmed(now);
        let state = self.replicated.state();
        if self
            .observer
            .record_host(now, state, latest, confirmed, &mut request)
        {
            self.next_report = now;
        }
        if request.revision != Some(latest) {
            self.follows.mark_changed();
        }
        self.follows.push(now, request, reply);
    }

    /// Answers the follow requests that are outdated or due, in batches. A change of the entry hosts
    /// alone doesn't make a request outdated: it goes out with the next answer.
    fn answer_follows(&mut self, now: Instant) {
        let latest = self.replicated.latest_revision();
        let observed = self.observer.take_changed();
        if latest != self.checked_revision || observed {
            self.checked_revision = latest;
            self.follows.mark_changed();
        }
        if self
            .follows
            .deadline()
            .is_none_or(|deadline| now < deadline)
        {
            return;
        }
        let cold = self.observer.liveness.cold(now);
        let cold_digest = liveness::cold_digest(now, self.started_at, &cold);
        let hints = self.observer.hints(now);
        let hints_digest = hints::digest(now, self.started_at, &hints);
        let batch = self.follows.take_batch(now, |request| {
            request.revision != Some(latest)
                || request.cold_digest != cold_digest
                || request.hints_digest != hints_digest
                || self
                    .observer
                    .quotas
                    .is_outdated(now, request.quotas.as_ref())
        });
        if batch.is_empty() {
            return;
        }
        self.observer.refresh_hosts(now);
        let shares = self.observer.shares(now);
        let mut loads = None;
        let replicas = self.replicas();
        let quotas = self.observer.quotas.notices(now);
        let watched = self.observer.suspects.watched();
        let confirmed_ago = self
            .confirmed_at
            .map(|confirmed_at| now.saturating_duration_since(confirmed_at));
        for follow in batch {
            let request = follow.request;
            self.metrics.count_follow();
            let (update, site) = self.replicated.update_for(&request);
            let quotas = quotas.clone().filter(|_| request.quotas.is_some());
            let replicas = replicas.clone();
            let Some(update) = update else {
                let _ = follow.reply.send(FollowReply {
                    confirmed_ago,
                    quotas,
                    replicas,
                    ..FollowReply::collecting(&request, site)
                });
                continue;
            };
            // A host without a state may have restarted and lost the loads that it got.
            let loads_due =
                self.load_schedule.take_due(now, &request.host.name) || request.revision.is_none();
            let reply = FollowReply {
                update,
                site,
                confirmed_ago,
                cold: (request.cold_digest != cold_digest).then(|| cold.clone()),
                cold_digest,
                hints: (request.hints_digest != hints_digest).then(|| hints.clone()),
                hints_digest,
                limits: self.observer.limits.since(now, request.limits_mark),
                limits_mark: self.observer.limits.mark(),
                watched: (request.watched_digest != watched.digest)
                    .then(|| watched.requests.clone()),
                watched_digest: watched.digest,
                quotas,
                hosts: self.observer.host_lists.update_since(request.hosts_digest),
                hosts_digest: self.observer.host_lists.current().digest(),
                shares: shares.get(&request.region).cloned().unwrap_or_default(),
                loads: if loads_due {
                    let loads = loads.get_or_insert_with(|| self.observer.loads(now, latest));
                    loads.clone()
                } else {
                    LoadVector::default()
                },
                replicas,
            };
            // The receiver is gone where the entry host has dropped the call.
            let _ = follow.reply.send(reply);
        }
    }

    /// Returns the voters.
    fn replicas(&self) -> Vec<ReplicaId> {
        self.machine.voters().collect()
    }

    /// Queues the report to the other replicas, where a process called this one since the last.
    fn queue_report(&mut self, now: Instant) {
        let latest = self.replicated.latest_revision();
        let Some(report) = self.observer.take_report(now, latest) else {
            return;
        };
        let own = address::replica_at(self.settings.mesh_address);
        let others = self.replicas().into_iter().filter(|other| *other != own);
        self.actions
            .push(CoreAction::Report(others.collect(), report));
    }

    /// Proposes to quarantine or release requests, where this replica is the leader. A command is
    /// proposed until it is applied.
    fn propose_quarantines(&mut self, now: Instant) {
        if self.leader_since.is_none() || !self.machine.has_lease(now) {
            return;
        }
        let state = self.replicated.state();
        for command in self.observer.suspects.due_commands(now, state) {
            let (reply, _) = oneshot::channel();
            self.propose(now, &command, reply);
        }
    }

    /// Proposes to remove the backend servers whose announcements stopped, where this replica has
    /// been the leader for long enough to know.
    fn expire_servers(&mut self, now: Instant) {
        let interval = self.settings.announcement_interval;
        let limit = interval * MAX_MISSED_ANNOUNCEMENTS + ANNOUNCEMENT_DELAY;
        let Some(since) = self.leader_since else {
            return;
        };
        if now < since + limit || !self.machine.has_lease(now) {
            return;
        }
        let mut silent = Vec::new();
        for server in self.replicated.state().servers() {
            let announced_at = self.announced_at.get(&server.id).copied();
            let seen_at = self.observer.liveness.last_seen(&server.id, server.born);
            let latest = announced_at.max(seen_at).unwrap_or(since).max(since);
            if now >= latest + limit {
                silent.push((server.id.clone(), server.born));
            }
        }
        if silent.is_empty() {
            return;
        }
        for (id, born) in &silent {
            log::info!(target: "state", "server silent, will be removed; server={id} born={born} limit_ms={}", limit.as_millis());
        }
        let (reply, _) = oneshot::channel();
        self.propose(now, &FleetCommand::Expire(silent), reply);
    }

    fn dump(&mut self, now: Instant) -> DirectorDump {
        self.observer.refresh_hosts(now);
        let hinted = self.observer.hints(now);
        let hosts = self.observer.host_lists.current().hosts().keys();
        let state = self.replicated.state();
        DirectorDump {
            quorum: self.machine.report(now),
            revision: state.revision(),
            version: state.site().map_or(0, |site| site.version),
            servers: state.servers().count(),
            hosts: hosts.cloned().collect(),
            evacuated: state.evacuated().cloned().collect(),
            quarantined: state.quarantined_requests().count(),
            hinted: hinted.iter().map(HintSummary::from).collect(),
            limits: self.observer.limits.rates(now),
            quotas: self.observer.quotas.summary(now),
            confirmed_ago_ms: self
                .confirmed_at
                .map(|confirmed_at| now.saturating_duration_since(confirmed_at).as_millis()),
        }
    }
}
