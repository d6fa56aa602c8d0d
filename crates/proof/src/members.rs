//! The control replicas, entry hosts and stand-in backend servers of a cluster.

use std::net::SocketAddr;
use std::time::Duration;

use crate::error::ProofError;
use crate::http::HttpCall;
use crate::process::ProofProcess;

/// Timeout of the start of one process.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// All processes of a cluster.
#[derive(Debug)]
pub(crate) struct ClusterMembers {
    pub(crate) replicas: Vec<ControlReplica>,
    pub(crate) hosts: Vec<EntryHost>,
    pub(crate) standins: Vec<BackendStandin>,
}

impl ClusterMembers {
    /// Waits until every process answers `GET /health` with status 200.
    pub(crate) fn wait_health(&mut self) -> Result<(), ProofError> {
        let replicas = self.replicas.iter_mut();
        let replicas = replicas.map(|replica| (&mut replica.process, replica.operators));
        let hosts = self.hosts.iter_mut();
        let hosts = hosts.map(|host| (&mut host.process, host.callers));
        let standins = self.standins.iter_mut();
        let standins = standins.map(|standin| (&mut standin.process, standin.control));
        for (process, address) in replicas.chain(hosts).chain(standins) {
            process.wait_start(address, START_TIMEOUT)?;
        }
        Ok(())
    }
}

/// A control replica.
#[derive(Debug)]
pub struct ControlReplica {
    /// Process of the replica.
    pub process: ProofProcess,
    /// Address for the other processes of the system.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

/// An entry host.
#[derive(Debug)]
pub struct EntryHost {
    /// Process of the host.
    pub process: ProofProcess,
    /// Availability zone.
    pub zone: String,
    /// Address for callers and backend servers.
    pub callers: SocketAddr,
    /// Address for the other processes of the system.
    pub peers: SocketAddr,
}

/// A process that hosts stand-in backend servers of one service in one availability zone.
#[derive(Debug)]
pub struct BackendStandin {
    /// Process that hosts the servers.
    pub process: ProofProcess,
    /// Service that the servers run.
    pub service: String,
    /// Priority class of the service.
    pub class: String,
    /// Availability zone of the servers.
    pub zone: String,
    /// Address of the control endpoint, which injects faults and returns request counts.
    pub control: SocketAddr,
}

impl EntryHost {
    /// Returns the revision in force on the host, or `None` if the host does not answer.
    pub fn revision(&self) -> Option<u64> {
        let call = HttpCall::get(self.callers, "/ready").bound(Duration::from_secs(1));
        call.send().ok()?.json().ok()?["revision"].as_u64()
    }

    /// Returns whether the host accepts new requests, by the status of `GET /ready`.
    pub fn is_ready(&self) -> bool {
        let call = HttpCall::get(self.callers, "/ready").bound(Duration::from_secs(1));
        call.send().is_ok_and(|answer| answer.status == 200)
    }
}

impl BackendStandin {
    /// Returns a JSON list of the control endpoint, such as `/control/servers`.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub fn list(&self, path: &str) -> Result<serde_json::Value, ProofError> {
        HttpCall::get(self.control, path).send()?.json()
    }

    /// Returns how many times the servers of the stand-in ran requests with an idempotency key.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub fn runs(&self, key: &str) -> Result<u64, ProofError> {
        Ok(self.list("/control/runs")?[key].as_u64().unwrap_or(0))
    }
}
