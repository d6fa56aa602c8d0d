//! Order in which an entry host calls the control replicas: those nearby first.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future;
use rand::seq::SliceRandom;
use rand::Rng;
use tokio::net::TcpStream;

/// Round trip below which a replica counts as nearby. A round trip within a region takes a few
/// milliseconds, and one to another region takes tens.
const NEAR_ROUND_TRIP: Duration = Duration::from_millis(12);

/// Time limit of a measurement.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Orders replicas by whether they are nearby, and at random among these, so that the hosts of a region
/// spread over its replicas. `round_trips` has the round trip to each replica; `None` if it didn't
/// answer.
///
/// `current` stays first if it is nearby or no replica is.
pub fn order(
    round_trips: &[(SocketAddr, Option<Duration>)],
    current: Option<SocketAddr>,
    random: &mut impl Rng,
) -> Vec<SocketAddr> {
    let is_near = |round_trip: Option<Duration>| round_trip.is_some_and(|it| it < NEAR_ROUND_TRIP);
    let near = round_trips.iter().filter(|(_, it)| is_near(*it));
    let far = round_trips.iter().filter(|(_, it)| !is_near(*it));
    let mut near: Vec<_> = near.map(|(replica, _)| *replica).collect();
    let mut far: Vec<_> = far.map(|(replica, _)| *replica).collect();
    near.shuffle(random);
    far.shuffle(random);
    let first = if near.is_empty() { &mut far } else { &mut near };
    if let Some(position) = first.iter().position(|replica| Some(*replica) == current) {
        first.swap(0, position);
    }
    near.extend(far);
    near
}

/// Measures the round trip to each replica by the time that a connection takes to open.
pub async fn measure(replicas: &[SocketAddr]) -> Vec<(SocketAddr, Option<Duration>)> {
    let probes = replicas.iter().map(|replica| async {
        let started_at = Instant::now();
        let connected = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(*replica)).await;
        let round_trip = matches!(connected, Ok(Ok(_))).then(|| started_at.elapsed());
        (*replica, round_trip)
    });
    future::join_all(probes).await
}
