//! Disks that are full for some seconds, one after another.
#![allow(missing_docs, clippy::unwrap_used)]

mod common;

use std::fs;
use std::time::Duration;

use common::{get, start_cluster, submit, wait_for_verdict, TIMEOUT};
use proof::cluster::ProofCluster;
use proof::wait::wait_until;

/// Time for which a disk is full.
const FULL_PERIOD: Duration = Duration::from_secs(2);

/// Bytes that still fit on a full disk, so that a record is written in part.
const SPARE_BYTES: u64 = 60;

/// Returns a ticket whose log entry is larger than what the process logs of it, which the limit must not reach.
fn large_ticket(number: u64) -> String {
    let mut ticket = format!("number = {number}\n");
    for region in 0..100 {
        let name = format!("r{number}x{region}");
        ticket.push_str(&format!(
            "[region.{name}]\nzones = [\"{name}-a\"]\ncap = 10.0\n"
        ));
    }
    ticket
}

/// Fills the disk of a replica, or frees it.
fn set_full(cluster: &ProofCluster, index: usize, is_full: bool) {
    let folder = cluster.folder().join(format!("c{}", index + 1));
    let files = fs::read_dir(folder).unwrap();
    let largest = files.map(|file| file.unwrap().metadata().unwrap().len());
    let limit = is_full.then(|| largest.max().unwrap() + SPARE_BYTES);
    cluster.replicas[index].process.limit_files(limit).unwrap();
}

/// A replica whose disk had been full took no part until it was restarted. After the disks had been full one after
/// another, no replica was left that accepted tickets, though all processes ran.
#[test]
fn tickets_are_accepted_while_and_after_one_disk_after_another_is_full() {
    let mut cluster = start_cluster();
    let mut number = 0;
    let mut submit_next = |cluster: &ProofCluster| {
        number += 1;
        let (status, body) = submit(cluster, number, &large_ticket(number));
        assert_eq!((status, &body["verdict"]), (200, &"accepted".into()));
        number
    };
    for _ in 0..5 {
        submit_next(&cluster);
    }
    for index in [0, 1, 2, 0] {
        let role = || {
            let status = get(&cluster.replicas[index], "/v1/status");
            status.map(|(_, body)| body["role"].clone())
        };
        set_full(&cluster, index, true);
        submit_next(&cluster);
        wait_until("the disk fails", TIMEOUT, || {
            role() == Some("failed".into())
        })
        .unwrap();
        submit_next(&cluster);
        std::thread::sleep(FULL_PERIOD);
        set_full(&cluster, index, false);
        wait_until("the replica takes part again", TIMEOUT, || {
            role().is_some_and(|role| role == "follower" || role == "leader")
        })
        .unwrap();
    }
    let last = submit_next(&cluster);
    for replica in &cluster.replicas {
        wait_for_verdict(replica, last);
    }
    for replica in &mut cluster.replicas {
        assert!(replica.process.is_running());
    }
}
