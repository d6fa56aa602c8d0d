//! The processes of a cluster, by their roles.

use std::net::SocketAddr;
use std::time::Duration;

use crate::error::ProofError;
use crate::http::HttpCall;
use crate::process::ProofProcess;
use crate::wait;

/// Bound on the start of one process.
const START_BOUND: Duration = Duration::from_secs(15);

/// All processes of a cluster.
#[derive(Debug)]
pub(crate) struct ClusterMembers {
    pub(crate) replicas: Vec<ControlReplica>,
    pub(crate) hosts: Vec<EntryHost>,
    pub(crate) standins: Vec<BackendStandin>,
}

impl ClusterMembers {
    /// Waits until every running process answers on its `/health`.
    pub(crate) fn wait_health(&self) -> Result<(), ProofError> {
        let replicas = self
            .replicas
            .iter()
            .map(|r| (r.process.name(), r.operators, "/health"));
        let hosts = self
            .hosts
            .iter()
            .map(|h| (h.process.name(), h.callers, "/health"));
        let standins = self
            .standins
            .iter()
            .map(|s| (s.process.name(), s.control, "/health"));
        for (name, address, path) in replicas.chain(hosts).chain(standins) {
            wait::wait_until(&format!("{name}'s start"), START_BOUND, || {
                let call = HttpCall::get(address, path).bound(Duration::from_secs(1));
                call.send().is_ok_and(|answer| answer.status == 200)
            })?;
        }
        Ok(())
    }
}

/// A control replica.
#[derive(Debug)]
pub struct ControlReplica {
    /// Its process.
    pub process: ProofProcess,
    /// Address for processes of the system.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

/// An entry host.
#[derive(Debug)]
pub struct EntryHost {
    /// Its process.
    pub process: ProofProcess,
    /// Availability zone.
    pub zone: String,
    /// Address for callers and backend servers.
    pub callers: SocketAddr,
    /// Address for processes of the system.
    pub peers: SocketAddr,
}

/// A process that stands in for backend servers.
#[derive(Debug)]
pub struct BackendStandin {
    /// Its process.
    pub process: ProofProcess,
    /// Service that its servers serve.
    pub service: String,
    /// Priority class of the service.
    pub class: String,
    /// Availability zone of its servers.
    pub zone: String,
    /// Address that takes faults and gives counts.
    pub control: SocketAddr,
}

impl EntryHost {
    /// Returns the revision in force on the host; none where it gives no answer.
    pub fn revision(&self) -> Option<u64> {
        let call = HttpCall::get(self.callers, "/ready").bound(Duration::from_secs(1));
        call.send().ok()?.json().ok()?["revision"].as_u64()
    }

    /// Tells whether the host takes new work.
    pub fn is_ready(&self) -> bool {
        let call = HttpCall::get(self.callers, "/ready").bound(Duration::from_secs(1));
        call.send().is_ok_and(|answer| answer.status == 200)
    }
}

impl BackendStandin {
    /// Returns the JSON of one of the control endpoint's lists, such as `/control/servers`.
    ///
    /// # Errors
    ///
    /// Fails where the stand-in doesn't answer.
    pub fn list(&self, path: &str) -> Result<serde_json::Value, ProofError> {
        HttpCall::get(self.control, path).send()?.json()
    }

    /// Returns how often a key ran on the servers of the stand-in.
    ///
    /// # Errors
    ///
    /// Fails where the stand-in doesn't answer.
    pub fn runs(&self, key: &str) -> Result<u64, ProofError> {
        Ok(self.list("/control/runs")?[key].as_u64().unwrap_or(0))
    }
}
