//! Access to the control replicas, entry hosts and stand-ins of the cluster under load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::task;
use bytes::Bytes;
use futures_util::future;
use http::{header, Method, Request, StatusCode};
use http_body_util::Full;
use model::raw::RawTicket;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::backend::fault::RawFault;
use crate::backend::server::ServerStatus;
use crate::client::{CompleteAnswer, HttpClient};
use crate::error::StandinError;
use crate::load::headroom::ProcessCounts;
use crate::load::ticket::ClusterHost;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a ticket's verdict, and of the wait until the ticket is in force.
const TICKET_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between submissions of a ticket, and between checks whether it is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A client of the cluster under load.
#[derive(Debug)]
pub struct LoadCluster {
    /// Operator addresses of the control replicas.
    pub controls: Vec<SocketAddr>,
    /// Entry hosts of the cluster.
    pub hosts: Vec<ClusterHost>,
    /// Addresses of the stand-ins' control endpoints.
    pub standins: Vec<SocketAddr>,
    token: String,
    client: HttpClient,
}

impl LoadCluster {
    /// Creates a client; `token` is the access token for operators.
    pub fn new(
        controls: Vec<SocketAddr>,
        hosts: Vec<ClusterHost>,
        standins: Vec<SocketAddr>,
        token: String,
    ) -> Self {
        Self {
            controls,
            hosts,
            standins,
            token,
            client: HttpClient::new(2),
        }
    }

    /// Submits a ticket until its verdict is known, and returns the revision that it created.
    ///
    /// # Errors
    ///
    /// Fails if the ticket is rejected, or no verdict arrives within the timeout.
    pub async fn submit(&self, ticket: &RawTicket) -> Result<u64, StandinError> {
        let path = format!("/v1/tickets/{}", ticket.number);
        let body = Bytes::from(serde_json::to_vec(ticket).unwrap_or_default());
        let start = Instant::now();
        while start.elapsed() < TICKET_TIMEOUT {
            for control in &self.controls {
                let answer = self.call(*control, Method::PUT, &path, body.clone()).await;
                let Ok(answer) = answer else { continue };
                if answer.head.status == StatusCode::OK {
                    let verdict: Value = parse_json(&answer)?;
                    return Ok(verdict["revision"].as_u64().unwrap_or(0));
                }
                if !answer.head.status.is_server_error() {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    let number = ticket.number;
                    return Err(StandinError::Scenario(format!(
                        "ticket {number} was rejected: {text}"
                    )));
                }
            }
            task::sleep(POLL_INTERVAL).await;
        }
        Err(StandinError::Scenario(format!(
            "no verdict on ticket {} within {TICKET_TIMEOUT:?}",
            ticket.number
        )))
    }

    /// Waits until every entry host has at least a revision in force, and returns how long that
    /// took.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than the timeout.
    pub async fn wait_in_force(&self, revision: u64) -> Result<Duration, StandinError> {
        let start = Instant::now();
        let waits = self.hosts.iter().map(|host| async move {
            while start.elapsed() < TICKET_TIMEOUT {
                let path = "/ready";
                let status = self.call(host.callers, Method::GET, path, Bytes::new());
                let status = status.await.ok().and_then(|a| parse_json::<Value>(&a).ok());
                let current = status.and_then(|status| status["revision"].as_u64());
                if current.is_some_and(|current| current >= revision) {
                    return true;
                }
                task::sleep(POLL_INTERVAL).await;
            }
            false
        });
        if future::join_all(waits).await.into_iter().all(|done| done) {
            return Ok(start.elapsed());
        }
        Err(StandinError::Scenario(format!(
            "revision {revision} is not in force on every entry host within {TICKET_TIMEOUT:?}"
        )))
    }

    /// Returns the status of all servers, grouped by stand-in.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in does not answer.
    pub async fn servers(&self) -> Result<Vec<Vec<ServerStatus>>, StandinError> {
        let mut all = Vec::new();
        for standin in &self.standins {
            all.push(self.get(*standin, "/control/servers").await?);
        }
        Ok(all)
    }

    /// Returns the servers and traffic counts of every stand-in.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in does not answer.
    pub async fn counts(&self) -> Result<Vec<ProcessCounts>, StandinError> {
        let mut all = Vec::new();
        for standin in &self.standins {
            all.push(ProcessCounts {
                servers: self.get(*standin, "/control/servers").await?,
                windows: self.get(*standin, "/control/windows").await?,
            });
        }
        Ok(all)
    }

    /// Returns the number of executions by key, summed over all stand-ins.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in does not answer.
    pub async fn runs(&self) -> Result<BTreeMap<String, u64>, StandinError> {
        let mut all = BTreeMap::new();
        for standin in &self.standins {
            let runs: BTreeMap<String, u64> = self.get(*standin, "/control/runs").await?;
            for (key, count) in runs {
                *all.entry(key).or_default() += count;
            }
        }
        Ok(all)
    }

    /// Deletes the traffic counts and resets the warm-up of every server.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in does not answer.
    pub async fn reset_servers(&self) -> Result<(), StandinError> {
        for standin in &self.standins {
            for path in ["/control/clear", "/control/cool"] {
                self.call(*standin, Method::POST, path, Bytes::new())
                    .await?;
            }
        }
        Ok(())
    }

    /// Sends a fault command to the stand-ins of a service, or to all stand-ins if `service` is
    /// `None`.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in does not answer.
    pub async fn inject_fault(
        &self,
        service: Option<&str>,
        command: &RawFault,
    ) -> Result<(), StandinError> {
        let body = Bytes::from(serde_json::to_vec(command).unwrap_or_default());
        for (standin, servers) in self.standins.iter().zip(self.servers().await?) {
            let standin_service = servers.first().map(|server| server.service.as_str());
            if service.is_none() || service == standin_service {
                self.call(*standin, Method::POST, "/control", body.clone())
                    .await?;
            }
        }
        Ok(())
    }

    async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, StandinError> {
        let answer = self.call(address, Method::GET, path, Bytes::new()).await?;
        parse_json(&answer)
    }

    async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<CompleteAnswer, StandinError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, address.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| {
                StandinError::Scenario(format!("cannot build the request for {path}: {e}"))
            })?;
        Ok(self.client.call(address, request, CALL_TIMEOUT).await?)
    }
}

fn parse_json<T: DeserializeOwned>(answer: &CompleteAnswer) -> Result<T, StandinError> {
    serde_json::from_slice(&answer.body)
        .map_err(|e| StandinError::Scenario(format!("cannot parse the JSON of an answer: {e}")))
}
