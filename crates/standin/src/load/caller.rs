//! How callers send: which entry host they use, and when they send again.

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

/// Time past the deadline after which a caller gives up on an answer.
const PATIENCE: Duration = Duration::from_secs(1);

/// Bound on a look-up of entry hosts.
const LOOKUP_BOUND: Duration = Duration::from_secs(1);

/// Hosts of a list that a caller tries.
const MAX_TRIES: usize = 2;

/// An entry host in the answer of a look-up.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct HostWord {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub address: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct LookupWord {
    hosts: Vec<HostWord>,
}

#[derive(Debug, Clone)]
struct CachedList {
    hosts: Vec<HostWord>,
    until: Instant,
}

/// What is sent for one request, the same at each try.
#[derive(Debug, Clone)]
pub struct LoadRequest {
    /// Method.
    pub method: Method,
    /// Path with the service's prefix.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// Identity, and key or mark.
    pub id: String,
    /// Time that it may take.
    pub deadline: Duration,
}

impl LoadRequest {
    /// Plans a request to a service.
    pub fn new(service: &ServiceModel, id: &str) -> Self {
        let (method, kind) = match service.class {
            model::spec::ServiceClass::Read => (Method::GET, "read"),
            model::spec::ServiceClass::Write => (Method::POST, "entry"),
            model::spec::ServiceClass::Bulk => (Method::PUT, "upload"),
        };
        let filling = digest::request_digest("body", id, b"");
        Self {
            method,
            path: format!("/s/{}/{kind}/{id}", service.name),
            body: digest::answer_body(filling, service.request_bytes),
            id: id.to_string(),
            deadline: service.deadline,
        }
    }

    /// Tells whether it must run at most once.
    pub fn is_once(&self) -> bool {
        self.method == Method::POST
    }

    /// Returns what its caller expects of the answer.
    pub fn expected(&self) -> ExpectedAnswer {
        ExpectedAnswer {
            request_id: self.id.clone(),
            digest: digest::request_digest(self.method.as_str(), &self.path, &self.body),
        }
    }

    /// Writes the request for one try.
    ///
    /// # Errors
    ///
    /// Fails where it is no HTTP request.
    pub fn write(
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
        if self.is_once() {
            builder = builder.header(KEY_HEADER, &self.id);
        } else if self.method == Method::PUT {
            builder = builder.header(digest::MARK_HEADER, &self.id);
        }
        builder.body(Full::new(self.body.clone()))
    }
}

/// Callers of every zone, who share connections.
#[derive(Debug)]
pub struct CallerPool {
    client: HttpClient,
    entries: Vec<SocketAddr>,
    lists: Mutex<HashMap<String, CachedList>>,
}

impl CallerPool {
    /// Creates callers that know some entry hosts to begin with.
    pub fn new(entries: Vec<SocketAddr>, connections: usize) -> Self {
        Self {
            client: HttpClient::new(connections),
            entries,
            lists: Mutex::default(),
        }
    }

    /// Sends a request by way of the entry hosts that the system names, at most to two of them.
    pub async fn send(&self, zone: &str, request: &LoadRequest) -> (LoadOutcome, bool) {
        let hosts = self.hosts(zone).await;
        let mut last = LoadOutcome::Failed;
        for (turn, host) in hosts.iter().take(MAX_TRIES).enumerate() {
            last = self.send_to(host.address, &host.zone, request).await;
            if !is_worth_a_resend(&last) {
                return (last, turn > 0);
            }
        }
        (last, hosts.len() > 1)
    }

    /// Sends a request to one address.
    pub async fn send_to(
        &self,
        address: SocketAddr,
        from: &str,
        request: &LoadRequest,
    ) -> LoadOutcome {
        let Ok(written) = request.write(address, from) else {
            return LoadOutcome::Failed;
        };
        let bound = request.deadline + PATIENCE;
        let result = self.client.call(address, written, bound).await;
        request.expected().judge(result.as_ref())
    }

    /// Returns the entry hosts for a zone, from the kept answer while it is fresh.
    pub async fn hosts(&self, zone: &str) -> Vec<HostWord> {
        let kept = self.kept(zone);
        if let Some(list) = &kept {
            if list.until > Instant::now() {
                return list.hosts.clone();
            }
        }
        let known = kept.as_ref().map(|list| list.hosts.clone());
        let known = known.unwrap_or_default();
        let named = known.iter().map(|host| host.address);
        for address in named.chain(self.entries.iter().copied()) {
            if let Some(list) = self.ask(address, zone).await {
                let hosts = list.hosts.clone();
                let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
                lists.insert(zone.to_string(), list);
                return hosts;
            }
        }
        known
    }

    fn kept(&self, zone: &str) -> Option<CachedList> {
        let lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
        lists.get(zone).cloned()
    }

    async fn ask(&self, address: SocketAddr, zone: &str) -> Option<CachedList> {
        let request = Request::get(format!("/v1/entry-hosts?zone={zone}"))
            .header(header::HOST, address.to_string())
            .body(Full::new(Bytes::new()))
            .ok()?;
        let answer = self
            .client
            .call(address, request, LOOKUP_BOUND)
            .await
            .ok()?;
        let word: LookupWord = serde_json::from_slice(&answer.body).ok()?;
        if word.hosts.is_empty() {
            return None;
        }
        let age = max_age(answer.header("cache-control"));
        Some(CachedList {
            hosts: word.hosts,
            until: Instant::now() + age,
        })
    }
}

/// Reads the time for which an answer may be kept; 0 where it says none.
fn max_age(value: &str) -> Duration {
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("max-age="))
        .and_then(|text| text.parse().ok());
    Duration::from_secs(seconds.unwrap_or(0))
}

/// Tells whether the second host may do better: the first one failed, or takes no work.
fn is_worth_a_resend(outcome: &LoadOutcome) -> bool {
    match outcome {
        LoadOutcome::Broken | LoadOutcome::Failed | LoadOutcome::Unknown(_) => true,
        LoadOutcome::NotRun(reason) => reason == "not-ready" || reason == "stopping",
        LoadOutcome::Answered | LoadOutcome::Cut | LoadOutcome::Crossed => false,
    }
}
