//! Addresses, times and names of headers.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use balance::settings::BalanceSettings;
use http::header::HeaderName;

/// Names of the headers that a deployment uses beyond the standard ones.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of one attempt of a client; backend servers repeat it.
    pub request_id: HeaderName,
    /// Milliseconds that the client waits, or a backend server has.
    pub deadline: HeaderName,
    /// Object that a request is about.
    pub object: HeaderName,
    /// Id of the only backend server that may run the request.
    pub target: HeaderName,
    /// Signature of a backend server's answer.
    pub signature: HeaderName,
    /// Says that the backend server didn't run the request.
    pub not_run: HeaderName,
    /// Running and waiting requests and slots of a backend server.
    pub load: HeaderName,
}

/// Settings of an entry host.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// What the balancer needs, with the host's name and zone.
    pub balance: BalanceSettings,
    /// Where clients connect.
    pub clients: SocketAddr,
    /// Where the control replicas may be found first.
    pub seeds: Vec<SocketAddrV4>,
    /// Names of headers.
    pub headers: HeaderNames,
    /// Time that a planned stop may take.
    pub grace: Duration,
}
