//! A running cluster: submits tickets and waits until they are in force.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use tempfile::TempDir;

use crate::error::ProofError;
use crate::http::{HttpAnswer, HttpCall};
use crate::members::ClusterMembers;
use crate::wait;

pub use crate::members::{BackendStandin, ControlReplica, EntryHost};
pub use crate::plan::{BackendPlan, ClusterPlan};

/// Access token of every process in a cluster.
pub const TOKEN: &str = "proof-token-0123456789";

/// Timeout of a ticket's verdict, and of each wait of [`ProofCluster::set_up`].
const TICKET_TIMEOUT: Duration = Duration::from_secs(20);

/// Status code of a submission whose verdict is unknown; the client resubmits the same ticket.
const UNKNOWN_STATUS: u16 = 503;

/// A running cluster; dropping it kills the processes and deletes their files.
#[derive(Debug)]
pub struct ProofCluster {
    /// Control replicas, ordered by their ids, which start at 1.
    pub replicas: Vec<ControlReplica>,
    /// Entry hosts, named `e1`, `e2` and so on.
    pub hosts: Vec<EntryHost>,
    /// Stand-in backend processes, in the order of the plan.
    pub standins: Vec<BackendStandin>,
    zones: Vec<String>,
    folder: TempDir,
}

impl ProofCluster {
    /// Creates the default plan: three control replicas and two entry hosts in one zone.
    pub fn plan() -> ClusterPlan {
        ClusterPlan::default()
    }

    pub(crate) fn new(members: ClusterMembers, zones: Vec<String>, folder: TempDir) -> Self {
        Self {
            replicas: members.replicas,
            hosts: members.hosts,
            standins: members.standins,
            zones,
            folder,
        }
    }

    /// Returns the folder that holds the log files and the data folders of the processes.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the `host` tables of a TOML ticket that lists all entry hosts.
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

    /// Returns a TOML ticket with one region of all zones, all entry hosts, and the services of the
    /// stand-ins. Each service gets a place in the zones of its stand-ins, with a cap that no test
    /// reaches.
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

    /// Returns the `service` tables of a TOML ticket for one service, with places in the zones of
    /// its stand-ins and with the given leaving backend servers.
    pub fn service_toml(&self, service: &str, leaving: &[SocketAddr]) -> String {
        let leaving: Vec<_> = leaving.iter().map(|a| format!("\"{a}\"")).collect();
        let standins = self.standins.iter().filter(|s| s.service == service);
        let class = standins.clone().map(|s| s.class.as_str()).next();
        let mut text = format!(
            "[service.{service}]\nclass = \"{}\"\nshift = 10000.0\nleaving = [{}]\n",
            class.unwrap_or("read"),
            leaving.join(", ")
        );
        let mut zones: Vec<_> = standins.map(|standin| standin.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        for zone in zones {
            let _ = write!(text, "[service.{service}.places.{zone}]\ncap = 5000.0\n");
        }
        text
    }

    /// Submits a ticket that must be accepted, and returns the revision that it created.
    ///
    /// # Errors
    ///
    /// Returns [`ProofError::Refused`] if the ticket is rejected, or an error of
    /// [`ProofCluster::submit`].
    pub fn accept(&self, number: u64, ticket: &str) -> Result<u64, ProofError> {
        let answer = self.submit(number, ticket, TICKET_TIMEOUT)?;
        match answer.json()?["revision"].as_u64() {
            Some(revision) if answer.status == 200 => Ok(revision),
            _ => Err(ProofError::Refused(answer.text())),
        }
    }

    /// Waits until every running entry host has at least a revision in force, and returns how long
    /// that took.
    ///
    /// # Errors
    ///
    /// Returns [`ProofError::Timeout`] if that takes longer than `timeout`.
    pub fn wait_in_force(&self, revision: u64, timeout: Duration) -> Result<Duration, ProofError> {
        let condition = format!("revision {revision} in force on every running entry host");
        let running = || self.hosts.iter().filter(|host| host.process.id().is_some());
        wait::wait_until(&condition, timeout, || {
            running().all(|host| {
                let current = host.revision();
                current.is_some_and(|current| current >= revision)
            })
        })
    }

    /// Submits the base ticket as number 1, and waits until every entry host serves every service
    /// of the stand-ins. Returns the revision of the ticket.
    ///
    /// # Errors
    ///
    /// Returns an error of [`ProofCluster::accept`] or [`ProofCluster::wait_in_force`].
    pub fn set_up(&self) -> Result<u64, ProofError> {
        let revision = self.accept(1, &self.base_ticket(1))?;
        self.wait_in_force(revision, TICKET_TIMEOUT)?;
        wait::wait_until("readiness of every entry host", TICKET_TIMEOUT, || {
            self.hosts.iter().all(EntryHost::is_ready)
        })?;
        for standin in &self.standins {
            self.wait_served(standin)?;
        }
        Ok(revision)
    }

    /// Waits until every entry host serves a request of a stand-in's service. The request carries
    /// an idempotency key if the service runs requests at most once.
    fn wait_served(&self, standin: &BackendStandin) -> Result<Duration, ProofError> {
        let path = format!("/s/{}/probe", standin.service);
        let condition = format!("service of {} on every entry host", standin.service);
        wait::wait_until(&condition, TICKET_TIMEOUT, || {
            self.hosts.iter().all(|host| {
                let call = match standin.class.as_str() {
                    // Repeating the key is safe: the request runs once, and later calls succeed
                    // only if the stored answer is replayed.
                    "write" => HttpCall::post(host.callers, &path)
                        .header("idempotency-key", format!("probe-{}", host.callers.port())),
                    _ => HttpCall::get(host.callers, &path),
                };
                call.send().is_ok_and(|answer| answer.status == 200)
            })
        })
    }

    /// Submits a TOML ticket to the replicas in turn until one of them returns a verdict.
    ///
    /// # Errors
    ///
    /// Returns [`ProofError::Timeout`] if no replica returns a verdict within `timeout`.
    pub fn submit(
        &self,
        number: u64,
        ticket: &str,
        timeout: Duration,
    ) -> Result<HttpAnswer, ProofError> {
        let start = Instant::now();
        let mut replicas = self.replicas.iter().cycle();
        while start.elapsed() < timeout {
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
            timeout,
        ))
    }
}
