//! A process of stand-in backend servers, from start to exit.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use signal_hook::consts::{SIGINT, SIGTERM};
use tokio::net::TcpListener;

use crate::backend::announce::{self, AnnouncePlan};
use crate::backend::control::ControlEndpoint;
use crate::backend::run_log::RunLog;
use crate::backend::serve;
use crate::backend::server::StandinServer;
use crate::backend::settings::BackendSettings;
use crate::error::StandinError;

/// Pause between two looks at the signal and at what is in flight.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Time without a request in flight after which a drained process ends.
const QUIET_TIME: Duration = Duration::from_millis(500);

/// Runs the servers until SIGTERM, then drains them.
///
/// # Errors
///
/// Fails where an address can't be bound.
pub async fn run(settings: BackendSettings) -> Result<(), StandinError> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    let log = Arc::new(RunLog::default());
    let servers = start_servers(&settings, &log).await?;
    let control = TcpListener::bind(settings.control).await?;
    let endpoint = ControlEndpoint {
        servers: Arc::new(servers.clone()),
        log,
    };
    task::spawn(endpoint.serve(control));
    log::info!(target: "standin", "{} servers of {} started", servers.len(), settings.service);
    while !stop.load(Ordering::Acquire) {
        task::sleep(LOOK_INTERVAL).await;
    }
    drain(&servers, settings.drain_bound).await;
    Ok(())
}

async fn start_servers(
    settings: &BackendSettings,
    log: &Arc<RunLog>,
) -> Result<Vec<Arc<StandinServer>>, StandinError> {
    let plan = AnnouncePlan {
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
                log.clone(),
                settings.seed.wrapping_add(index as u64),
            ));
            task::spawn(serve::serve(server.clone(), listener));
            task::spawn(announce::announce(server.clone(), plan.clone()));
            servers.push(server);
        }
    }
    Ok(servers)
}

/// Sheds new requests and waits until nothing has been in flight for a while.
async fn drain(servers: &[Arc<StandinServer>], bound: Duration) {
    for server in servers {
        server.drain();
    }
    let start = Instant::now();
    let mut quiet_since = start;
    while start.elapsed() < bound && quiet_since.elapsed() < QUIET_TIME {
        task::sleep(LOOK_INTERVAL).await;
        if servers.iter().any(|server| server.in_flight() > 0) {
            quiet_since = Instant::now();
        }
    }
    let left: usize = servers.iter().map(|server| server.in_flight()).sum();
    log::info!(target: "standin", "drained with {left} requests in flight");
}
