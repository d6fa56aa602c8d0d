//! What a replica that was paused or restarted believes: neither a lease nor a cold period of before
//! holds.
#![allow(missing_docs, clippy::unwrap_used)]

use std::time::{Duration, Instant, SystemTime};

use director::call::{CoreAction, CoreCall};
use director::core::DirectorCore;
use director::message::{FollowReply, FollowRequest, HostStatus, ProposeOutcome};
use director::metrics::DirectorMetrics;
use director::settings::DirectorSettings;
use fleet::command::{CommandOutcome, FleetCommand};
use fleet::server::{ServerRecord, ServerState};
use quorum::entry::RecoveredState;
use store::writer::DiskReport;
use telemetry::metrics::MetricRegistry;
use tokio::sync::oneshot;

/// A replica that is the only voter, on a disk that syncs at once.
struct OnlyReplica {
    core: DirectorCore,
    now: Instant,
    /// What the disk holds.
    disk: RecoveredState,
}

impl OnlyReplica {
    fn start() -> Self {
        Self::recover(RecoveredState {
            incarnation: 7,
            blank: true,
            ..RecoveredState::default()
        })
    }

    /// Starts a replica whose disk holds a state.
    fn recover(disk: RecoveredState) -> Self {
        let now = Instant::now();
        let settings = DirectorSettings {
            mesh_address: "10.0.0.1:7000".parse().unwrap(),
            seeds: vec!["10.0.0.1:7000".parse().unwrap()],
            bootstrap: true,
            folder: "unused".into(),
            tolerated_failures: 0,
            announcement_interval: Duration::from_millis(1_500),
        };
        let metrics = DirectorMetrics::new(&MetricRegistry::new().unwrap());
        let core = DirectorCore::new(now, settings, disk.clone(), metrics).unwrap();
        let disk = RecoveredState {
            blank: false,
            ..disk
        };
        Self { core, now, disk }
    }

    fn advance(&mut self, period: Duration) {
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
    fn follow(&mut self) -> FollowReply {
        let (reply, mut answer) = oneshot::channel();
        let request = FollowRequest {
            host: HostStatus {
                name: "host-1".to_string(),
                address: "10.0.1.1:80".parse().unwrap(),
                zone: "east-a".to_string(),
                ready: true,
            },
            region: "east".to_string(),
            shares: Vec::new(),
            revision: None,
            loads: Vec::new(),
            leaving: Vec::new(),
            unanswered: Vec::new(),
            hosts_digest: 0,
            cold_digest: 0,
            hints_digest: 0,
            max_wait: Duration::ZERO,
        };
        let request = Box::new(request);
        let call = CoreCall::Follow { request, reply };
        self.core.handle_call(self.now, call);
        self.advance(Duration::from_millis(60));
        answer.try_recv().unwrap()
    }

    /// Returns whether an entry host that calls now is told that the state is confirmed.
    fn confirms(&mut self) -> bool {
        self.follow().confirmed_ago.is_some()
    }

    fn announce(&mut self, record: ServerRecord) {
        let (reply, mut answer) = oneshot::channel();
        let command = Box::new(FleetCommand::Announce(record));
        let call = CoreCall::Propose { command, reply };
        self.core.handle_call(self.now, call);
        self.advance(Duration::from_millis(100));
        let outcome = answer.try_recv().unwrap();
        assert_eq!(outcome, ProposeOutcome::Done(CommandOutcome::Accepted));
    }
}

#[test]
fn a_paused_leader_confirms_nothing_until_its_former_lease_is_over() {
    let mut replica = OnlyReplica::start();
    replica.advance(Duration::from_secs(5));
    assert!(replica.confirms());
    // The steady clock stood still, so the lease seems to hold.
    replica.core.handle_pause(replica.now);
    assert!(!replica.confirms());
    replica.advance(Duration::from_millis(500));
    assert!(!replica.confirms());
    replica.advance(Duration::from_millis(300));
    assert!(replica.confirms());
}

fn cold_server(id: &str, age: Duration) -> ServerRecord {
    let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    ServerRecord {
        id: id.to_string(),
        born: (born.unwrap() - age).as_millis() as u64,
        service: "reads".to_string(),
        address: "10.0.2.1:80".parse().unwrap(),
        zone: "east-a".to_string(),
        version: "v1".to_string(),
        slots: 4,
        state: ServerState::Ready,
        cold: Duration::from_secs(3),
    }
}

/// After all processes lost power, hosts must not hold back requests from servers that have been warm
/// for long, only because the log still has their first announcements.
#[test]
fn only_servers_that_started_recently_count_as_cold_after_a_restart() {
    let mut replica = OnlyReplica::start();
    replica.advance(Duration::from_secs(5));
    let mut old = cold_server("old", Duration::from_secs(60));
    old.address.set_port(81);
    replica.announce(old);
    replica.announce(cold_server("new", Duration::from_millis(500)));
    let ids = |reply: FollowReply| {
        let cold = reply.cold.unwrap_or_default().into_iter();
        cold.map(|(id, _)| id).collect::<Vec<_>>()
    };
    assert_eq!(ids(replica.follow()), ["new", "old"]);
    let mut restarted = OnlyReplica::recover(replica.disk);
    restarted.advance(Duration::from_secs(1));
    assert!(restarted.confirms());
    assert_eq!(ids(restarted.follow()), ["new"]);
}
