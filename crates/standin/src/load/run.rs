//! Execution of a scenario: every phase under every policy.

use std::fs;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use model::fault::InputFault;

use crate::backend::fault::RawFault;
use crate::backend::request_counts;
use crate::backend::server::ServerStatus;
use crate::backend::work;
use crate::error::StandinError;
use crate::load::audit::ViolationAudit;
use crate::load::caller::CallerPool;
use crate::load::cluster::LoadCluster;
use crate::load::deployment::Deployment;
use crate::load::headroom::HeadroomReport;
use crate::load::outcome::RequestRecord;
use crate::load::policy::{ServerTarget, SteeringPolicy, TargetTable};
use crate::load::report::{PhaseReport, RunReport, ServiceReport};
use crate::load::scenario::{LoadPhase, RawScenario, Scenario, TimedFault};
use crate::load::schedule;
use crate::load::sender::{self, LoadSender, TargetTables};
use crate::load::settings::LoadSettings;
use crate::load::ticket;

/// Maximum number of idle connections that the callers keep per address.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Time between the completion of the last request and the reading of the counts.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Time within which the traffic ramps end after the tickets that prepare a phase.
const RAMP_TIME: Duration = Duration::from_secs(6);

/// Time after a ticket's acceptance within which a leaving server may still get new requests.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Reads and checks a scenario from the file that the settings name.
///
/// # Errors
///
/// Fails if the file can't be read, or returns the faults of the scenario.
pub fn read_scenario(settings: &LoadSettings) -> Result<Scenario, StandinError> {
    let text = fs::read_to_string(&settings.scenario)?;
    let raw: RawScenario = toml::from_str(&text).map_err(|e| {
        vec![InputFault::new(
            "scenario",
            e,
            "a scenario, see docs/testing.md",
        )]
    })?;
    let mut scenario = Scenario::try_from(raw)?;
    scenario.seed = settings.seed.unwrap_or(scenario.seed);
    Ok(scenario)
}

/// Runs all phases of a scenario against a cluster.
///
/// # Errors
///
/// Fails if the cluster rejects a ticket or does not answer in time.
pub async fn run(settings: LoadSettings, scenario: &Scenario) -> Result<RunReport, StandinError> {
    let deployment = Deployment::new(scenario.deployment, scenario.scale);
    let entries = settings.hosts.iter().map(|host| host.callers).collect();
    let cluster = LoadCluster::new(
        settings.controls,
        settings.hosts,
        settings.standins,
        settings.token,
    );
    let mut run = LoadRun {
        callers: Arc::new(CallerPool::new(entries, MAX_IDLE_CONNECTIONS)),
        servers: cluster.servers().await?.into_iter().flatten().collect(),
        targets: Arc::default(),
        next_ticket: settings.first_ticket,
        next_id: Arc::default(),
        deployment,
        cluster,
        seed: scenario.seed,
    };
    if scenario.policies.contains(&SteeringPolicy::Wisteria) {
        run.submit_base_ticket().await?;
    }
    let mut report = RunReport::new(scenario);
    for (index, phase) in scenario.phases.iter().enumerate() {
        for policy in &scenario.policies {
            log::info!(target: "load", "running phase {} under policy {policy}", phase.name);
            report
                .phases
                .push(run.run_phase(index, phase, *policy).await?);
        }
    }
    Ok(report)
}

/// A change of a service's placement, and when it took effect.
#[derive(Debug, Clone, Default)]
struct PlacementChange {
    /// Time at which the change was accepted, since the Unix epoch.
    accepted: Option<Duration>,
    /// Time from the acceptance of the ticket until it was in force on every entry host.
    ticket_time: Option<Duration>,
    /// Addresses of the leaving servers.
    leaving: Vec<SocketAddr>,
}

/// The state of a run.
struct LoadRun {
    deployment: Deployment,
    cluster: LoadCluster,
    callers: Arc<CallerPool>,
    servers: Vec<ServerStatus>,
    targets: TargetTables,
    next_ticket: u64,
    next_id: Arc<AtomicU64>,
    seed: u64,
}

