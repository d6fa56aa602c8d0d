//! Lifecycle of a process of stand-in backend servers: start, stop signal and drain.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use signal_hook::consts::{SIGINT, SIGTERM};
use tokio::net::TcpListener;

use crate::backend::announce::{self, AnnounceSettings};
use crate::backend::control::ControlEndpoint;
use crate::backend::request_counts::RequestCounts;
use crate::backend::serve;
use crate::backend::server::StandinServer;
use crate::backend::settings::BackendSettings;
use crate::error::StandinError;

/// Interval at which the stop signal and the requests in flight are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time without any request in flight after which a draining process exits.
const DRAIN_IDLE_TIME: Duration = Duration::from_millis(500);

/// Runs the servers until SIGTERM or SIGINT, then drains them.
///
/// # Errors
///
/// Fails if a signal handler can't be registered or an address can't be bound.
pub async fn run(settings: BackendSettings) -> Result<(), StandinError> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    let counts = Arc::new(RequestCounts::default());
    let servers = start_servers(&settings, &counts).await?;
    let control = TcpListener::bind(settings.control).await?;
    let endpoint = ControlEndpoint {
        servers: Arc::new(servers.clone()),
        counts,
    };
    task::spawn(endpoint.serve(control));
    log::info!(
        target: "standin",
        "started {} backend servers of service {}",
        servers.len(),
        settings.service
    );
    while !stop.load(Ordering::Acquire) {
        task::sleep(POLL_INTERVAL).await;
    }
    drain(&servers, settings.drain_bound).await;
    Ok(())
}

async fn start_servers(
    settings: &BackendSettings,
    counts: &Arc<RequestCounts>,
) -> Result<Vec<Arc<StandinServer>>, StandinError> {
    let announce_settings = AnnounceSettings {
        entries: settings.entries.clone(),
        token: settings.announce_token.clone(),
        ttl: settings.ttl,
    };
    let mut servers = Vec::new();
    for zone in &settings.zones {
        for _ in 0..settings.servers {
            let index = servers.len();
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            let address: SocketAddr = listener.local_addr()?;
            let server = Arc::new(StandinServer::new(
                index,
                (&settings.service, zone),
                address,
                settings.work.clone(),
                counts.clone(),
                settings.seed.wrapping_add(index as u64),
            ));
            task::spawn(serve::serve(server.clone(), listener));
            task::spawn(announce::announce(
                server.clone(),
                announce_settings.clone(),
            ));
            servers.push(server);
        }
    }
    Ok(servers)
}

/// Sheds new requests, and waits until no request has been in flight for [`DRAIN_IDLE_TIME`] or
/// until `timeout` has passed.
async fn drain(servers: &[Arc<StandinServer>], timeout: Duration) {
    for server in servers {
        server.drain();
    }
    let start = Instant::now();
    let mut idle_since = start;
    while start.elapsed() < timeout && idle_since.elapsed() < DRAIN_IDLE_TIME {
        task::sleep(POLL_INTERVAL).await;
        if servers.iter().any(|server| server.in_flight() > 0) {
            idle_since = Instant::now();
        }
    }
    let left: usize = servers.iter().map(|server| server.in_flight()).sum();
    log::info!(target: "standin", "drain ended with {left} requests in flight; exiting");
}
