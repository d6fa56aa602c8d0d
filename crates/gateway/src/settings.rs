//! Addresses, times and names of headers.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use balance::settings::BalanceSettings;
use http::header::HeaderName;
use quota::terms::QuotaTerms;

/// Names of the non-standard headers that a deployment uses.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Request header with an id that is unique per attempt of a client; backend servers repeat it
    /// in the answer.
    pub request_id: HeaderName,
    /// Request header with the time until the deadline, in milliseconds.
    pub deadline: HeaderName,
    /// Request header that identifies the object that the request is about.
    pub object: HeaderName,
    /// Request header with the key of the caller's organisation.
    pub key: HeaderName,
    /// Request header in which backend servers get the name of the caller's organisation.
    pub organisation: HeaderName,
    /// Request header with the id of the only backend server that may run the request.
    pub target_server: HeaderName,
    /// Answer header with the signature of the backend server.
    pub signature: HeaderName,
    /// Answer header that is present if the backend server didn't run the request.
    pub not_run: HeaderName,
    /// Answer header with the running requests, queued requests and slots of the backend server,
    /// separated by commas.
    pub load: HeaderName,
    /// Answer header with the value 1 if the backend server is leaving.
    pub leaving: HeaderName,
    /// Answer header with the requests a second that the backend server takes from all entry hosts
    /// together.
    pub limit: HeaderName,
}

/// Settings of an entry host.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Settings of the balancer, with the name and the zone of the host.
    pub balance: BalanceSettings,
    /// Address on which the host accepts client connections.
    pub client_address: SocketAddr,
    /// Addresses of control replicas that the host calls before it knows the current ones.
    pub seeds: Vec<SocketAddrV4>,
    /// Names of headers.
    pub headers: HeaderNames,
    /// Longest time without a confirmed configuration for which this host serves known keys; `None` for no
    /// limit.
    pub max_key_age: Option<Duration>,
    /// Bytes of memory that the process may use.
    pub memory_limit: usize,
    /// The promise about quotas of organisations; `None` where there is none.
    pub quota: Option<QuotaTerms>,
    /// Time limit of a graceful shutdown.
    pub shutdown_timeout: Duration,
}
