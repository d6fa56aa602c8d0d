//! An accepted ticket survives a killed leader, a killed cluster, a lost disk and a damaged log.
#![allow(missing_docs, clippy::unwrap_used)]

mod common;

use std::fs;
use std::path::PathBuf;

use common::{
    other_replicas, put, region_ticket, start_cluster, submit, wait_for_leader, wait_for_state,
    wait_for_verdict, TIMEOUT,
};
use proof::cluster::ProofCluster;
use proof::wait::wait_until;
use rstest::rstest;

/// Submits a range of tickets that must be accepted, and returns their numbers and verdicts.
fn submit_accepted(
    cluster: &ProofCluster,
    numbers: std::ops::RangeInclusive<u64>,
) -> Vec<(u64, serde_json::Value)> {
    let mut accepted = Vec::new();
    for number in numbers {
        let (status, body) = submit(
            cluster,
            number,
            &region_ticket(number, &format!("r{number}"), 10),
        );
        assert_eq!(
            (status, &body["verdict"]),
            (200, &"accepted".into()),
            "{body}"
        );
        accepted.push((number, body));
    }
    accepted
}

/// Checks that every replica returns the first verdicts and holds the region of every ticket.
fn assert_applied(cluster: &ProofCluster, accepted: &[(u64, serde_json::Value)]) {
    for replica in &cluster.replicas {
        for (number, first) in accepted {
            assert_eq!(
                &wait_for_verdict(replica, *number),
                first,
                "{}",
                replica.process.name()
            );
        }
        let state = wait_for_state(replica);
        for (number, _) in accepted {
            assert_eq!(state["regions"][format!("r{number}")]["ticket"], *number);
        }
    }
}

#[test]
fn a_leader_killed_during_a_stream_of_submissions_loses_no_accepted_ticket() {
    let mut cluster = start_cluster();
    let mut accepted = submit_accepted(&cluster, 1..=5);
    for round in 0..3 {
        let killed = wait_for_leader(&cluster);
        let first = 100 * (round + 1);
        let survivor = other_replicas(killed)[0];
        let stream = std::thread::scope(|scope| {
            let replicas = &cluster.replicas;
            let sender = scope.spawn(move || {
                let mut known = Vec::new();
                for number in first..first + 40 {
                    let answer = put(
                        &replicas[survivor],
                        number,
                        &region_ticket(number, &format!("r{number}"), 10),
                    );
                    if let Some((200, body)) = answer {
                        known.push((number, body));
                    }
                }
                known
            });
            std::thread::sleep(std::time::Duration::from_millis(60));
            let id = replicas[killed].process.id().unwrap();
            kill(id);
            sender.join().unwrap()
        });
        assert!(!stream.is_empty());
        accepted.extend(stream);
        cluster.replicas[killed].process.restart().unwrap();
        // The next round sends all its submissions to one replica, which has to listen.
        wait_for_state(&cluster.replicas[killed]);
    }
    assert_applied(&cluster, &accepted);
}

/// Kills a process of this test by its id, while other threads borrow the cluster.
fn kill(id: u32) {
    let id = i32::try_from(id).unwrap();
    let pid = rustix::process::Pid::from_raw(id).unwrap();
    rustix::process::kill_process(pid, rustix::process::Signal::KILL).unwrap();
}

#[test]
fn all_replicas_killed_at_once_and_restarted_keep_every_accepted_ticket() {
    let mut cluster = start_cluster();
    let mut accepted = submit_accepted(&cluster, 1..=20);
    for round in 1..=2 {
        cluster
            .replicas
            .iter_mut()
            .for_each(|r| r.process.kill().unwrap());
        cluster
            .replicas
            .iter_mut()
            .for_each(|r| r.process.restart().unwrap());
        let first = 100 * round;
        accepted.extend(submit_accepted(&cluster, first..=first + 5));
    }
    assert_applied(&cluster, &accepted);
}

