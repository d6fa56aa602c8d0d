//! A replica whose disk has failed acknowledges no more tickets.
#![allow(missing_docs, clippy::unwrap_used)]

mod core_harness;

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use control::call::{CoreCall, SubmitOutcome};
use core_harness::CoreHarness;
use store::error::StoreError;
use store::writer::DiskReport;
use tokio::sync::oneshot;

#[test]
fn an_answer_waits_for_the_sync_and_never_comes_from_a_failed_disk() {
    let mut core = CoreHarness::blank();
    core.run(Duration::from_secs(3));
    let mut first = core.submit(1);
    let token = core.take_actions().0.unwrap();
    assert!(first.try_recv().is_err(), "answered before the sync");
    core.report_synced(token);
    assert!(matches!(first.try_recv(), Ok(SubmitOutcome::Verdict(_))));

    let mut second = core.submit(2);
    let disk_full = StoreError::Disk(
        PathBuf::from("log"),
        io::Error::from(io::ErrorKind::StorageFull),
    );
    core.core
        .handle_call(core.now, CoreCall::Disk(DiskReport::Failed(disk_full)));
    assert!(matches!(second.try_recv(), Ok(SubmitOutcome::Unknown)));
    let mut third = core.submit(3);
    assert!(matches!(
        third.try_recv(),
        Ok(SubmitOutcome::NotLeader(None))
    ));
    core.run(Duration::from_secs(5));
    let mut status = oneshot::channel();
    core.core.handle_call(core.now, CoreCall::Status(status.0));
    let status = status.1.try_recv().unwrap();
    assert_eq!(
        (status.role, status.lease, status.revision),
        ("failed", false, 1)
    );
}
