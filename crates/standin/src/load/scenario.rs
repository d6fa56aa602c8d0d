//! Scenarios of the load tool, as written in TOML and in checked form.

use std::time::Duration;

use model::fault::InputFault;
use serde::{Deserialize, Serialize};

use crate::backend::fault::{FaultCommand, RawFault};
use crate::load::deployment::DeploymentName;
use crate::load::policy::SteeringPolicy;

/// An unchecked scenario, as written in TOML.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawScenario {
    /// Name of the deployment.
    pub deployment: String,
    /// Scale of the deployment, relative to its full size.
    pub scale: f64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Policies; every phase runs under each of them.
    pub policies: Vec<String>,
    /// Phases, in the order in which they run.
    pub phase: Vec<RawPhase>,
}

/// An unchecked phase.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPhase {
    /// Name of the phase.
    pub name: String,
    /// Length of the phase, in seconds.
    pub seconds: f64,
    /// Offered load relative to the capacity of all backend servers.
    pub load: f64,
    /// Time of the placement change since the start of the phase, in seconds.
    #[serde(default)]
    pub at: f64,
    /// Move of a service to other regions, if any.
    pub shift: Option<RawShift>,
    /// Drain of servers, if any.
    pub drain: Option<RawDrain>,
    /// Faults to inject.
    #[serde(default)]
    pub fault: Vec<RawTimedFault>,
}

/// A move of a service from one set of regions to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawShift {
    /// Name of the service.
    pub service: String,
    /// Regions in which the service runs at the start of the phase.
    pub from: Vec<String>,
    /// Regions in which the service runs after the change.
    pub to: Vec<String>,
}

/// A drain of some servers of a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawDrain {
    /// Name of the service.
    pub service: String,
    /// Number of leaving servers.
    pub servers: usize,
}

/// An unchecked fault with its time.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTimedFault {
    /// Time since the start of the phase, in seconds.
    pub at: f64,
    /// Name of the service whose servers the fault affects.
    pub service: String,
    /// Fault command for the servers.
    pub order: RawFault,
}

/// A checked scenario.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name of the deployment.
    pub deployment: DeploymentName,
    /// Scale of the deployment, relative to its full size.
    pub scale: f64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Policies; every phase runs under each of them.
    pub policies: Vec<SteeringPolicy>,
    /// Phases, in the order in which they run.
    pub phases: Vec<LoadPhase>,
}

/// A checked phase.
#[derive(Debug, Clone)]
pub struct LoadPhase {
    /// Name of the phase.
    pub name: String,
    /// Length of the phase.
    pub length: Duration,
    /// Offered load relative to the capacity of all backend servers.
    pub load: f64,
    /// Time of the placement change since the start of the phase.
    pub at: Duration,
    /// Move of a service to other regions, if any.
    pub shift: Option<RawShift>,
    /// Drain of servers, if any.
    pub drain: Option<RawDrain>,
    /// Faults to inject, ordered by time.
    pub faults: Vec<TimedFault>,
}

/// A checked fault with its time.
#[derive(Debug, Clone)]
pub struct TimedFault {
    /// Time since the start of the phase.
    pub at: Duration,
    /// Name of the service whose servers the fault affects.
    pub service: String,
    /// Fault command, in the form that is sent to the stand-ins.
    pub order: RawFault,
}

/// Maximum length of a phase, and maximum time within it, in seconds.
const MAX_PHASE_SECONDS: f64 = 600.0;

/// Maximum offered load relative to the capacity of all backend servers.
const MAX_LOAD: f64 = 20.0;

impl TryFrom<RawScenario> for Scenario {
    type Error = Vec<InputFault>;

    fn try_from(raw: RawScenario) -> Result<Self, Self::Error> {
        let mut faults = Vec::new();
        let deployment = raw.deployment.parse();
        if deployment.is_err() {
            faults.push(InputFault::new(
                "deployment",
                &raw.deployment,
                "cumbre or roshni",
            ));
        }
        if !(raw.scale > 0.0 && raw.scale <= 1.0) {
            faults.push(InputFault::new("scale", raw.scale, "above 0, at most 1"));
        }
        let mut policies = Vec::new();
        for name in &raw.policies {
            match name.parse() {
                Ok(policy) => policies.push(policy),
                Err(_) => faults.push(InputFault::new(
                    "policies",
                    name,
                    "wisteria, round-robin or nearest-zone",
                )),
            }
        }
        let phases = raw.phase.into_iter();
        let phases = phases
            .map(|phase| check_phase(phase, &mut faults))
            .collect();
        match deployment {
            Ok(deployment) if faults.is_empty() => Ok(Self {
                deployment,
                scale: raw.scale,
                seed: raw.seed,
                policies,
                phases,
            }),
            _ => Err(faults),
        }
    }
}

/// Converts a phase, and adds its faults to `faults`.
fn check_phase(raw: RawPhase, faults: &mut Vec<InputFault>) -> LoadPhase {
    let field = |name: &str| format!("phase.{}.{name}", raw.name);
    let length = check_seconds(field("seconds"), raw.seconds, faults);
    let at = check_seconds(field("at"), raw.at, faults);
    if !(raw.load > 0.0 && raw.load <= MAX_LOAD) {
        faults.push(InputFault::new(
            field("load"),
            raw.load,
            "above 0, at most 20",
        ));
    }
    let mut timed_faults = Vec::new();
    for fault in &raw.fault {
        if let Err(e) = FaultCommand::try_from(fault.order.clone()) {
            faults.push(e);
        }
        timed_faults.push(TimedFault {
            at: check_seconds(field("fault.at"), fault.at, faults),
            service: fault.service.clone(),
            order: fault.order.clone(),
        });
    }
    timed_faults.sort_by_key(|fault| fault.at);
    LoadPhase {
        length,
        load: raw.load,
        at,
        shift: raw.shift,
        drain: raw.drain,
        faults: timed_faults,
        name: raw.name,
    }
}

/// Converts a number of seconds. If it is out of range, adds a fault and returns zero.
fn check_seconds(field: String, value: f64, faults: &mut Vec<InputFault>) -> Duration {
    if (0.0..=MAX_PHASE_SECONDS).contains(&value) {
        return Duration::from_secs_f64(value);
    }
    faults.push(InputFault::new(field, value, "0 to 600 seconds"));
    Duration::ZERO
}
