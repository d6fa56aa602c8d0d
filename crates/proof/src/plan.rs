//! The description of a cluster, and its start.

use std::net::SocketAddr;
use std::path::Path;

use crate::cluster::{ProofCluster, TOKEN};
use crate::error::ProofError;
use crate::members::{BackendStandin, ClusterMembers, ControlReplica, EntryHost};
use crate::ports;
use crate::process::ProcessPlan;

/// The description of a cluster.
#[derive(Debug, Clone)]
#[must_use]
pub struct ClusterPlan {
    replicas: usize,
    hosts: usize,
    zones: Vec<String>,
    backends: Vec<BackendPlan>,
    host_flags: Vec<(String, String)>,
    log_level: String,
}

/// The description of one process of stand-in backend servers, which all belong to one service and
/// one availability zone.
#[derive(Debug, Clone)]
#[must_use]
pub struct BackendPlan {
    service: String,
    zone: String,
    class: String,
    servers: usize,
    flags: Vec<(String, String)>,
}

impl BackendPlan {
    /// Creates the plan of one backend server with priority class `read`.
    pub fn new(service: &str, zone: &str) -> Self {
        Self {
            service: service.to_string(),
            zone: zone.to_string(),
            class: "read".to_string(),
            servers: 1,
            flags: Vec::new(),
        }
    }

    /// Sets the priority class of the service: `bulk`, `read` or `write`.
    pub fn class(mut self, class: &str) -> Self {
        self.class = class.to_string();
        self
    }

    /// Sets the number of backend servers in the process.
    pub fn servers(mut self, servers: usize) -> Self {
        self.servers = servers;
        self
    }

    /// Adds a command-line flag of `wisteria-standin backend`; `name` has no dashes.
    pub fn flag(mut self, name: &str, value: impl ToString) -> Self {
        self.flags.push((name.to_string(), value.to_string()));
        self
    }
}

impl Default for ClusterPlan {
    /// Creates the plan of three control replicas and two entry hosts in one zone.
    fn default() -> Self {
        Self {
            replicas: 3,
            hosts: 2,
            zones: vec!["altiplano-a".to_string()],
            backends: Vec::new(),
            host_flags: Vec::new(),
            log_level: "info".to_string(),
        }
    }
}

impl ClusterPlan {
    /// Sets the number of control replicas.
    pub fn replicas(mut self, replicas: usize) -> Self {
        self.replicas = replicas;
        self
    }

    /// Sets the number of entry hosts, which are assigned to the zones round robin.
    pub fn entry_hosts(mut self, hosts: usize) -> Self {
        self.hosts = hosts;
        self
    }

