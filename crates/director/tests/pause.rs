//! A replica that was paused doesn't confirm its state by a lease of before the pause.
#![allow(missing_docs, clippy::unwrap_used)]

use std::time::{Duration, Instant};

use director::call::{CoreAction, CoreCall};
use director::core::DirectorCore;
use director::message::{FollowRequest, HostStatus};
use director::metrics::DirectorMetrics;
use director::settings::DirectorSettings;
use quorum::entry::RecoveredState;
use store::writer::DiskReport;
use telemetry::metrics::MetricRegistry;
use tokio::sync::oneshot;

/// A replica that is the only voter, on a disk that syncs at once.
struct OnlyReplica {
    core: DirectorCore,
    now: Instant,
}

impl OnlyReplica {
    fn start() -> Self {
        let now = Instant::now();
        let settings = DirectorSettings {
            mesh_address: "10.0.0.1:7000".parse().unwrap(),
            seeds: vec!["10.0.0.1:7000".parse().unwrap()],
            bootstrap: true,
            folder: "unused".into(),
            tolerated_failures: 0,
            announcement_interval: Duration::from_millis(1_500),
        };
        let recovered = RecoveredState {
            incarnation: 7,
            blank: true,
            ..RecoveredState::default()
        };
        let metrics = DirectorMetrics::new(&MetricRegistry::new().unwrap());
        let core = DirectorCore::new(now, settings, recovered, metrics).unwrap();
        Self { core, now }
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
                    let report = DiskReport::Synced {
                        token: write.token,
                        took: Duration::ZERO,
                    };
                    self.core.handle_call(self.now, CoreCall::Disk(report));
                }
            }
        }
    }

    /// Returns whether an entry host that calls now is told that the state is confirmed.
    fn confirms(&mut self) -> bool {
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
            hosts_digest: 0,
            cold_digest: 0,
            max_wait: Duration::ZERO,
        };
        let request = Box::new(request);
        let call = CoreCall::Follow { request, reply };
        self.core.handle_call(self.now, call);
        self.advance(Duration::from_millis(60));
        answer.try_recv().unwrap().confirmed_ago.is_some()
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