impl LoadRun {
    /// Submits the ticket with the whole deployment, and waits until it is in force.
    async fn submit_base_ticket(&mut self) -> Result<(), StandinError> {
        let base = ticket::base_ticket(&self.deployment, &self.cluster.hosts, self.next_ticket);
        self.next_ticket += 1;
        let revision = self.cluster.submit(&base).await?;
        let delay = self.cluster.wait_in_force(revision).await?;
        log::info!(target: "load", "base ticket is in force on every entry host after {delay:?}");
        Ok(())
    }

    /// Runs one phase under one policy and returns its results.
    async fn run_phase(
        &mut self,
        index: usize,
        phase: &LoadPhase,
        policy: SteeringPolicy,
    ) -> Result<PhaseReport, StandinError> {
        self.prepare_phase(phase, policy).await?;
        let seed = self.seed.wrapping_mul(1_000).wrapping_add(index as u64);
        let plan = schedule::plan(&self.deployment, phase.load, phase.length, seed);
        let records = Arc::new(Mutex::new(Vec::with_capacity(plan.len())));
        let sender = self.request_sender(policy, records.clone());
        let start = Instant::now();
        let sending = task::spawn(sender::send_all(plan, start, sender));
        let faults = self.inject_faults(phase, start);
        let change = self.apply_change(phase, policy, start);
        let (change, faults) = futures_util::future::join(change, faults).await;
        let change = change?;
        faults?;
        sending.await;
        task::sleep(SETTLE_TIME).await;
        self.cluster.inject_fault(None, &clear_command()).await?;
        let records = std::mem::take(&mut *sender::lock(&records));
        self.phase_report(phase, policy, &records, &change).await
    }

    /// Applies the placement at the start of a phase, and resets the stand-in servers.
    async fn prepare_phase(
        &mut self,
        phase: &LoadPhase,
        policy: SteeringPolicy,
    ) -> Result<(), StandinError> {
        for index in 0..self.deployment.services.len() {
            let regions = match &phase.shift {
                Some(shift) if shift.service == self.deployment.services[index].name => {
                    shift.from.clone()
                }
                _ => self.deployment.regions.map(String::from).to_vec(),
            };
            self.apply_placement(index, &regions, &[], policy).await?;
        }
        if policy == SteeringPolicy::Wisteria {
            task::sleep(RAMP_TIME).await;
        }
        self.cluster.reset_servers().await
    }

    /// Applies the placement of a service: by a ticket under the policy `wisteria`, otherwise in
    /// the load tool's own tables.
    async fn apply_placement(
        &mut self,
        index: usize,
        regions: &[String],
        leaving: &[SocketAddr],
        policy: SteeringPolicy,
    ) -> Result<PlacementChange, StandinError> {
        let model = &self.deployment.services[index];
        let mut change = PlacementChange {
            leaving: leaving.to_vec(),
            ..PlacementChange::default()
        };
        if policy == SteeringPolicy::Wisteria {
            let service = ticket::service_spec(&self.deployment, model, regions, leaving);
            let ticket = ticket::service_ticket(self.next_ticket, model.name, service);
            self.next_ticket += 1;
            let revision = self.cluster.submit(&ticket).await?;
            change.accepted = Some(request_counts::unix_time());
            change.ticket_time = Some(self.cluster.wait_in_force(revision).await?);
            return Ok(change);
        }
        let targets = self.servers.iter().filter(|server| {
            let region = work::region_of(&server.zone);
            server.service == model.name
                && regions.iter().any(|r| r == region)
                && !leaving.contains(&server.address)
        });
        let targets = targets.map(|server| ServerTarget {
            zone: server.zone.clone(),
            address: server.address,
        });
        let table = Arc::new(TargetTable::new(targets.collect()));
        sender::lock(&self.targets).insert(index, table);
        change.accepted = Some(request_counts::unix_time());
        Ok(change)
    }

