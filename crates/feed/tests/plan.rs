//! Order in which an entry host tries the sources of the state.
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
        .map(|number| format!("10.0.1.{number}:7000").parse().unwrap())
        .collect()
}

#[test]
fn few_hosts_all_prefer_the_control_replicas_and_have_all_other_hosts_as_sources() {
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
fn only_the_root_hosts_of_each_zone_prefer_the_control_replicas_with_many_hosts() {
    let state = state(400);
    let mut followers = std::collections::HashMap::new();
    for host in 0..400 {
        let sources = SourcePlan::new(format!("e{host:04}"), controls()).sources(&state);
        *followers.entry(sources[0]).or_insert(0) += 1;
    }
    let direct: usize = controls()
        .iter()
        .filter_map(|control| followers.get(control))
        .sum();
    assert_eq!(direct, 2 * SourcePlan::ROOTS_PER_ZONE);
    assert!(followers
        .values()
        .all(|count| *count <= SourcePlan::FAN_OUT));
}

#[test]
fn a_host_without_state_has_only_the_control_replicas_as_sources() {
    let sources = SourcePlan::new("e1", controls()).sources(&ForceState::default());
    assert_eq!(sources.len(), 5);
}
