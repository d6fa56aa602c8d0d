//! The figures of a run, as JSON and as a table.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::audit::FaultAudit;
use crate::load::headroom::HeadroomReport;
use crate::load::outcome::{LoadOutcome, RequestRecord};
use crate::load::scenario::Scenario;

/// Significant figures of a latency.
const LATENCY_FIGURES: u8 = 3;

/// The figures of a run.
#[derive(Debug, Clone, Serialize)]
pub struct RunReport {
    /// Name of the deployment.
    pub deployment: String,
    /// Part of the brief's rates.
    pub scale: f64,
    /// Seed.
    pub seed: u64,
    /// One entry a phase and policy.
    pub phases: Vec<PhaseReport>,
}

impl RunReport {
    /// Creates the report of a scenario without phases.
    pub fn new(scenario: &Scenario) -> Self {
        Self {
            deployment: scenario.deployment.to_string(),
            scale: scenario.scale,
            seed: scenario.seed,
            phases: Vec::new(),
        }
    }

    /// Tells whether nothing happened under the system's steering that must not.
    pub fn is_clean(&self) -> bool {
        self.phases
            .iter()
            .filter(|phase| phase.policy == "wisteria")
            .all(|phase| phase.audit.is_clean())
    }

    /// Writes the tables.
    pub fn tables(&self) -> String {
        let mut text = format!(
            "deployment {}, scale {}, seed {}\n\n",
            self.deployment, self.scale, self.seed
        );
        text.push_str(
            "| phase | policy | service | sent | answered in time | goodput /s | p50 ms | p99 ms | p99.9 ms | refused or failed |\n",
        );
        text.push_str("|---|---|---|---|---|---|---|---|---|---|\n");
        for phase in &self.phases {
            phase.service_rows(&mut text);
        }
        text.push_str(
            "\n| phase | policy | place 100 ms | place 1 s | region | link | drain s | ticket s | resent | doubled | lost | false not-run | cut | crossed | late on leaving |\n",
        );
        text.push_str("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
        for phase in &self.phases {
            phase.system_row(&mut text);
        }
        text
    }
}

/// Figures of one phase under one policy.
#[derive(Debug, Clone, Serialize)]
pub struct PhaseReport {
    /// Name of the phase.
    pub phase: String,
    /// Name of the policy.
    pub policy: String,
    /// One entry a service.
    pub services: Vec<ServiceReport>,
    /// Greatest load over cap.
    pub headroom: HeadroomReport,
    /// Time from a ticket's acceptance to the last new work on a leaving server, in seconds.
    pub drain_seconds: Option<f64>,
    /// Time from a ticket's acceptance to its coming into force everywhere, in seconds.
    pub ticket_seconds: Option<f64>,
    /// Requests that were sent again to a second entry host.
    pub resent: usize,
    /// Counts of what must never happen.
    pub audit: FaultAudit,
}

impl PhaseReport {
    fn service_rows(&self, text: &mut String) {
        for service in &self.services {
            let refused: Vec<_> = service
                .refused
                .iter()
                .map(|(reason, count)| format!("{reason} {count}"))
                .collect();
            // Writing to a string can't fail.
            let _ = writeln!(
                text,
                "| {} | {} | {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.1} | {} |",
                self.phase,
                self.policy,
                service.service,
                service.sent,
                service.in_time,
                service.goodput,
                service.p50_ms,
                service.p99_ms,
                service.p999_ms,
                refused.join(", ")
            );
        }
    }

    fn system_row(&self, text: &mut String) {
        let seconds = |value: Option<f64>| value.map_or("-".to_string(), |v| format!("{v:.2}"));
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "| {} | {} | {:.2} | {:.2} | {:.2} | {:.2} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            self.phase,
            self.policy,
            self.headroom.place,
            self.headroom.place_second,
            self.headroom.region,
            self.headroom.link,
            seconds(self.drain_seconds),
            seconds(self.ticket_seconds),
            self.resent,
            self.audit.doubled,
            self.audit.lost,
            self.audit.false_not_run,
            self.audit.cut,
            self.audit.crossed,
            self.audit.late_on_leaving,
        );
    }
}

/// Figures of one service in a phase.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: String,
    /// Requests sent.
    pub sent: usize,
    /// Requests answered before their deadline.
    pub in_time: usize,
    /// Requests answered before their deadline, a second.
    pub goodput: f64,
    /// Median latency of answers, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Other ends by reason.
    pub refused: BTreeMap<String, usize>,
}

impl ServiceReport {
    /// Computes the figures of a service from its ended requests.
    pub fn new(
        service: &str,
        records: &[&RequestRecord],
        deadline: Duration,
        length: Duration,
    ) -> Self {
        let mut refused: BTreeMap<String, usize> = BTreeMap::new();
        let mut latencies = Histogram::<u64>::new(LATENCY_FIGURES).ok();
        let mut in_time = 0;
        for record in records {
            if record.outcome == LoadOutcome::Answered {
                in_time += usize::from(record.latency <= deadline);
                let micros = u64::try_from(record.latency.as_micros()).unwrap_or(u64::MAX);
                if let Some(latencies) = &mut latencies {
                    // The histogram grows as needed; a value that it can't hold is left out.
                    let _ = latencies.record(micros);
                }
                continue;
            }
            *refused.entry(name(&record.outcome)).or_default() += 1;
        }
        let at = |quantile: f64| {
            let micros = latencies
                .as_ref()
                .map_or(0, |l| l.value_at_quantile(quantile));
            micros as f64 / 1000.0
        };
        Self {
            service: service.to_string(),
            sent: records.len(),
            in_time,
            goodput: in_time as f64 / length.as_secs_f64(),
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            refused,
        }
    }
}

fn name(outcome: &LoadOutcome) -> String {
    match outcome {
        LoadOutcome::Answered => "answered".to_string(),
        LoadOutcome::NotRun(reason) => format!("not-run:{reason}"),
        LoadOutcome::Unknown(reason) => format!("unknown:{reason}"),
        LoadOutcome::Broken => "broken".to_string(),
        LoadOutcome::Failed => "failed".to_string(),
        LoadOutcome::Cut => "cut".to_string(),
        LoadOutcome::Crossed => "crossed".to_string(),
    }
}
