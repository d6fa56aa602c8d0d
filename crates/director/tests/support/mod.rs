//! A control replica without network and disk.
#![allow(missing_docs, unreachable_pub, dead_code, clippy::unwrap_used)]

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use director::call::{CoreAction, CoreCall};
use director::core::DirectorCore;
use director::feed::FeedMark;
use director::message::{FollowReply, FollowRequest, HostStatus, ProposeOutcome};
use director::metrics::DirectorMetrics;
use director::settings::DirectorSettings;
use fleet::command::{CommandOutcome, FleetCommand};
use fleet::server::{ServerRecord, ServerState};
use quorum::entry::RecoveredState;
use quota::terms::QuotaTerms;
use store::writer::DiskReport;
use telemetry::metrics::MetricRegistry;
use tokio::sync::oneshot;

/// Longest time for which an entry host lets a replica hold its call.
pub const LONG_POLL_WAIT: Duration = Duration::from_millis(350);

/// A replica that is the only voter, on a disk that syncs at once.
pub struct OnlyReplica {
    pub core: DirectorCore,
    pub now: Instant,
    /// What the disk holds.
    pub disk: RecoveredState,
}

impl OnlyReplica {
    pub fn start() -> Self {
        Self::start_with(None)
    }

    /// Starts a replica of a deployment that promises to keep quotas.
    pub fn start_with(quota: Option<QuotaTerms>) -> Self {
        Self::recover_with(blank_disk(), quota, mesh_address())
    }

    /// Starts a replica that other processes call at an address.
    pub fn start_at(mesh_address: SocketAddrV4) -> Self {
        Self::recover_with(blank_disk(), None, mesh_address)
    }

    /// Starts a replica whose disk holds a state.
    pub fn recover(disk: RecoveredState) -> Self {
        Self::recover_with(disk, None, mesh_address())
    }

    fn recover_with(
        disk: RecoveredState,
        quota: Option<QuotaTerms>,
        mesh_address: SocketAddrV4,
    ) -> Self {
        let now = Instant::now();
        let settings = DirectorSettings {
            mesh_address,
            seeds: vec![mesh_address],
            bootstrap: true,
            folder: "unused".into(),
            tolerated_failures: 0,
            announcement_interval: Duration::from_millis(1_500),
            quota,
        };
        let metrics = DirectorMetrics::new(&MetricRegistry::new().unwrap());
        let core = DirectorCore::new(now, settings, disk.clone(), metrics).unwrap();
        let disk = RecoveredState {
            blank: false,
            ..disk
        };
        Self { core, now, disk }
    }

    pub fn advance(&mut self, period: Duration) {
        let end = self.now + period;
        while self.now < end {
            self.now += Duration::from_millis(10);
            if self.core.deadline() <= self.now {
                self.core.tick(self.now);
            }
            for action in self.core.take_actions() {
                if let CoreAction::Write(write) = action {
                    self.disk.hard = write.hard.unwrap_or(self.disk.hard);
                    self.disk.entries.extend(write.append);
                    let report = DiskReport::Synced {
                        token: write.token,
                        took: Duration::ZERO,
                    };
                    self.core.handle_call(self.now, CoreCall::Disk(report));
                }
            }
        }
    }

    /// Returns the answer to an entry host without a state that calls now.
    pub fn follow(&mut self) -> FollowReply {
        let mut answer = self.begin_follow(1, None);
        self.advance(Duration::from_millis(60));
        answer.try_recv().unwrap()
    }

    /// Handles the call of an entry host that has the state at a revision. One without a state isn't
    /// made to wait.
    pub fn begin_follow(
        &mut self,
        host: usize,
        revision: Option<u64>,
    ) -> oneshot::Receiver<FollowReply> {
        self.begin_call(follow_request(&format!("host-{host}"), revision))
    }

    /// Handles a call of an entry host.
    pub fn begin_call(&mut self, request: FollowRequest) -> oneshot::Receiver<FollowReply> {
        let (reply, answer) = oneshot::channel();
        let request = Box::new(request);
        let call = CoreCall::Follow { request, reply };
        self.core.handle_call(self.now, call);
        answer
    }

    /// Returns whether an entry host that calls now is told that the state is confirmed.
    pub fn confirms(&mut self) -> bool {
        self.follow().confirmed_ago.is_some()
    }

    pub fn announce(&mut self, record: ServerRecord) {
        self.execute([FleetCommand::Announce(record.into())]);
    }

    /// Proposes commands at once, and waits until all are applied.
    pub fn execute(&mut self, commands: impl IntoIterator<Item = FleetCommand>) {
        let commands = commands.into_iter().map(|command| {
            let (reply, answer) = oneshot::channel();
            let command = Box::new(command);
            let call = CoreCall::Propose { command, reply };
            self.core.handle_call(self.now, call);
            answer
        });
        let answers: Vec<_> = commands.collect();
        self.advance(Duration::from_millis(100));
        for mut answer in answers {
            let outcome = answer.try_recv().unwrap();
            assert_eq!(outcome, ProposeOutcome::Done(CommandOutcome::Accepted));
        }
    }
}

fn mesh_address() -> SocketAddrV4 {
    "10.0.0.1:7000".parse().unwrap()
}

fn blank_disk() -> RecoveredState {
    RecoveredState {
        incarnation: 7,
        blank: true,
        ..RecoveredState::default()
    }
}

/// Returns a backend server that is ready.
pub fn server(id: &str, born: u64, cold: Duration) -> ServerRecord {
    ServerRecord {
        id: id.to_string(),
        born,
        service: "reads".to_string(),
        address: "10.0.2.1:80".parse().unwrap(),
        zone: "east-a".to_string(),
        version: "v1".to_string(),
        slots: 4,
        state: ServerState::Ready,
        cold,
    }
}

/// Returns the call of an entry host that has the state at a revision and nothing to report.
pub fn follow_request(host: &str, revision: Option<u64>) -> FollowRequest {
    FollowRequest {
        host: HostStatus {
            name: host.to_string(),
            address: "10.0.1.1:80".parse().unwrap(),
            zone: "east-a".to_string(),
            ready: true,
        },
        region: "east".to_string(),
        shares: Vec::new(),
        revision,
        site: None,
        loads: Vec::new(),
        leaving: Vec::new(),
        unanswered: Vec::new(),
        limits: Vec::new(),
        limits_mark: FeedMark::default(),
        runs: Vec::new(),
        watched_digest: 0,
        quotas: None,
        hosts_digest: 0,
        cold_digest: 0,
        hints_digest: 0,
        max_wait: revision.map_or(Duration::ZERO, |_| LONG_POLL_WAIT),
        part: None,
    }
}
