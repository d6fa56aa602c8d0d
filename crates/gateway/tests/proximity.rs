//! Order in which an entry host calls the control replicas.
#![allow(missing_docs, clippy::unwrap_used)]

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use gateway::proximity;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use rstest::rstest;

fn replica(number: u16) -> SocketAddr {
    ([10, 0, 0, 1], number).into()
}

/// Returns the measurements of the replicas 1, 2, …, in milliseconds; `None` without an answer.
fn measured(millis: &[Option<u64>]) -> Vec<(SocketAddr, Option<Duration>)> {
    let numbered = (1..).zip(millis);
    let measured = numbered.map(|(number, it)| (replica(number), it.map(Duration::from_millis)));
    measured.collect()
}

#[rstest]
#[case::nearby_goes_first(&[Some(40), Some(2), Some(41)], 1, 2)]
#[case::nearby_stays(&[Some(2), Some(1), Some(40)], 1, 1)]
#[case::none_is_nearby(&[Some(40), Some(41), Some(42)], 3, 3)]
#[case::nearby_is_silent(&[Some(40), None, Some(42)], 1, 1)]
fn the_current_replica_changes_only_for_a_nearby_one(
    #[case] millis: &[Option<u64>],
    #[case] current: u16,
    #[case] first: u16,
) {
    for seed in 0..20 {
        let mut random = SmallRng::seed_from_u64(seed);
        let round_trips = measured(millis);
        let order = proximity::order(&round_trips, Some(replica(current)), &mut random);
        assert_eq!(order[0], replica(first));
        assert_eq!(order.len(), millis.len());
    }
}

/// All hosts of a region follow its replicas; these must share them.
#[test]
fn hosts_spread_over_the_nearby_replicas_and_then_over_the_others() {
    let round_trips = measured(&[Some(1), Some(40), Some(2), Some(41), Some(42)]);
    let (mut firsts, mut thirds) = (HashSet::new(), HashSet::new());
    for seed in 0..50 {
        let mut random = SmallRng::seed_from_u64(seed);
        let order = proximity::order(&round_trips, None, &mut random);
        firsts.insert(order[0]);
        thirds.insert(order[2]);
    }
    assert_eq!(firsts, HashSet::from([replica(1), replica(3)]));
    assert_eq!(thirds, HashSet::from([replica(2), replica(4), replica(5)]));
}
