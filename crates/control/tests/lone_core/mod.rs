//! The core of a cluster of one replica, with time and disk in the test's hands.
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

fn settings() -> ControlSettings {
    let args = "--id 1 --replicas 1=127.0.0.1:1 --operators 127.0.0.1:2 --zone a --data-folder x";
    let args = args.split(' ').map(Into::into).collect();
    let env = [("WISTERIA_TOKEN".to_string(), "0123456789abcdef".to_string())];
    ControlSettings::try_from(RawSettings::read(SettingReader::new(args, env))).unwrap()
}

/// Incarnation of its folder.
pub(crate) const INCARNATION: u64 = 7;

/// One replica whose writes the test answers.
pub(crate) struct LoneCore {
    pub(crate) core: ReplicaCore,
    pub(crate) now: Instant,
}

impl LoneCore {
    /// Starts on what is found in its folder.
    pub(crate) fn new(recovered: RecoveredState) -> Self {
        let now = Instant::now();
        let metrics = ControlMetrics::new(&MetricRegistry::new().unwrap());
        let core = ReplicaCore::new(now, settings(), recovered, Arc::default(), metrics).unwrap();
        Self { core, now }
    }

    /// Starts on an empty folder.
    pub(crate) fn blank() -> Self {
        Self::new(RecoveredState {
            incarnation: INCARNATION,
            blank: true,
            ..RecoveredState::default()
        })
    }

    /// Lets time pass, with a disk that works; returns what was asked for besides writes.
    pub(crate) fn run(&mut self, time: Duration) -> Vec<CoreAction> {
        let until = self.now + time;
        let mut others = Vec::new();
        while self.now < until {
            self.now += Duration::from_millis(10);
            self.core.tick(self.now);
            loop {
                let (token, rest) = self.actions();
                others.extend(rest);
                let Some(token) = token else {
                    break;
                };
                self.synced(token);
            }
        }
        others
    }

    /// Returns the token of the last write that the core asks for, and what else it asks for.
    pub(crate) fn actions(&mut self) -> (Option<u64>, Vec<CoreAction>) {
        let (mut token, mut others) = (None, Vec::new());
        for action in self.core.take_actions() {
            match action {
                CoreAction::Write(write) => token = Some(write.token),
                other => others.push(other),
            }
        }
        (token, others)
    }

    pub(crate) fn synced(&mut self, token: u64) {
        let took = Duration::ZERO;
        let report = DiskReport::Synced { token, took };
        self.core.handle(self.now, CoreCall::Disk(report));
    }

    pub(crate) fn submit(&mut self, number: u64) -> oneshot::Receiver<SubmitOutcome> {
        let (reply, answer) = oneshot::channel();
        let ticket = ticket(number);
        self.core
            .handle(self.now, CoreCall::Submit { ticket, reply });
        answer
    }
}

pub(crate) fn ticket(number: u64) -> ChangeTicket {
    let text = format!("number = {number}\n[region.a]\nzones = [\"a-a\"]\ncap = 1.0\n");
    ChangeTicket::try_from(RawTicket::from_toml(&text).unwrap()).unwrap()
}
