//! Announces servers to entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use bytes::Bytes;
use http::header;
use http_body_util::Full;
use model::backend::RawAnnouncement;

use crate::backend::run_log;
use crate::backend::server::StandinServer;
use crate::client::HttpClient;

/// Renewals within one time to live.
const RENEWALS: u32 = 3;

/// Bound on one announcement.
const ANNOUNCE_BOUND: Duration = Duration::from_secs(1);

/// Where and how to announce.
#[derive(Debug, Clone)]
pub struct AnnouncePlan {
    /// Entry hosts, taken in turn.
    pub entries: Vec<SocketAddr>,
    /// Token, where entry hosts ask for one.
    pub token: Option<String>,
    /// Time to live of an announcement.
    pub ttl: Duration,
}

/// Announces a server until it drains.
pub async fn announce(server: Arc<StandinServer>, plan: AnnouncePlan) {
    let client = HttpClient::new(1);
    let incarnation = run_log::millis(run_log::unix_time());
    let word = RawAnnouncement {
        service: server.service.clone(),
        address: server.address.to_string(),
        zone: server.zone.clone(),
        slots: server.work.slots,
        incarnation,
        ttl_ms: run_log::millis(plan.ttl),
    };
    let body = Bytes::from(serde_json::to_vec(&word).unwrap_or_default());
    let mut turn = server.index;
    while !server.is_draining() && !plan.entries.is_empty() {
        // A host that fails is passed over at once, each at most once a renewal.
        for _ in 0..plan.entries.len() {
            let entry = plan.entries[turn % plan.entries.len()];
            turn += 1;
            if send(&client, entry, &plan, body.clone()).await {
                break;
            }
        }
        task::sleep(plan.ttl / RENEWALS).await;
    }
}

/// Sends one announcement and tells whether it was taken.
async fn send(client: &HttpClient, entry: SocketAddr, plan: &AnnouncePlan, body: Bytes) -> bool {
    let mut builder = http::Request::post("/v1/announcements")
        .header(header::HOST, entry.to_string())
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(token) = &plan.token {
        builder = builder.header(header::AUTHORIZATION, format!("Bearer {token}"));
    }
    let Ok(request) = builder.body(Full::new(body)) else {
        return false;
    };
    match client.call(entry, request, ANNOUNCE_BOUND).await {
        Ok(answer) if answer.head.status.is_success() => true,
        Ok(answer) => {
            let status = answer.head.status;
            log::debug!(target: "standin", "{entry} refused the announcement: {status}");
            false
        }
        Err(e) => {
            log::debug!(target: "standin", "{entry} took no announcement: {e}");
            false
        }
    }
}
