//! Callers under load: their choice of an entry host, and their retries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{header, Method, Request};
use http_body_util::Full;
use model::outcome::{DEADLINE_HEADER, KEY_HEADER, REQUEST_ID_HEADER};
use serde::Deserialize;

use crate::client::HttpClient;
use crate::digest;
use crate::load::deployment::ServiceModel;
use crate::load::outcome::{ExpectedAnswer, LoadOutcome};

/// Time past the deadline of a request during which a caller still waits for the answer.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Timeout of a look-up of entry hosts.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of entry hosts that a caller tries for one request.
const MAX_HOSTS_TRIED: usize = 2;

/// An entry host in the answer to a look-up.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListedHost {
    /// Name of the entry host.
    pub name: String,
    /// Availability zone of the entry host.
    pub zone: String,
    /// Address for callers.
    pub address: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct LookupAnswer {
    hosts: Vec<ListedHost>,
}

#[derive(Debug, Clone)]
struct CachedHosts {
    hosts: Vec<ListedHost>,
    expires: Instant,
}

/// The content of one request, which is the same in every attempt.
#[derive(Debug, Clone)]
pub struct LoadRequest {
    /// HTTP method, which follows from the class of the service.
    pub method: Method,
    /// Path with the prefix `/s/{service}`.
    pub path: String,
    /// Body of the request.
    pub body: Bytes,
    /// Request id; also the idempotency key of a POST, and the mark of a PUT.
    pub id: String,
    /// Time within which the answer is wanted.
    pub deadline: Duration,
}

impl LoadRequest {
    /// Creates the request with an id to a service.
    pub fn new(service: &ServiceModel, id: &str) -> Self {
        let (method, kind) = match service.class {
            model::spec::ServiceClass::Read => (Method::GET, "read"),
            model::spec::ServiceClass::Write => (Method::POST, "entry"),
            model::spec::ServiceClass::Bulk => (Method::PUT, "upload"),
        };
        let body_digest = digest::request_digest("body", id, b"");
        Self {
            method,
            path: format!("/s/{}/{kind}/{id}", service.name),
            body: digest::answer_body(body_digest, service.request_bytes),
            id: id.to_string(),
            deadline: service.deadline,
        }
    }

    /// Returns whether the request must run at most once.
    pub fn is_at_most_once(&self) -> bool {
        self.method == Method::POST
    }

    /// Returns the properties that identify the answer to the request.
    pub fn expected(&self) -> ExpectedAnswer {
        ExpectedAnswer {
            request_id: self.id.clone(),
            digest: digest::request_digest(self.method.as_str(), &self.path, &self.body),
        }
    }

    /// Builds the HTTP request of one attempt at `address` for a caller in the zone `from`.
    ///
    /// # Errors
    ///
    /// Fails if a part of the request is not valid in HTTP.
    pub fn to_http(
        &self,
        address: SocketAddr,
        from: &str,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header(header::HOST, address.to_string())
            .header(REQUEST_ID_HEADER, &self.id)
            .header(DEADLINE_HEADER, self.deadline.as_millis().to_string())
            .header(digest::FROM_HEADER, from);
        if self.is_at_most_once() {
            builder = builder.header(KEY_HEADER, &self.id);
        } else if self.method == Method::PUT {
            builder = builder.header(digest::MARK_HEADER, &self.id);
        }
        builder.body(Full::new(self.body.clone()))
    }
}

/// Callers of all zones, which share connections and cached look-up answers.
#[derive(Debug)]
pub struct CallerPool {
    client: HttpClient,
    entries: Vec<SocketAddr>,
    cache: Mutex<HashMap<String, CachedHosts>>,
}

impl CallerPool {
    /// Creates callers that send their first look-up to `entries`, and keep at most
    /// `max_idle_connections` idle connections per address.
    pub fn new(entries: Vec<SocketAddr>, max_idle_connections: usize) -> Self {
        Self {
            client: HttpClient::new(max_idle_connections),
            entries,
            cache: Mutex::default(),
        }
    }

    /// Sends a request to the entry hosts of the zone in order, until an outcome needs no retry or
    /// two hosts have been tried. Returns the last outcome, and whether the request was retried.
    pub async fn send(&self, zone: &str, request: &LoadRequest) -> (LoadOutcome, bool) {
        let hosts = self.hosts(zone).await;
        let mut last = LoadOutcome::Failed;
        for (index, host) in hosts.iter().take(MAX_HOSTS_TRIED).enumerate() {
            last = self.send_to(host.address, &host.zone, request).await;
            if !is_retryable(&last) {
                return (last, index > 0);
            }
        }
        (last, hosts.len() > 1)
    }

    /// Sends a request once to one address and classifies the answer.
    pub async fn send_to(
        &self,
        address: SocketAddr,
        from: &str,
        request: &LoadRequest,
    ) -> LoadOutcome {
        let Ok(http_request) = request.to_http(address, from) else {
            return LoadOutcome::Failed;
        };
        let timeout = request.deadline + ANSWER_GRACE;
        let result = self.client.call(address, http_request, timeout).await;
        request.expected().classify(result.as_ref())
    }

    /// Returns the entry hosts for callers of a zone. The list comes from the cache until it
    /// expires, and then from a new look-up. If every look-up fails, the expired list is returned.
    pub async fn hosts(&self, zone: &str) -> Vec<ListedHost> {
        let cached = self.cached_hosts(zone);
        if let Some(list) = &cached {
            if list.expires > Instant::now() {
                return list.hosts.clone();
            }
        }
        let known = cached.as_ref().map(|list| list.hosts.clone());
        let known = known.unwrap_or_default();
        let listed = known.iter().map(|host| host.address);
        for address in listed.chain(self.entries.iter().copied()) {
            if let Some(list) = self.look_up(address, zone).await {
                let hosts = list.hosts.clone();
                let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
                cache.insert(zone.to_string(), list);
                return hosts;
            }
        }
        known
    }

    fn cached_hosts(&self, zone: &str) -> Option<CachedHosts> {
        let cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cache.get(zone).cloned()
    }

    /// Asks the entry host at `address` for the entry hosts of a zone.
    async fn look_up(&self, address: SocketAddr, zone: &str) -> Option<CachedHosts> {
        let request = Request::get(format!("/v1/entry-hosts?zone={zone}"))
            .header(header::HOST, address.to_string())
            .body(Full::new(Bytes::new()))
            .ok()?;
        let answer = self
            .client
            .call(address, request, LOOKUP_TIMEOUT)
            .await
            .ok()?;
        let lookup: LookupAnswer = serde_json::from_slice(&answer.body).ok()?;
        if lookup.hosts.is_empty() {
            return None;
        }
        let age = max_age(answer.header("cache-control"));
        Some(CachedHosts {
            hosts: lookup.hosts,
            expires: Instant::now() + age,
        })
    }
}

/// Returns the `max-age` of a `cache-control` header, or zero if it has none.
fn max_age(value: &str) -> Duration {
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("max-age="))
        .and_then(|text| text.parse().ok());
    Duration::from_secs(seconds.unwrap_or(0))
}

/// Returns whether a retry at another entry host may succeed: the attempt failed or its outcome is
/// unknown, or the host accepts no new requests.
fn is_retryable(outcome: &LoadOutcome) -> bool {
    match outcome {
        LoadOutcome::Broken | LoadOutcome::Failed | LoadOutcome::Unknown(_) => true,
        LoadOutcome::NotRun(reason) => reason == "not-ready" || reason == "stopping",
        LoadOutcome::Answered | LoadOutcome::Cut | LoadOutcome::Crossed => false,
    }
}
