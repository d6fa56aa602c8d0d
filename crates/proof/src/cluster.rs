//! A running cluster: tickets, and what is in force where.

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

/// Bound on a ticket's acceptance, and on its coming into force where a test sets none.
const TICKET_BOUND: Duration = Duration::from_secs(20);

/// Status of a submission whose verdict is not known: resend the same ticket.
const UNKNOWN_STATUS: u16 = 503;

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
            self.wait_served(standin)?;
        }
        Ok(revision)
    }

    /// Waits until every entry host serves a request of a stand-in's service; one under an
    /// idempotency key where the service must run requests at most once.
    fn wait_served(&self, standin: &BackendStandin) -> Result<Duration, ProofError> {
        let path = format!("/s/{}/probe", standin.service);
        let what = format!("every entry host serves {}", standin.service);
        wait::wait_until(&what, TICKET_BOUND, || {
            self.hosts.iter().all(|host| {
                let call = match standin.class.as_str() {
                    // The same key again is safe, and tells whether the answer was kept.
                    "write" => HttpCall::post(host.callers, &path)
                        .header("idempotency-key", format!("probe-{}", host.callers.port())),
                    _ => HttpCall::get(host.callers, &path),
                };
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
}