    /// Applies the placement change of a phase at its scheduled time, if the phase has one.
    async fn apply_change(
        &mut self,
        phase: &LoadPhase,
        policy: SteeringPolicy,
        start: Instant,
    ) -> Result<PlacementChange, StandinError> {
        let all = self.deployment.regions.map(String::from).to_vec();
        let (service, regions, leaving) = match (&phase.shift, &phase.drain) {
            (Some(shift), _) => (&shift.service, shift.to.clone(), 0),
            (None, Some(drain)) => (&drain.service, all, drain.servers),
            (None, None) => return Ok(PlacementChange::default()),
        };
        let index = self.service_index(service)?;
        let servers = self.servers.iter().filter(|s| s.service == *service);
        let leaving: Vec<_> = servers.map(|server| server.address).take(leaving).collect();
        sender::sleep_until(start + phase.at).await;
        self.apply_placement(index, &regions, &leaving, policy)
            .await
    }

    /// Injects the faults of a phase at their scheduled times.
    fn inject_faults(
        &self,
        phase: &LoadPhase,
        start: Instant,
    ) -> impl Future<Output = Result<(), StandinError>> + use<> {
        let cluster = LoadCluster::new(
            Vec::new(),
            Vec::new(),
            self.cluster.standins.clone(),
            String::new(),
        );
        let faults: Vec<TimedFault> = phase.faults.clone();
        async move {
            for fault in faults {
                sender::sleep_until(start + fault.at).await;
                cluster
                    .inject_fault(Some(&fault.service), &fault.order)
                    .await?;
            }
            Ok(())
        }
    }

    /// Returns the sender of the requests of a phase.
    fn request_sender(
        &self,
        policy: SteeringPolicy,
        records: Arc<Mutex<Vec<RequestRecord>>>,
    ) -> LoadSender {
        LoadSender {
            deployment: Arc::new(self.deployment.clone()),
            zones: Arc::new(self.deployment.zones()),
            callers: self.callers.clone(),
            targets: self.targets.clone(),
            next_id: self.next_id.clone(),
            seed: self.seed,
            policy,
            records,
        }
    }

    /// Computes the results of a phase from the requests' records and the stand-ins' counts.
    async fn phase_report(
        &self,
        phase: &LoadPhase,
        policy: SteeringPolicy,
        records: &[RequestRecord],
        change: &PlacementChange,
    ) -> Result<PhaseReport, StandinError> {
        let counts = self.cluster.counts().await?;
        let mut audit = ViolationAudit::new(records, &self.cluster.runs().await?);
        let servers = counts.iter().flat_map(|process| &process.servers);
        let last_arrival = servers
            .filter(|server| change.leaving.contains(&server.address))
            .map(|server| Duration::from_millis(server.last_arrival_ms))
            .max();
        let drain_time = match (change.accepted, last_arrival) {
            (Some(accepted), Some(last_arrival)) => Some(last_arrival.saturating_sub(accepted)),
            _ => None,
        };
        audit.late_on_leaving = usize::from(drain_time.is_some_and(|time| time > LEAVING_GRACE));
        let services = self.deployment.services.iter().enumerate();
        let services = services.map(|(index, model)| {
            let service_records: Vec<_> = records.iter().filter(|r| r.service == index).collect();
            ServiceReport::new(model.name, &service_records, model.deadline, phase.length)
        });
        Ok(PhaseReport {
            phase: phase.name.clone(),
            policy: policy.to_string(),
            services: services.collect(),
            headroom: HeadroomReport::new(&self.deployment, &counts),
            drain_seconds: drain_time.map(|time| time.as_secs_f64()),
            ticket_seconds: change.ticket_time.map(|time| time.as_secs_f64()),
            resent: records.iter().filter(|record| record.resent).count(),
            audit,
        })
    }

    fn service_index(&self, name: &str) -> Result<usize, StandinError> {
        let services = &self.deployment.services;
        let index = services.iter().position(|service| service.name == name);
        index.ok_or_else(|| {
            StandinError::Scenario(format!(
                "service {name} of the scenario is not part of the deployment"
            ))
        })
    }
}

/// Returns the command that ends all faults.
fn clear_command() -> RawFault {
    RawFault {
        fault: None,
        server: None,
        count: None,
        ms: 0,
    }
}
