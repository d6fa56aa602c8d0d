//! Harness for the core of a cluster of one replica, with time and disk controlled by the test.
#![allow(dead_code, clippy::unwrap_used)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use control::call::{CoreCall, SubmitOutcome};
use control::core::{CoreAction, ReplicaCore};
use control::metrics::ControlMetrics;
use control::settings::{ControlSettings, RawSettings};
use model::raw::RawTicket;
use model::ticket::ChangeTicket;
use quorum::entry::RecoveredState;
use settings::reader::SettingReader;
use store::writer::DiskReport;
use telemetry::metrics::MetricRegistry;
use tokio::sync::oneshot;

/// Returns the settings of the only replica.
fn settings() -> ControlSettings {
    let args = "--id 1 --replicas 1=127.0.0.1:1 --operators 127.0.0.1:2 --zone a --data-folder x";
    let args = args.split(' ').map(Into::into).collect();
    let env = [("WISTERIA_TOKEN".to_string(), "0123456789abcdef".to_string())];
    ControlSettings::try_from(RawSettings::read(SettingReader::new(args, env))).unwrap()
}

/// Incarnation of the replica's data folder.
pub(crate) const INCARNATION: u64 = 7;

/// The core of one replica, whose disk writes the test completes.
pub(crate) struct CoreHarness {
    pub(crate) core: ReplicaCore,
    pub(crate) now: Instant,
}

impl CoreHarness {
    /// Creates a core from a recovered state.
    pub(crate) fn new(recovered: RecoveredState) -> Self {
        let now = Instant::now();
        let metrics = ControlMetrics::new(&MetricRegistry::new().unwrap());
        let core = ReplicaCore::new(now, settings(), recovered, Arc::default(), metrics).unwrap();
        Self { core, now }
    }

    /// Creates a core with an empty data folder.
    pub(crate) fn blank() -> Self {
        Self::new(RecoveredState {
            incarnation: INCARNATION,
            blank: true,
            ..RecoveredState::default()
        })
    }

    /// Advances the time with a disk that syncs immediately, and returns all actions except writes.
    pub(crate) fn run(&mut self, time: Duration) -> Vec<CoreAction> {
        let until = self.now + time;
        let mut others = Vec::new();
        while self.now < until {
            self.now += Duration::from_millis(10);
            self.core.tick(self.now);
            loop {
                let (token, rest) = self.take_actions();
                others.extend(rest);
                let Some(token) = token else {
                    break;
                };
                self.report_synced(token);
            }
        }
        others
    }

    /// Takes the core's actions, and returns the token of the last write and the other actions.
    pub(crate) fn take_actions(&mut self) -> (Option<u64>, Vec<CoreAction>) {
        let (mut token, mut others) = (None, Vec::new());
        for action in self.core.take_actions() {
            match action {
                CoreAction::Write(write) => token = Some(write.token),
                other => others.push(other),
            }
        }
        (token, others)
    }

    /// Reports all writes up to a token as synced.
    pub(crate) fn report_synced(&mut self, token: u64) {
        let took = Duration::ZERO;
        let report = DiskReport::Synced { token, took };
        self.core.handle_call(self.now, CoreCall::Disk(report));
    }

    /// Submits a ticket and returns the receiver of its outcome.
    pub(crate) fn submit(&mut self, number: u64) -> oneshot::Receiver<SubmitOutcome> {
        let (reply, answer) = oneshot::channel();
        let ticket = ticket(number);
        self.core
            .handle_call(self.now, CoreCall::Submit { ticket, reply });
        answer
    }
}

/// Returns a ticket that sets one region.
pub(crate) fn ticket(number: u64) -> ChangeTicket {
    let text = format!("number = {number}\n[region.a]\nzones = [\"a-a\"]\ncap = 1.0\n");
    ChangeTicket::try_from(RawTicket::from_toml(&text).unwrap()).unwrap()
}
