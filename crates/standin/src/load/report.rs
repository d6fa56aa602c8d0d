//! Results of a run, as JSON and as tables.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::audit::ViolationAudit;
use crate::load::headroom::HeadroomReport;
use crate::load::outcome::{LoadOutcome, RequestRecord};
use crate::load::scenario::Scenario;

/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// The results of a run.
#[derive(Debug, Clone, Serialize)]
pub struct RunReport {
    /// Name of the deployment.
    pub deployment: String,
    /// Scale of the deployment, relative to its full size.
    pub scale: f64,
    /// Seed of the random choices.
    pub seed: u64,
    /// Results by phase and policy.
    pub phases: Vec<PhaseReport>,
}

impl RunReport {
    /// Creates a report of a scenario that has no results yet.
    pub fn new(scenario: &Scenario) -> Self {
        Self {
            deployment: scenario.deployment.to_string(),
            scale: scenario.scale,
            seed: scenario.seed,
            phases: Vec::new(),
        }
    }

    /// Returns whether no guarantee was violated in the phases that ran under the policy
    /// `wisteria`.
    pub fn is_clean(&self) -> bool {
        self.phases
            .iter()
            .filter(|phase| phase.policy == "wisteria")
            .all(|phase| phase.audit.is_clean())
    }

    /// Returns the results as Markdown tables.
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

/// The results of one phase under one policy.
#[derive(Debug, Clone, Serialize)]
pub struct PhaseReport {
    /// Name of the phase.
    pub phase: String,
    /// Name of the policy.
    pub policy: String,
    /// Results by service.
    pub services: Vec<ServiceReport>,
    /// Peak load relative to the caps.
    pub headroom: HeadroomReport,
    /// Time from a ticket's acceptance to the last new request on a leaving server, in seconds.
    pub drain_seconds: Option<f64>,
    /// Time from a ticket's acceptance until it is in force on every entry host, in seconds.
    pub ticket_seconds: Option<f64>,
    /// Requests that were retried at a second entry host.
    pub resent: usize,
    /// Counts of violated guarantees.
    pub audit: ViolationAudit,
}

impl PhaseReport {
    /// Appends the rows of the phase to the table of services.
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

    /// Appends the row of the phase to the table of the whole system.
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

/// The results of one service in a phase.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: String,
    /// Requests that were sent.
    pub sent: usize,
    /// Requests that were answered within their deadline.
    pub in_time: usize,
    /// Requests per second that were answered within their deadline.
    pub goodput: f64,
    /// Median latency of answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of that latency, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of that latency, in milliseconds.
    pub p999_ms: f64,
    /// Numbers of requests that were not answered, by outcome and reason.
    pub refused: BTreeMap<String, usize>,
}

impl ServiceReport {
    /// Computes the results of a service from the records of its requests in a phase of the given
    /// length.
    pub fn new(
        service: &str,
        records: &[&RequestRecord],
        deadline: Duration,
        phase_length: Duration,
    ) -> Self {
        let mut refused: BTreeMap<String, usize> = BTreeMap::new();
        let mut latencies = Histogram::<u64>::new(LATENCY_DIGITS).ok();
        let mut in_time = 0;
        for record in records {
            if record.outcome == LoadOutcome::Answered {
                in_time += usize::from(record.latency <= deadline);
                let micros = u64::try_from(record.latency.as_micros()).unwrap_or(u64::MAX);
                if let Some(latencies) = &mut latencies {
                    // The histogram resizes as needed. A value that it can't hold is left out.
                    let _ = latencies.record(micros);
                }
                continue;
            }
            *refused.entry(outcome_label(&record.outcome)).or_default() += 1;
        }
        let quantile_ms = |quantile: f64| {
            let micros = latencies
                .as_ref()
                .map_or(0, |l| l.value_at_quantile(quantile));
            micros as f64 / 1000.0
        };
        Self {
            service: service.to_string(),
            sent: records.len(),
            in_time,
            goodput: in_time as f64 / phase_length.as_secs_f64(),
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            p999_ms: quantile_ms(0.999),
            refused,
        }
    }
}

fn outcome_label(outcome: &LoadOutcome) -> String {
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
