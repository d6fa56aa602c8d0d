//! An accepted ticket survives killed leaders, killed clusters, lost disks and torn files.
#![allow(missing_docs, clippy::unwrap_used)]

mod common;

use std::fs;
use std::path::PathBuf;

use common::{cluster, leader, others, put, region, state, submit, verdict, BOUND};
use proof::cluster::ProofCluster;
use proof::wait::wait_until;
use rstest::rstest;

/// Submits tickets from one number to another, and returns them with their accepted verdicts.
fn accept(
    cluster: &ProofCluster,
    numbers: std::ops::RangeInclusive<u64>,
) -> Vec<(u64, serde_json::Value)> {
    let mut accepted = Vec::new();
    for number in numbers {
        let (status, body) = submit(cluster, number, &region(number, &format!("r{number}"), 10));
        assert_eq!(
            (status, &body["verdict"]),
            (200, &"accepted".into()),
            "{body}"
        );
        accepted.push((number, body));
    }
    accepted
}

fn assert_in_force(cluster: &ProofCluster, accepted: &[(u64, serde_json::Value)]) {
    for replica in &cluster.replicas {
        for (number, first) in accepted {
            assert_eq!(
                &verdict(replica, *number),
                first,
                "{}",
                replica.process.name()
            );
        }
        let state = state(replica);
        for (number, _) in accepted {
            assert_eq!(state["regions"][format!("r{number}")]["ticket"], *number);
        }
    }
}

#[test]
fn a_leader_killed_during_a_stream_of_submissions_loses_no_accepted_ticket() {
    let mut cluster = cluster();
    let mut accepted = accept(&cluster, 1..=5);
    for round in 0..3 {
        let killed = leader(&cluster);
        let first = 100 * (round + 1);
        let survivor = others(killed)[0];
        let stream = std::thread::scope(|scope| {
            let replicas = &cluster.replicas;
            let sender = scope.spawn(move || {
                let mut known = Vec::new();
                for number in first..first + 40 {
                    let answer = put(
                        &replicas[survivor],
                        number,
                        &region(number, &format!("r{number}"), 10),
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
    }
    assert_in_force(&cluster, &accepted);
}

/// Kills a process of this test while others still use the cluster.
fn kill(id: u32) {
    let id = i32::try_from(id).unwrap();
    let pid = rustix::process::Pid::from_raw(id).unwrap();
    rustix::process::kill_process(pid, rustix::process::Signal::KILL).unwrap();
}

#[test]
fn all_replicas_killed_at_once_and_restarted_keep_every_accepted_ticket() {
    let mut cluster = cluster();
    let mut accepted = accept(&cluster, 1..=20);
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
        accepted.extend(accept(&cluster, first..=first + 5));
    }
    assert_in_force(&cluster, &accepted);
}

#[test]
fn a_second_host_lost_right_after_the_repair_of_a_lost_disk_loses_nothing() {
    let mut cluster = cluster();
    let mut accepted = accept(&cluster, 1..=10);
    let lost = others(leader(&cluster))[0];
    cluster.replicas[lost].process.kill().unwrap();
    let folder = cluster.folder().join(format!("c{}", lost + 1));
    fs::remove_dir_all(&folder).unwrap();
    accepted.extend(accept(&cluster, 11..=15));
    cluster.replicas[lost].process.restart().unwrap();
    // The repair is done once the replica votes again.
    wait_until("readmission", BOUND, || {
        let dump = common::get(&cluster.replicas[lost], "/v1/dump");
        dump.is_some_and(|(_, dump)| dump["core"]["quorum"]["member"] == true)
    })
    .unwrap();
    let second = leader(&cluster);
    cluster.replicas[second].process.kill().unwrap();
    accepted.extend(accept(&cluster, 16..=20));
    cluster.replicas[second].process.restart().unwrap();
    assert_in_force(&cluster, &accepted);
}

#[test]
fn a_blank_replica_and_one_that_missed_tickets_accept_nothing_by_themselves() {
    let mut cluster = cluster();
    let mut accepted = accept(&cluster, 1..=3);
    let kept = leader(&cluster);
    let [behind, lost] = others(kept);
    cluster.replicas[behind].process.kill().unwrap();
    accepted.extend(accept(&cluster, 4..=8));
    cluster.replicas[kept].process.kill().unwrap();
    cluster.replicas[lost].process.kill().unwrap();
    fs::remove_dir_all(cluster.folder().join(format!("c{}", lost + 1))).unwrap();
    cluster.replicas[lost].process.restart().unwrap();
    cluster.replicas[behind].process.restart().unwrap();
    std::thread::sleep(std::time::Duration::from_secs(3));
    for place in [behind, lost] {
        let answer = put(&cluster.replicas[place], 9, &region(9, "r9", 10));
        assert!(answer.is_none_or(|(status, _)| status == 503));
        let answer = common::get(&cluster.replicas[place], "/v1/state");
        assert!(answer.is_none_or(|(status, _)| status == 503));
    }
    cluster.replicas[kept].process.restart().unwrap();
    accepted.extend(accept(&cluster, 9..=9));
    assert_in_force(&cluster, &accepted);
}

#[test]
fn a_torn_tail_is_cut_at_start() {
    let mut cluster = cluster();
    let accepted = accept(&cluster, 1..=10);
    let torn = others(leader(&cluster))[0];
    cluster.replicas[torn].process.kill().unwrap();
    let log = log_file(&cluster, torn);
    // The first bytes of the file are a record; without its end it is one that a crash cut short.
    let mut bytes = fs::read(&log).unwrap();
    bytes.extend_from_within(..14);
    fs::write(&log, &bytes).unwrap();
    cluster.replicas[torn].process.restart().unwrap();
    assert_in_force(&cluster, &accepted);
    let text = cluster.replicas[torn].process.log();
    assert!(text.contains("cut an incomplete record"), "{text}");
}

#[rstest]
#[case::bit_flipped(|bytes: &mut Vec<u8>| { let middle = bytes.len() / 2; bytes[middle] ^= 4; }, "checksum")]
#[case::truncated(|bytes: &mut Vec<u8>| bytes.truncate(bytes.len() - 7), "shorter than it was")]
fn damage_before_the_tail_stops_the_process_and_the_others_keep_every_ticket(
    #[case] damage: fn(&mut Vec<u8>),
    #[case] reason: &str,
) {
    let mut cluster = cluster();
    let mut accepted = accept(&cluster, 1..=10);
    let damaged = others(leader(&cluster))[0];
    let log = log_file(&cluster, damaged);
    cluster.replicas[damaged].process.kill().unwrap();
    let mut bytes = fs::read(&log).unwrap();
    damage(&mut bytes);
    fs::write(&log, &bytes).unwrap();
    cluster.replicas[damaged].process.restart().unwrap();
    let code = cluster.replicas[damaged].process.wait_exit(BOUND).unwrap();
    assert_eq!(code, Some(1));
    let text = cluster.replicas[damaged].process.log();
    assert!(
        text.contains(log.to_str().unwrap()) && text.contains(reason),
        "{text}"
    );
    accepted.extend(accept(&cluster, 11..=12));
    cluster.replicas.remove(damaged);
    assert_in_force(&cluster, &accepted);
}

fn log_file(cluster: &ProofCluster, place: usize) -> PathBuf {
    let folder = cluster.folder().join(format!("c{}", place + 1));
    folder.join("log-00000000000000000001")
}
