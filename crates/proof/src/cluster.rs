//! Control replicas, entry hosts and stand-in backend servers that belong together.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use tempfile::TempDir;

use crate::error::ProofError;
use crate::http::{HttpAnswer, HttpCall};
use crate::ports;
use crate::process::{ProcessPlan, ProofProcess};
use crate::wait;

/// Access token of every process in a cluster.
pub const TOKEN: &str = "proof-token-0123456789";

/// Bound on the start of one process.
const START_BOUND: Duration = Duration::from_secs(15);

/// Bound on a ticket's acceptance, and on its coming into force where a test sets none.
const TICKET_BOUND: Duration = Duration::from_secs(20);

/// Status of a submission whose verdict is not known: resend the same ticket.
const UNKNOWN_STATUS: u16 = 503;

/// What a cluster consists of.
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

/// Stand-in backend servers of one service in one availability zone.
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
    /// Plans one backend server of a service in a zone.
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

    /// Sets how many backend servers the one process hosts.
    pub fn servers(mut self, servers: usize) -> Self {
        self.servers = servers;
        self
    }

    /// Adds a flag of `wisteria-standin backend`.
    pub fn flag(mut self, name: &str, value: impl ToString) -> Self {
        self.flags.push((name.to_string(), value.to_string()));
        self
    }
}

impl ClusterPlan {
    /// Sets the count of control replicas.
    pub fn replicas(mut self, replicas: usize) -> Self {
        self.replicas = replicas;
        self
    }

    /// Sets the count of entry hosts; they are spread over the zones in turn.
    pub fn entry_hosts(mut self, hosts: usize) -> Self {
        self.hosts = hosts;
        self
    }

