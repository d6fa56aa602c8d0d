//! The cluster under load: its replicas, entry hosts and stand-ins.

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
use crate::backend::server::ServerWord;
use crate::client::{HttpClient, WholeAnswer};
use crate::error::StandinError;
use crate::load::headroom::ProcessCounts;
use crate::load::ticket::ClusterHost;

/// Bound on one call.
const CALL_BOUND: Duration = Duration::from_secs(5);

/// Bound on a ticket's verdict, and on its coming into force.
const TICKET_BOUND: Duration = Duration::from_secs(30);

/// Pause between two looks at where a ticket is in force.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// The cluster under load.
#[derive(Debug)]
pub struct LoadCluster {
    /// Operator addresses of the replicas.
    pub controls: Vec<SocketAddr>,
    /// Entry hosts.
    pub hosts: Vec<ClusterHost>,
    /// Control addresses of the stand-ins.
    pub standins: Vec<SocketAddr>,
    token: String,
    client: HttpClient,
}

impl LoadCluster {
    /// Creates the view of a cluster.
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

    /// Submits a ticket until its verdict is known, and returns the revision that it made.
    ///
    /// # Errors
    ///
    /// Fails where it is refused, or no verdict comes within the bound.
    pub async fn submit(&self, ticket: &RawTicket) -> Result<u64, StandinError> {
        let path = format!("/v1/tickets/{}", ticket.number);
        let body = Bytes::from(serde_json::to_vec(ticket).unwrap_or_default());
        let start = Instant::now();
        while start.elapsed() < TICKET_BOUND {
            for control in &self.controls {
                let answer = self.call(*control, Method::PUT, &path, body.clone()).await;
                let Ok(answer) = answer else { continue };
                if answer.head.status == StatusCode::OK {
                    let verdict: Value = read(&answer)?;
                    return Ok(verdict["revision"].as_u64().unwrap_or(0));
                }
                if !answer.head.status.is_server_error() {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    let number = ticket.number;
                    return Err(StandinError::Scenario(format!(
                        "ticket {number} was refused: {text}"
                    )));
                }
            }
            task::sleep(LOOK_INTERVAL).await;
        }
        Err(StandinError::Scenario(format!(
            "no verdict on ticket {} in time",
            ticket.number
        )))
    }

    /// Waits until a revision is in force on every entry host, and returns the time it took.
    ///
    /// # Errors
    ///
    /// Fails where that takes longer than the bound.
    pub async fn wait_in_force(&self, revision: u64) -> Result<Duration, StandinError> {
        let start = Instant::now();
        let waits = self.hosts.iter().map(|host| async move {
            while start.elapsed() < TICKET_BOUND {
                let path = "/ready";
                let status = self.call(host.callers, Method::GET, path, Bytes::new());
                let status = status.await.ok().and_then(|a| read::<Value>(&a).ok());
                let held = status.and_then(|status| status["revision"].as_u64());
                if held.is_some_and(|held| held >= revision) {
                    return true;
                }
                task::sleep(LOOK_INTERVAL).await;
            }
            false
        });
        if future::join_all(waits).await.into_iter().all(|done| done) {
            return Ok(start.elapsed());
        }
        Err(StandinError::Scenario(format!(
            "revision {revision} is not in force everywhere within {TICKET_BOUND:?}"
        )))
    }

    /// Returns the servers of every stand-in.
    ///
    /// # Errors
    ///
    /// Fails where a stand-in doesn't answer.
    pub async fn servers(&self) -> Result<Vec<Vec<ServerWord>>, StandinError> {
        let mut all = Vec::new();
        for standin in &self.standins {
            all.push(self.get(*standin, "/control/servers").await?);
        }
        Ok(all)
    }

    /// Returns the counts of every stand-in.
    ///
    /// # Errors
    ///
    /// Fails where a stand-in doesn't answer.
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

    /// Returns the runs by key over all stand-ins.
    ///
    /// # Errors
    ///
    /// Fails where a stand-in doesn't answer.
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

    /// Clears the counts of windows and makes every server cold.
    ///
    /// # Errors
    ///
    /// Fails where a stand-in doesn't answer.
    pub async fn clear(&self) -> Result<(), StandinError> {
        for standin in &self.standins {
            for path in ["/control/clear", "/control/cool"] {
                self.call(*standin, Method::POST, path, Bytes::new())
                    .await?;
            }
        }
        Ok(())
    }

    /// Orders a fault of the stand-ins of a service; absent, of all.
    ///
    /// # Errors
    ///
    /// Fails where a stand-in doesn't answer.
    pub async fn order(&self, service: Option<&str>, order: &RawFault) -> Result<(), StandinError> {
        let body = Bytes::from(serde_json::to_vec(order).unwrap_or_default());
        for (standin, servers) in self.standins.iter().zip(self.servers().await?) {
            let own = servers.first().map(|server| server.service.as_str());
            if service.is_none() || service == own {
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
        read(&answer)
    }

    async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<WholeAnswer, StandinError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, address.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| StandinError::Scenario(e.to_string()))?;
        Ok(self.client.call(address, request, CALL_BOUND).await?)
    }
}

fn read<T: DeserializeOwned>(answer: &WholeAnswer) -> Result<T, StandinError> {
    serde_json::from_slice(&answer.body)
        .map_err(|e| StandinError::Scenario(format!("an answer can't be read: {e}")))
}
