//! Runs the phases of a scenario under each policy.

use std::fs;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use model::fault::InputFault;

use crate::backend::fault::RawFault;
use crate::backend::run_log;
use crate::backend::server::ServerWord;
use crate::backend::work;
use crate::error::StandinError;
use crate::load::audit::FaultAudit;
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

/// Idle connections that callers keep to one address.
const CONNECTIONS: usize = 64;

/// Time after the last request until counts are read.
const SETTLE: Duration = Duration::from_millis(500);

/// Time for ramps to end after the ticket that sets a phase up.
const RAMP_SETTLE: Duration = Duration::from_secs(6);

/// Time after a ticket's acceptance within which a leaving server may get new work.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// Reads a scenario from its file.
///
/// # Errors
///
/// Fails where the file can't be read, and gives its faults.
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

/// Runs a scenario against a cluster.
///
/// # Errors
///
/// Fails where the cluster refuses a ticket or doesn't answer.
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
        callers: Arc::new(CallerPool::new(entries, CONNECTIONS)),
        servers: cluster.servers().await?.into_iter().flatten().collect(),
        targets: Arc::default(),
        next_ticket: settings.first_ticket,
        next_id: Arc::default(),
        deployment,
        cluster,
        seed: scenario.seed,
    };
    if scenario.policies.contains(&SteeringPolicy::Wisteria) {
        run.submit_base().await?;
    }
    let mut report = RunReport::new(scenario);
    for (index, phase) in scenario.phases.iter().enumerate() {
        for policy in &scenario.policies {
            log::info!(target: "load", "phase {} under {policy}", phase.name);
            report.phases.push(run.phase(index, phase, *policy).await?);
        }
    }
    Ok(report)
}

/// What the change within a phase gave.
#[derive(Debug, Clone, Default)]
struct ChangeRecord {
    /// When it was accepted, since the Unix epoch.
    accepted: Option<Duration>,
    ticket_time: Option<Duration>,
    leaving: Vec<SocketAddr>,
}

struct LoadRun {
    deployment: Deployment,
    cluster: LoadCluster,
    callers: Arc<CallerPool>,
    servers: Vec<ServerWord>,
    targets: TargetTables,
    next_ticket: u64,
    next_id: Arc<AtomicU64>,
    seed: u64,
}

impl LoadRun {
    /// Submits the ticket that sets up the deployment.
    async fn submit_base(&mut self) -> Result<(), StandinError> {
        let base = ticket::base(&self.deployment, &self.cluster.hosts, self.next_ticket);
        self.next_ticket += 1;
        let revision = self.cluster.submit(&base).await?;
        let waited = self.cluster.wait_in_force(revision).await?;
        log::info!(target: "load", "the base ticket is in force everywhere after {waited:?}");
        Ok(())
    }

    async fn phase(
        &mut self,
        index: usize,
        phase: &LoadPhase,
        policy: SteeringPolicy,
    ) -> Result<PhaseReport, StandinError> {
        self.set_up(phase, policy).await?;
        let seed = self.seed.wrapping_mul(1_000).wrapping_add(index as u64);
        let plan = schedule::plan(&self.deployment, phase.load, phase.length, seed);
        let records = Arc::new(Mutex::new(Vec::with_capacity(plan.len())));
        let requests = self.sender(policy, records.clone());
        let start = Instant::now();
        let sending = task::spawn(sender::send_all(plan, start, requests));
        let faults = self.faults(phase, start);
        let change = self.change(phase, policy, start);
        let (change, faults) = futures_util::future::join(change, faults).await;
        let change = change?;
        faults?;
        sending.await;
        task::sleep(SETTLE).await;
        self.cluster.order(None, &no_fault()).await?;
        let records = std::mem::take(&mut *sender::lock(&records));
        self.report(phase, policy, &records, &change).await
    }