    /// Sets the availability zones.
    pub fn zones<'a>(mut self, zones: impl IntoIterator<Item = &'a str>) -> Self {
        self.zones = zones.into_iter().map(str::to_string).collect();
        self
    }

    /// Adds stand-in backend servers.
    pub fn backend(mut self, backend: BackendPlan) -> Self {
        self.backends.push(backend);
        self
    }

    /// Adds a flag of `wisteria-entry`.
    pub fn host_flag(mut self, name: &str, value: impl ToString) -> Self {
        self.host_flags.push((name.to_string(), value.to_string()));
        self
    }

    /// Sets the level of the daemons' logs.
    pub fn log_level(mut self, level: &str) -> Self {
        self.log_level = level.to_string();
        self
    }

    /// Starts every process and waits until each answers on its address.
    ///
    /// # Errors
    ///
    /// Fails where a program is not built, or a process doesn't come up.
    pub fn start(self) -> Result<ProofCluster, ProofError> {
        let folder = tempfile::tempdir()?;
        let replicas = self.start_replicas(folder.path())?;
        let hosts = self.start_hosts(folder.path(), &replicas)?;
        let standins = self.start_standins(folder.path(), &hosts)?;
        let cluster = ProofCluster {
            replicas,
            hosts,
            standins,
            zones: self.zones,
            folder,
        };
        cluster.wait_health()?;
        Ok(cluster)
    }

    fn start_replicas(&self, folder: &Path) -> Result<Vec<ControlReplica>, ProofError> {
        let mut peers = Vec::new();
        for _ in 0..self.replicas {
            peers.push(ports::free_address()?);
        }
        let list = numbered(&peers);
        let mut replicas = Vec::new();
        for (index, peer) in peers.iter().enumerate() {
            let operators = ports::free_address()?;
            let name = format!("c{}", index + 1);
            let process = ProcessPlan::new("wisteria-control", &name)
                .flag("id", index + 1)
                .flag("replicas", &list)
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
                .flag("controls", joined(&controls))
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
                .flag("entries", joined(&entries));
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

    fn zone(&self, index: usize) -> &str {
        &self.zones[index % self.zones.len()]
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

/// A running cluster; its processes and files end with it.
#[derive(Debug)]
pub struct ProofCluster {
    /// Control replicas, in order of their numbers from 1.
    pub replicas: Vec<ControlReplica>,
    /// Entry hosts, named `e1` and on.
    pub hosts: Vec<EntryHost>,
    /// Stand-ins in the order of the plan.
    pub standins: Vec<BackendStandin>,
    zones: Vec<String>,
    folder: TempDir,
}

impl ProofCluster {
    /// Plans a cluster of three replicas and two entry hosts in one zone.
    pub fn plan() -> ClusterPlan {
        ClusterPlan {
            replicas: 3,
            hosts: 2,
            zones: vec!["altiplano-a".to_string()],
            backends: Vec::new(),
            host_flags: Vec::new(),
            log_level: "info".to_string(),
        }
    }

    /// Returns the folder that holds logs and data folders.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Writes the entry hosts as a part of a ticket in TOML.
    pub fn hosts_toml(&self) -> String {
        let mut text = String::new();
        for (index, host) in self.hosts.iter().enumerate() {
            // Writing to a string can't fail.
            let _ = write!(
                text,
                "[host.e{}]\nzone = \"{}\"\ncallers = \"{}\"\npeers = \"{}\"\n",
                index + 1,
                host.zone,
                host.callers,
                host.peers
            );
        }
        text
    }

    /// Writes a ticket with one region of all zones, the entry hosts, and the services of the
    /// stand-ins in all zones, each with the same ample cap.
    pub fn base_ticket(&self, number: u64) -> String {
        let zones: Vec<_> = self.zones.iter().map(|z| format!("\"{z}\"")).collect();
        let mut text = format!(
            "number = {number}\n[region.altiplano]\nzones = [{}]\ncap = 10000.0\n{}",
            zones.join(", "),
            self.hosts_toml()
        );
        let mut services: Vec<_> = self.standins.iter().map(|s| s.service.as_str()).collect();
        services.sort_unstable();
        services.dedup();
        for service in services {
            text.push_str(&self.service_toml(service, &[]));
        }
        text
    }

    /// Writes a service that runs in the zones of its stand-ins, with leaving backend servers.
    pub fn service_toml(&self, service: &str, leaving: &[SocketAddr]) -> String {
        let leaving: Vec<_> = leaving.iter().map(|a| format!("\"{a}\"")).collect();
        let own = self.standins.iter().filter(|s| s.service == service);
        let class = own.clone().map(|s| s.class.as_str()).next();
        let mut text = format!(
            "[service.{service}]\nclass = \"{}\"\nshift = 10000.0\nleaving = [{}]\n",
            class.unwrap_or("read"),
            leaving.join(", ")
        );
        let mut zones: Vec<_> = own.map(|standin| standin.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        for zone in zones {
            let _ = write!(text, "[service.{service}.places.{zone}]\ncap = 5000.0\n");
        }
        text
    }

    /// Submits a ticket that must be accepted, and returns the revision that it made.
    ///
    /// # Errors
    ///
    /// Gives [`ProofError::Refused`] where it is refused, and as [`ProofCluster::submit`].
    pub fn accept(&self, number: u64, ticket: &str) -> Result<u64, ProofError> {
        let answer = self.submit(number, ticket, TICKET_BOUND)?;
        match answer.json()?["revision"].as_u64() {
            Some(revision) if answer.status == 200 => Ok(revision),
            _ => Err(ProofError::Refused(answer.text())),
        }
    }

    /// Waits until a revision is in force on every running entry host.
    ///
    /// # Errors
    ///
    /// Gives [`ProofError::Timeout`] where that takes longer than the bound.
    pub fn wait_in_force(&self, revision: u64, bound: Duration) -> Result<Duration, ProofError> {
        let what = format!("revision {revision} in force everywhere");
        let running = || self.hosts.iter().filter(|host| host.process.id().is_some());
        wait::wait_until(&what, bound, || {
            running().all(|host| host.revision().is_some_and(|held| held >= revision))
        })
    }

    /// Submits the base ticket as number 1, and waits until every entry host serves by it.
    ///
    /// # Errors
    ///
    /// As [`ProofCluster::accept`] and [`ProofCluster::wait_in_force`].
    pub fn set_up(&self) -> Result<u64, ProofError> {
        let revision = self.accept(1, &self.base_ticket(1))?;
        self.wait_in_force(revision, TICKET_BOUND)?;
        wait::wait_until("every entry host is ready", TICKET_BOUND, || {
            self.hosts.iter().all(EntryHost::is_ready)
        })?;
        for standin in &self.standins {
            self.wait_served(&standin.service)?;
        }
        Ok(revision)
    }

    /// Waits until every entry host serves a read of a service.
    fn wait_served(&self, service: &str) -> Result<Duration, ProofError> {
        let what = format!("every entry host serves {service}");
        wait::wait_until(&what, TICKET_BOUND, || {
            self.hosts.iter().all(|host| {
                let call = HttpCall::get(host.callers, format!("/s/{service}/probe"));
                call.send().is_ok_and(|answer| answer.status == 200)
            })
        })
    }

    /// Submits a ticket in TOML to each running replica in turn until the verdict is known.
    ///
    /// # Errors
    ///
    /// Gives [`ProofError::Timeout`] where no replica gives a verdict within the bound.
    pub fn submit(
        &self,
        number: u64,
        ticket: &str,
        bound: Duration,
    ) -> Result<HttpAnswer, ProofError> {
        let start = Instant::now();
        let mut replicas = self.replicas.iter().cycle();
        while start.elapsed() < bound {
            let Some(replica) = replicas.next() else {
                break;
            };
            let answer = HttpCall::put(replica.operators, format!("/v1/tickets/{number}"))
                .bearer(TOKEN)
                .header("content-type", "application/toml")
                .body(ticket.to_string())
                .bound(Duration::from_secs(3))
                .send();
            match answer {
                Ok(answer) if answer.status != UNKNOWN_STATUS => return Ok(answer),
                _ => std::thread::sleep(Duration::from_millis(50)),
            }
        }
        Err(ProofError::Timeout(
            format!("the verdict on ticket {number}"),
            bound,
        ))
    }

    /// Waits until every running process answers on its `/health`.
    fn wait_health(&self) -> Result<(), ProofError> {
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

/// Writes addresses with their numbers from 1, such as `1=10.0.0.1:7001,2=10.0.0.2:7001`.
fn numbered(addresses: &[SocketAddr]) -> String {
    let parts: Vec<_> = addresses
        .iter()
        .enumerate()
        .map(|(index, address)| format!("{}={address}", index + 1))
        .collect();
    parts.join(",")
}

/// Writes addresses with commas between them.
fn joined(addresses: &[SocketAddr]) -> String {
    let parts: Vec<_> = addresses.iter().map(SocketAddr::to_string).collect();
    parts.join(",")
}
