//! Which sources a host follows.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::net::SocketAddr;

use feed::plan::SourcePlan;
use model::raw::RawTicket;
use model::state::ForceState;
use model::ticket::ChangeTicket;

fn state(hosts: usize) -> ForceState {
    let mut text = "number = 1\n[region.r]\nzones = [\"z-a\", \"z-b\"]\ncap = 9.0\n".to_string();
    for host in 0..hosts {
        let zone = if host % 2 == 0 { "z-a" } else { "z-b" };
        text += &format!(
            "[host.e{host:04}]\nzone = \"{zone}\"\ncallers = \"10.0.0.1:{}\"\npeers = \"10.0.0.2:{}\"\n",
            host + 1,
            host + 1
        );
    }
    let mut state = ForceState::default();
    state.apply(&ChangeTicket::try_from(RawTicket::from_toml(&text).unwrap()).unwrap());
    state
}

fn controls() -> Vec<SocketAddr> {
    (1..=5)
        .map(|n| format!("10.0.1.{n}:7000").parse().unwrap())
        .collect()
}

#[test]
fn few_hosts_all_follow_control_replicas_first_and_know_every_other_host() {
    let state = state(10);
    for host in 0..10 {
        let sources = SourcePlan::new(format!("e{host:04}"), controls()).sources(&state);
        assert!(sources[..5]
            .iter()
            .all(|source| controls().contains(source)));
        assert_eq!(sources.len(), 5 + 9);
    }
}

#[test]
fn many_hosts_load_control_replicas_with_the_heads_of_each_zone_alone() {
    let state = state(400);
    let mut followers = std::collections::HashMap::new();
    for host in 0..400 {
        let sources = SourcePlan::new(format!("e{host:04}"), controls()).sources(&state);
        *followers.entry(sources[0]).or_insert(0) += 1;
    }
    let direct: usize = controls().iter().filter_map(|c| followers.get(c)).sum();
    assert_eq!(direct, 2 * SourcePlan::ZONE_HEADS);
    assert!(followers
        .values()
        .all(|count| *count <= SourcePlan::FAN_OUT));
}

#[test]
fn a_host_without_state_follows_the_control_replicas() {
    let sources = SourcePlan::new("e1", controls()).sources(&ForceState::default());
    assert_eq!(sources.len(), 5);
}
