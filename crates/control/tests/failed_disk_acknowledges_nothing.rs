//! A replica whose disk fails acknowledges nothing more.
#![allow(missing_docs, clippy::unwrap_used)]

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use control::call::{CoreCall, SubmitOutcome};
use control::core::{CoreAction, ReplicaCore};
use control::disk::DiskReport;
use control::metrics::ControlMetrics;
use control::settings::{ControlSettings, RawSettings};
use model::raw::RawTicket;
use model::ticket::ChangeTicket;
use quorum::entry::RecoveredState;
use settings::reader::SettingReader;
use store::error::StoreError;
use telemetry::metrics::MetricRegistry;
use tokio::sync::oneshot;

fn settings() -> ControlSettings {
    let args = "--id 1 --replicas 1=127.0.0.1:1 --operators 127.0.0.1:2 --zone a --data-folder x";
    let args = args.split(' ').map(Into::into).collect();
    let env = [("WISTERIA_TOKEN".to_string(), "0123456789abcdef".to_string())];
    ControlSettings::try_from(RawSettings::read(SettingReader::new(args, env))).unwrap()
}

/// One replica whose writes the test answers.
struct LoneCore {
    core: ReplicaCore,
    now: Instant,
}

impl LoneCore {
    fn new() -> Self {
        let now = Instant::now();
        let recovered = RecoveredState {
            incarnation: 7,
            blank: true,
            ..RecoveredState::default()
        };
        let metrics = ControlMetrics::new(&MetricRegistry::new().unwrap());
        let core = ReplicaCore::new(now, settings(), recovered, Arc::default(), metrics).unwrap();
        Self { core, now }
    }

    /// Lets time pass, with a disk that works.
    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += Duration::from_millis(10);
            self.core.tick(self.now);
            while let Some(token) = self.write() {
                let took = Duration::ZERO;
                self.core
                    .handle(self.now, CoreCall::Disk(DiskReport::Synced { token, took }));
            }
        }
    }

    /// Returns the token of the last write that the core asks for.
    fn write(&mut self) -> Option<u64> {
        let actions = self.core.take_actions().into_iter().rev();
        let mut tokens = actions.filter_map(|action| match action {
            CoreAction::Write(write) => Some(write.token),
            _ => None,
        });
        tokens.next()
    }

    fn submit(&mut self, number: u64) -> oneshot::Receiver<SubmitOutcome> {
        let text = format!("number = {number}\n[region.a]\nzones = [\"a-a\"]\ncap = 1.0\n");
        let ticket = ChangeTicket::try_from(RawTicket::from_toml(&text).unwrap()).unwrap();
        let (reply, answer) = oneshot::channel();
        self.core
            .handle(self.now, CoreCall::Submit { ticket, reply });
        answer
    }
}

#[test]
fn an_answer_waits_for_the_sync_and_never_comes_from_a_failed_disk() {
    let mut core = LoneCore::new();
    core.run(Duration::from_secs(3));
    let mut first = core.submit(1);
    let token = core.write().unwrap();
    assert!(first.try_recv().is_err(), "answered before the sync");
    let took = Duration::ZERO;
    core.core
        .handle(core.now, CoreCall::Disk(DiskReport::Synced { token, took }));
    assert!(matches!(first.try_recv(), Ok(SubmitOutcome::Known(_))));

    let mut second = core.submit(2);
    let full = StoreError::Disk(
        PathBuf::from("log"),
        io::Error::from(io::ErrorKind::StorageFull),
    );
    core.core
        .handle(core.now, CoreCall::Disk(DiskReport::Failed(full)));
    assert!(matches!(second.try_recv(), Ok(SubmitOutcome::Unknown)));
    let mut third = core.submit(3);
    assert!(matches!(
        third.try_recv(),
        Ok(SubmitOutcome::NotLeader(None))
    ));
    core.run(Duration::from_secs(5));
    let mut status = oneshot::channel();
    core.core.handle(core.now, CoreCall::Status(status.0));
    let status = status.1.try_recv().unwrap();
    assert_eq!(
        (status.role, status.lease, status.revision),
        ("failed", false, 1)
    );
}
