//! Announcement of servers to the entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use bytes::Bytes;
use http::header;
use http_body_util::Full;
use model::backend::RawAnnouncement;

use crate::backend::request_counts;
use crate::backend::server::StandinServer;
use crate::client::HttpClient;

/// Number of announcements that a server sends within one time to live.
const RENEWALS_PER_TTL: u32 = 3;

/// Timeout of one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Receivers and lifetime of a server's announcements.
#[derive(Debug, Clone)]
pub struct AnnounceSettings {
    /// Caller addresses of the entry hosts, which are used round robin.
    pub entries: Vec<SocketAddr>,
    /// Access token for announcements, or `None` if the entry hosts require none.
    pub token: Option<String>,
    /// Time to live of an announcement.
    pub ttl: Duration,
}

/// Announces a server periodically until it drains.
pub async fn announce(server: Arc<StandinServer>, settings: AnnounceSettings) {
    let client = HttpClient::new(1);
    let incarnation = request_counts::millis(request_counts::unix_time());
    let announcement = RawAnnouncement {
        service: server.service.clone(),
        address: server.address.to_string(),
        zone: server.zone.clone(),
        slots: server.work.slots,
        incarnation,
        ttl_ms: request_counts::millis(settings.ttl),
    };
    let body = Bytes::from(serde_json::to_vec(&announcement).unwrap_or_default());
    let mut next_entry = server.index;
    while !server.is_draining() && !settings.entries.is_empty() {
        // After a failure the next entry host is tried at once, each host at most once per renewal.
        for _ in 0..settings.entries.len() {
            let entry = settings.entries[next_entry % settings.entries.len()];
            next_entry += 1;
            if send(&client, entry, &settings, body.clone()).await {
                break;
            }
        }
        task::sleep(settings.ttl / RENEWALS_PER_TTL).await;
    }
}

/// Sends one announcement and returns whether the entry host accepted it.
async fn send(
    client: &HttpClient,
    entry: SocketAddr,
    settings: &AnnounceSettings,
    body: Bytes,
) -> bool {
    let mut builder = http::Request::post("/v1/announcements")
        .header(header::HOST, entry.to_string())
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(token) = &settings.token {
        builder = builder.header(header::AUTHORIZATION, format!("Bearer {token}"));
    }
    let Ok(request) = builder.body(Full::new(body)) else {
        return false;
    };
    match client.call(entry, request, ANNOUNCE_TIMEOUT).await {
        Ok(answer) if answer.head.status.is_success() => true,
        Ok(answer) => {
            let status = answer.head.status;
            log::debug!(
                target: "standin",
                "entry host {entry} refused the announcement ({status}); retrying with the next one"
            );
            false
        }
        Err(e) => {
            log::debug!(
                target: "standin",
                "announcement to entry host {entry} failed: {e}; retrying with the next one"
            );
            false
        }
    }
}
