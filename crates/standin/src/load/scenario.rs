//! Scenarios as written in TOML, and checked.

use std::time::Duration;

use model::fault::InputFault;
use serde::{Deserialize, Serialize};

use crate::backend::fault::{FaultOrder, RawFault};
use crate::load::deployment::DeploymentName;
use crate::load::policy::SteeringPolicy;

/// A scenario as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawScenario {
    /// Name of the deployment.
    pub deployment: String,
    /// Part of the brief's rates at which it runs.
    pub scale: f64,
    /// Seed of every random choice.
    pub seed: u64,
    /// Policies, each of which runs every phase.
    pub policies: Vec<String>,
    /// Phases in order.
    pub phase: Vec<RawPhase>,
}

/// A phase as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPhase {
    /// Name.
    pub name: String,
    /// Length, in seconds.
    pub seconds: f64,
    /// Offered load over what all back ends bear.
    pub load: f64,
    /// Second at which the change comes.
    #[serde(default)]
    pub at: f64,
    /// A service that starts in some regions and moves to others.
    pub shift: Option<RawShift>,
    /// Leaving servers.
    pub drain: Option<RawDrain>,
    /// Faults.
    #[serde(default)]
    pub fault: Vec<RawTimedFault>,
}

/// A move of a service as written.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawShift {
    /// The service.
    pub service: String,
    /// Regions that serve it at first.
    pub from: Vec<String>,
    /// Regions that serve it after the ticket.
    pub to: Vec<String>,
}

/// A drain as written.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawDrain {
    /// The service.
    pub service: String,
    /// Count of its servers that leave.
    pub servers: usize,
}

/// A fault at a time, as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTimedFault {
    /// Second of the phase.
    pub at: f64,
    /// The service whose servers it hits.
    pub service: String,
    /// The order.
    pub order: RawFault,
}

/// A checked scenario.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name of the deployment.
    pub deployment: DeploymentName,
    /// Part of the brief's rates at which it runs.
    pub scale: f64,
    /// Seed of every random choice.
    pub seed: u64,
    /// Policies, each of which runs every phase.
    pub policies: Vec<SteeringPolicy>,
    /// Phases in order.
    pub phases: Vec<LoadPhase>,
}

/// A checked phase.
#[derive(Debug, Clone)]
pub struct LoadPhase {
    /// Name.
    pub name: String,
    /// Length.
    pub length: Duration,
    /// Offered load over what all back ends bear.
    pub load: f64,
    /// Time at which the change comes.
    pub at: Duration,
    /// A service that moves.
    pub shift: Option<RawShift>,
    /// Leaving servers.
    pub drain: Option<RawDrain>,
    /// Faults in order.
    pub faults: Vec<TimedFault>,
}

/// A checked fault at a time.
#[derive(Debug, Clone)]
pub struct TimedFault {
    /// Time in the phase.
    pub at: Duration,
    /// The service whose servers it hits.
    pub service: String,
    /// The order as it is sent.
    pub order: RawFault,
}

/// Longest phase, in seconds.
const MAX_SECONDS: f64 = 600.0;

/// Greatest load over what all back ends bear.
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

fn check_phase(raw: RawPhase, faults: &mut Vec<InputFault>) -> LoadPhase {
    let field = |name: &str| format!("phase.{}.{name}", raw.name);
    let length = seconds(field("seconds"), raw.seconds, faults);
    let at = seconds(field("at"), raw.at, faults);
    if !(raw.load > 0.0 && raw.load <= MAX_LOAD) {
        faults.push(InputFault::new(
            field("load"),
            raw.load,
            "above 0, at most 20",
        ));
    }
    let mut timed = Vec::new();
    for fault in &raw.fault {
        if let Err(e) = FaultOrder::try_from(fault.order.clone()) {
            faults.push(e);
        }
        timed.push(TimedFault {
            at: seconds(field("fault.at"), fault.at, faults),
            service: fault.service.clone(),
            order: fault.order.clone(),
        });
    }
    timed.sort_by_key(|fault| fault.at);
    LoadPhase {
        length,
        load: raw.load,
        at,
        shift: raw.shift,
        drain: raw.drain,
        faults: timed,
        name: raw.name,
    }
}

fn seconds(field: String, value: f64, faults: &mut Vec<InputFault>) -> Duration {
    if (0.0..=MAX_SECONDS).contains(&value) {
        return Duration::from_secs_f64(value);
    }
    faults.push(InputFault::new(field, value, "0 to 600 seconds"));
    Duration::ZERO
}
