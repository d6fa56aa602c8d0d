//! Which backend servers a replica counts as silent.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use director::call::{AnnounceDecision, CoreCall};
use director::liveness::LivenessTable;
use fleet::change::FleetUpdate;
use fleet::command::{FleetCommand, SiteReplacement};
use fleet::server::ServerRecord;
use fleet::site::{ServiceSpec, SiteConfig};
use support::OnlyReplica;
use tokio::sync::oneshot;

/// Announces a server as a replica does, through the log where the state changes.
fn announce(replica: &mut OnlyReplica, record: &ServerRecord) -> AnnounceDecision {
    let (reply, mut answer) = oneshot::channel();
    let call = CoreCall::Announce {
        announcement: Box::new(record.clone().into()),
        reply,
    };
    replica.core.handle_call(replica.now, call);
    let decision = answer.try_recv().unwrap();
    if let AnnounceDecision::Propose(announcement) = &decision {
        replica.execute([FleetCommand::Announce(announcement.as_ref().clone())]);
    }
    decision
}

fn name_service(replica: &mut OnlyReplica) {
    let site = SiteConfig {
        services: vec![ServiceSpec {
            name: "reads".to_string(),
            health_path: "/health".to_string(),
            max_connections: 10,
            cold_period: Duration::ZERO,
            cold_rate: 1.0,
        }],
        ..SiteConfig::default()
    };
    replica.execute([FleetCommand::Replace(SiteReplacement {
        version: 1,
        base: 0,
        document: Vec::new(),
        site: Arc::new(site),
        access: Arc::default(),
    })]);
}

/// A server was announced after another writer had announced its id with a later start time. Its own announcements
/// counted as those of an earlier incarnation, so that it was removed as silent.
#[test]
fn a_server_that_replaced_a_later_start_of_an_unnamed_service_is_not_silent() {
    let mut replica = OnlyReplica::start();
    replica.advance(Duration::from_secs(5));
    let server = support::server("s1", 1_000, Duration::ZERO);
    let odd = ServerRecord {
        born: 2_000,
        service: "elsewhere".to_string(),
        ..server.clone()
    };
    let decision = announce(&mut replica, &odd);
    assert!(matches!(decision, AnnounceDecision::Propose(_)));
    name_service(&mut replica);
    let decision = announce(&mut replica, &server);
    assert!(matches!(decision, AnnounceDecision::Propose(_)));
    for _ in 0..10 {
        replica.advance(Duration::from_millis(1_500));
        assert_eq!(announce(&mut replica, &odd), AnnounceDecision::Contested);
        assert_eq!(announce(&mut replica, &server), AnnounceDecision::Unchanged);
        let FleetUpdate::Whole(view) = replica.follow().update else {
            panic!("the whole state is due");
        };
        assert_eq!(view.servers.get("s1"), Some(&server));
    }
}

/// A replica that got a snapshot still expected the incarnations that were listed before. It ignored the calls of a
/// server that had restarted meanwhile, and would have removed it as silent once it was the leader.
#[test]
fn a_server_that_restarted_before_a_snapshot_is_not_silent() {
    let now = Instant::now();
    let mut table = LivenessTable::new();
    for (id, born) in [("s1", 1_000), ("s2", 1_000)] {
        table.record_server(now, id, born, Duration::ZERO);
        table.set_listed(now, id, born);
    }
    let restarted = support::server("s1", 2_000, Duration::ZERO);
    table.set_all_listed(now, [&restarted].into_iter());
    let later = now + Duration::from_secs(2);
    for id in ["s1", "s2"] {
        table.record_server(later, id, 2_000, Duration::ZERO);
        assert_eq!(table.last_seen(id, 2_000), Some(later), "{id}");
    }
    table.record_server(later, "s1", 3_000, Duration::ZERO);
    assert_eq!(table.last_seen("s1", 2_000), Some(later));
}
