//! A replica that lost its disk is repaired from a snapshot, because the leader's log no longer
//! reaches back to the first entry.
#![allow(missing_docs, clippy::unwrap_used)]

mod common;

use std::fs;

use common::{get, region_ticket, submit, wait_for_state, wait_for_verdict, TIMEOUT};
use proof::cluster::{ControlReplica, ProofCluster, TOKEN};
use proof::ports;
use proof::process::ProcessPlan;
use proof::wait::wait_until;

/// More tickets than a leader keeps log entries before a snapshot.
const TICKETS: u64 = 320;

/// Starts three replicas that take a snapshot every 10 entries and keep 100 verdicts.
fn start_replicas(cluster: &mut ProofCluster) {
    let peers: Vec<_> = (0..3).map(|_| ports::free_address().unwrap()).collect();
    let numbered = peers
        .iter()
        .zip(1..)
        .map(|(peer, id)| format!("{id}={peer}"));
    let list = numbered.collect::<Vec<_>>().join(",");
    for (peer, id) in peers.into_iter().zip(1..) {
        let operators = ports::free_address().unwrap();
        let name = format!("c{id}");
        let process = ProcessPlan::new("wisteria-control", &name)
            .flag("id", id)
            .flag("replicas", &list)
            .flag("operators", operators)
            .flag("zone", "altiplano-a")
            .flag("data-folder", cluster.folder().join(&name).display())
            .flag("snapshot-every", 10)
            .flag("verdict-window", 100)
            .env("WISTERIA_TOKEN", TOKEN)
            .start(cluster.folder())
            .unwrap();
        cluster.replicas.push(ControlReplica {
            process,
            peers: peer,
            operators,
        });
    }
}

#[test]
fn a_lost_disk_is_repaired_from_a_snapshot_and_a_second_loss_right_after_loses_no_ticket() {
    let mut cluster = ProofCluster::plan()
        .replicas(0)
        .entry_hosts(0)
        .start()
        .unwrap();
    start_replicas(&mut cluster);
    let mut last = Vec::new();
    for number in 1..=TICKETS {
        let (status, body) = submit(
            &cluster,
            number,
            &region_ticket(number, &format!("r{}", number % 9), 10),
        );
        assert_eq!(status, 200, "{body}");
        if number + 50 > TICKETS {
            last.push((number, body));
        }
    }
    for lost in [0, 1, 2] {
        let process = &mut cluster.replicas[lost].process;
        process.kill().unwrap();
        let folder = cluster.folder().join(format!("c{}", lost + 1));
        fs::remove_dir_all(&folder).unwrap();
        cluster.replicas[lost].process.restart().unwrap();
        wait_until("readmission", TIMEOUT, || {
            let dump = get(&cluster.replicas[lost], "/v1/dump").map(|(_, dump)| dump);
            dump.is_some_and(|dump| dump["core"]["quorum"]["member"] == true)
        })
        .unwrap();
        // The next replica is killed immediately, so that the repaired one must form the quorum
        // with the third.
        let second = (lost + 1) % 3;
        cluster.replicas[second].process.kill().unwrap();
        let number = TICKETS + 1 + lost as u64;
        let (status, body) = submit(&cluster, number, &region_ticket(number, "north", 10));
        assert_eq!(status, 200, "{body}");
        last.push((number, body));
        cluster.replicas[second].process.restart().unwrap();
    }
    for replica in &cluster.replicas {
        for (number, first) in &last {
            assert_eq!(&wait_for_verdict(replica, *number), first);
        }
        assert_eq!(wait_for_state(replica)["revision"], TICKETS + 3);
        let (_, dump) = get(replica, "/v1/dump").unwrap();
        assert!(dump["core"]["quorum"]["snapshot_index"].as_u64().unwrap() > TICKETS / 2);
    }
}