    /// Sets the availability zones.
    pub fn zones<'a>(mut self, zones: impl IntoIterator<Item = &'a str>) -> Self {
        self.zones = zones.into_iter().map(str::to_string).collect();
        self
    }

    /// Adds a process of stand-in backend servers.
    pub fn backend(mut self, backend: BackendPlan) -> Self {
        self.backends.push(backend);
        self
    }

    /// Adds a command-line flag of every `wisteria-entry`; `name` has no dashes.
    pub fn host_flag(mut self, name: &str, value: impl ToString) -> Self {
        self.host_flags.push((name.to_string(), value.to_string()));
        self
    }

    /// Sets the log level of the control replicas and entry hosts.
    pub fn log_level(mut self, level: &str) -> Self {
        self.log_level = level.to_string();
        self
    }

    /// Starts every process and waits until each one answers `GET /health`.
    ///
    /// # Errors
    ///
    /// Fails if a program is not built, or a process does not become healthy in time.
    pub fn start(self) -> Result<ProofCluster, ProofError> {
        let folder = tempfile::tempdir()?;
        let replicas = self.start_replicas(folder.path())?;
        let hosts = self.start_hosts(folder.path(), &replicas)?;
        let standins = self.start_standins(folder.path(), &hosts)?;
        let mut members = ClusterMembers {
            replicas,
            hosts,
            standins,
        };
        members.wait_health()?;
        Ok(ProofCluster::new(members, self.zones, folder))
    }

    fn start_replicas(&self, folder: &Path) -> Result<Vec<ControlReplica>, ProofError> {
        let mut peers = Vec::new();
        for _ in 0..self.replicas {
            peers.push(ports::free_address()?);
        }
        let replica_list = numbered_addresses(&peers);
        let mut replicas = Vec::new();
        for (index, peer) in peers.iter().enumerate() {
            let operators = ports::free_address()?;
            let name = format!("c{}", index + 1);
            let process = ProcessPlan::new("wisteria-control", &name)
                .limit_files()
                .flag("id", index + 1)
                .flag("replicas", &replica_list)
                .flag("operators", operators)
                .flag("zone", self.zone(index))
                .flag("data-folder", folder.join(&name).display())
                .flag("log-level", &self.log_level)
                .env("WISTERIA_TOKEN", TOKEN)
                .start(folder)?;
            replicas.push(ControlReplica {
                process,
                peers: *peer,
                operators,
            });
        }
        Ok(replicas)
    }

    fn start_hosts(
        &self,
        folder: &Path,
        replicas: &[ControlReplica],
    ) -> Result<Vec<EntryHost>, ProofError> {
        let controls: Vec<_> = replicas.iter().map(|replica| replica.peers).collect();
        let mut hosts = Vec::new();
        for index in 0..self.hosts {
            let (callers, peers) = (ports::free_address()?, ports::free_address()?);
            let name = format!("e{}", index + 1);
            let zone = self.zone(index).to_string();
            let mut plan = ProcessPlan::new("wisteria-entry", &name)
                .flag("name", &name)
                .flag("zone", &zone)
                .flag("callers", callers)
                .flag("peers", peers)
                .flag("controls", joined_addresses(&controls))
                .flag("log-level", &self.log_level)
                .env("WISTERIA_TOKEN", TOKEN);
            for (name, value) in &self.host_flags {
                plan = plan.flag(name, value);
            }
            hosts.push(EntryHost {
                process: plan.start(folder)?,
                zone,
                callers,
                peers,
            });
        }
        Ok(hosts)
    }

    fn start_standins(
        &self,
        folder: &Path,
        hosts: &[EntryHost],
    ) -> Result<Vec<BackendStandin>, ProofError> {
        let entries: Vec<_> = hosts.iter().map(|host| host.callers).collect();
        let mut standins = Vec::new();
        for (index, backend) in self.backends.iter().enumerate() {
            let control = ports::free_address()?;
            let mut plan = ProcessPlan::new("wisteria-standin", &format!("s{}", index + 1))
                .arg("backend")
                .flag("service", &backend.service)
                .flag("zones", &backend.zone)
                .flag("servers", backend.servers)
                .flag("control", control)
                .flag("entries", joined_addresses(&entries));
            for (name, value) in &backend.flags {
                plan = plan.flag(name, value);
            }
            standins.push(BackendStandin {
                process: plan.start(folder)?,
                service: backend.service.clone(),
                class: backend.class.clone(),
                zone: backend.zone.clone(),
                control,
            });
        }
        Ok(standins)
    }

    /// Returns the zone of the control replica or entry host at `index`.
    fn zone(&self, index: usize) -> &str {
        &self.zones[index % self.zones.len()]
    }
}

/// Returns a comma-separated list of addresses with ids from 1, such as
/// `1=10.0.0.1:7001,2=10.0.0.2:7001`.
fn numbered_addresses(addresses: &[SocketAddr]) -> String {
    let parts: Vec<_> = addresses
        .iter()
        .enumerate()
        .map(|(index, address)| format!("{}={address}", index + 1))
        .collect();
    parts.join(",")
}

/// Returns a comma-separated list of addresses.
fn joined_addresses(addresses: &[SocketAddr]) -> String {
    let parts: Vec<_> = addresses.iter().map(SocketAddr::to_string).collect();
    parts.join(",")
}