#[test]
fn a_second_replica_lost_right_after_the_repair_of_a_lost_disk_loses_no_ticket() {
    let mut cluster = start_cluster();
    let mut accepted = submit_accepted(&cluster, 1..=10);
    let lost = other_replicas(wait_for_leader(&cluster))[0];
    cluster.replicas[lost].process.kill().unwrap();
    let folder = cluster.folder().join(format!("c{}", lost + 1));
    fs::remove_dir_all(&folder).unwrap();
    accepted.extend(submit_accepted(&cluster, 11..=15));
    cluster.replicas[lost].process.restart().unwrap();
    // The repair is complete once the replica is a voter again.
    wait_until("readmission", TIMEOUT, || {
        let dump = common::get(&cluster.replicas[lost], "/v1/dump");
        dump.is_some_and(|(_, dump)| dump["core"]["quorum"]["member"] == true)
    })
    .unwrap();
    let second = wait_for_leader(&cluster);
    cluster.replicas[second].process.kill().unwrap();
    accepted.extend(submit_accepted(&cluster, 16..=20));
    cluster.replicas[second].process.restart().unwrap();
    assert_applied(&cluster, &accepted);
}

#[test]
fn a_blank_and_a_lagging_replica_accept_nothing_without_the_third() {
    let mut cluster = start_cluster();
    let mut accepted = submit_accepted(&cluster, 1..=3);
    let kept = wait_for_leader(&cluster);
    let [behind, lost] = other_replicas(kept);
    cluster.replicas[behind].process.kill().unwrap();
    accepted.extend(submit_accepted(&cluster, 4..=8));
    cluster.replicas[kept].process.kill().unwrap();
    cluster.replicas[lost].process.kill().unwrap();
    fs::remove_dir_all(cluster.folder().join(format!("c{}", lost + 1))).unwrap();
    cluster.replicas[lost].process.restart().unwrap();
    cluster.replicas[behind].process.restart().unwrap();
    std::thread::sleep(std::time::Duration::from_secs(3));
    for index in [behind, lost] {
        let answer = put(&cluster.replicas[index], 9, &region_ticket(9, "r9", 10));
        assert!(answer.is_none_or(|(status, _)| status == 503));
        let answer = common::get(&cluster.replicas[index], "/v1/state");
        assert!(answer.is_none_or(|(status, _)| status == 503));
    }
    cluster.replicas[kept].process.restart().unwrap();
    accepted.extend(submit_accepted(&cluster, 9..=9));
    assert_applied(&cluster, &accepted);
}

#[test]
fn a_torn_record_at_the_end_of_the_log_is_removed_at_start() {
    let mut cluster = start_cluster();
    let accepted = submit_accepted(&cluster, 1..=10);
    let torn = other_replicas(wait_for_leader(&cluster))[0];
    cluster.replicas[torn].process.kill().unwrap();
    let log = log_file(&cluster, torn);
    // The file starts with a record. Its first 14 bytes, appended, look like a record whose write a
    // crash interrupted.
    let mut bytes = fs::read(&log).unwrap();
    bytes.extend_from_within(..14);
    fs::write(&log, &bytes).unwrap();
    cluster.replicas[torn].process.restart().unwrap();
    assert_applied(&cluster, &accepted);
    let text = cluster.replicas[torn].process.log();
    assert!(text.contains("cut an incomplete record"), "{text}");
}

#[rstest]
#[case::bit_flipped(|bytes: &mut Vec<u8>| { let middle = bytes.len() / 2; bytes[middle] ^= 4; }, "checksum")]
#[case::truncated(|bytes: &mut Vec<u8>| bytes.truncate(bytes.len() - 7), "shorter than it was")]
fn a_corrupted_log_stops_the_process_and_the_others_keep_every_ticket(
    #[case] damage: fn(&mut Vec<u8>),
    #[case] reason: &str,
) {
    let mut cluster = start_cluster();
    let mut accepted = submit_accepted(&cluster, 1..=10);
    let damaged = other_replicas(wait_for_leader(&cluster))[0];
    let log = log_file(&cluster, damaged);
    cluster.replicas[damaged].process.kill().unwrap();
    let mut bytes = fs::read(&log).unwrap();
    damage(&mut bytes);
    fs::write(&log, &bytes).unwrap();
    cluster.replicas[damaged].process.restart().unwrap();
    let code = cluster.replicas[damaged]
        .process
        .wait_exit(TIMEOUT)
        .unwrap();
    assert_eq!(code, Some(1));
    let text = cluster.replicas[damaged].process.log();
    assert!(
        text.contains(log.to_str().unwrap()) && text.contains(reason),
        "{text}"
    );
    accepted.extend(submit_accepted(&cluster, 11..=12));
    cluster.replicas.remove(damaged);
    assert_applied(&cluster, &accepted);
}

/// Returns the path of a replica's first log file.
fn log_file(cluster: &ProofCluster, index: usize) -> PathBuf {
    let folder = cluster.folder().join(format!("c{}", index + 1));
    folder.join("log-00000000000000000001")
}