    /// Brings placement and counts to the start of a phase.
    async fn set_up(
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
            self.place(index, &regions, &[], policy).await?;
        }
        if policy == SteeringPolicy::Wisteria {
            task::sleep(RAMP_SETTLE).await;
        }
        self.cluster.clear().await
    }

    /// Sets where a service runs, by ticket or for a baseline.
    async fn place(
        &mut self,
        index: usize,
        regions: &[String],
        leaving: &[SocketAddr],
        policy: SteeringPolicy,
    ) -> Result<ChangeRecord, StandinError> {
        let model = &self.deployment.services[index];
        let mut change = ChangeRecord {
            leaving: leaving.to_vec(),
            ..ChangeRecord::default()
        };
        if policy == SteeringPolicy::Wisteria {
            let service = ticket::service(&self.deployment, model, regions, leaving);
            let ticket = ticket::of_service(self.next_ticket, model.name, service);
            self.next_ticket += 1;
            let revision = self.cluster.submit(&ticket).await?;
            change.accepted = Some(run_log::unix_time());
            change.ticket_time = Some(self.cluster.wait_in_force(revision).await?);
            return Ok(change);
        }
        let targets = self.servers.iter().filter(|server| {
            let region = work::region(&server.zone);
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
        change.accepted = Some(run_log::unix_time());
        Ok(change)
    }

    /// Makes the change of a phase at its time.
    async fn change(
        &mut self,
        phase: &LoadPhase,
        policy: SteeringPolicy,
        start: Instant,
    ) -> Result<ChangeRecord, StandinError> {
        let all = self.deployment.regions.map(String::from).to_vec();
        let (service, regions, leaving) = match (&phase.shift, &phase.drain) {
            (Some(shift), _) => (&shift.service, shift.to.clone(), 0),
            (None, Some(drain)) => (&drain.service, all, drain.servers),
            (None, None) => return Ok(ChangeRecord::default()),
        };
        let index = self.service_index(service)?;
        let own = self.servers.iter().filter(|s| s.service == *service);
        let leaving: Vec<_> = own.map(|server| server.address).take(leaving).collect();
        sender::sleep_until(start + phase.at).await;
        self.place(index, &regions, &leaving, policy).await
    }

    /// Orders the faults of a phase at their times.
    fn faults(
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
                cluster.order(Some(&fault.service), &fault.order).await?;
            }
            Ok(())
        }
    }

    fn sender(
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

    async fn report(
        &self,
        phase: &LoadPhase,
        policy: SteeringPolicy,
        records: &[RequestRecord],
        change: &ChangeRecord,
    ) -> Result<PhaseReport, StandinError> {
        let counts = self.cluster.counts().await?;
        let mut audit = FaultAudit::new(records, &self.cluster.runs().await?);
        let servers = counts.iter().flat_map(|process| &process.servers);
        let last = servers
            .filter(|server| change.leaving.contains(&server.address))
            .map(|server| Duration::from_millis(server.last_arrival_ms))
            .max();
        let drain = match (change.accepted, last) {
            (Some(accepted), Some(last)) => Some(last.saturating_sub(accepted)),
            _ => None,
        };
        audit.late_on_leaving = usize::from(drain.is_some_and(|time| time > LEAVING_BOUND));
        let services = self.deployment.services.iter().enumerate();
        let services = services.map(|(index, model)| {
            let own: Vec<_> = records.iter().filter(|r| r.service == index).collect();
            ServiceReport::new(model.name, &own, model.deadline, phase.length)
        });
        Ok(PhaseReport {
            phase: phase.name.clone(),
            policy: policy.to_string(),
            services: services.collect(),
            headroom: HeadroomReport::new(&self.deployment, &counts),
            drain_seconds: drain.map(|time| time.as_secs_f64()),
            ticket_seconds: change.ticket_time.map(|time| time.as_secs_f64()),
            resent: records.iter().filter(|record| record.resent).count(),
            audit,
        })
    }

    fn service_index(&self, name: &str) -> Result<usize, StandinError> {
        let services = &self.deployment.services;
        let index = services.iter().position(|service| service.name == name);
        index.ok_or_else(|| StandinError::Scenario(format!("no service {name}")))
    }
}

fn no_fault() -> RawFault {
    RawFault {
        fault: None,
        server: None,
        count: None,
        ms: 0,
    }
}
