//! Faults that a stand-in has on request.

use std::time::Duration;

use model::fault::InputFault;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Kinds of faults.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Runs the request and closes the connection before the first byte of the answer.
    DieBeforeAnswer,
    /// Closes the connection within the request, which doesn't run.
    DieMidRequest,
    /// Closes the connection within the answer.
    DieMidAnswer,
    /// Answers late by the given time.
    Late,
    /// Sends bytes behind the answer.
    Extra,
    /// Ends the connection in good form before the declared end of the answer.
    Short,
    /// Connections that are open now go silent for good; new ones work.
    Silent,
    /// Sheds every request in the documented form.
    Shed,
    /// Answers 503 without the documented form, after having run the request.
    PlainError,
    /// The load endpoint says idle.
    LieIdle,
    /// The health endpoint says sick.
    LieSick,
    /// The endpoints for load and health show what they showed when the fault began.
    FreezeReports,
    /// The endpoints for load and health don't answer.
    NoReports,
}

impl FaultKind {
    /// Tells whether the fault is one of the reports, not of the requests.
    pub fn is_of_reports(self) -> bool {
        matches!(
            self,
            Self::LieIdle | Self::LieSick | Self::FreezeReports | Self::NoReports
        )
    }
}

/// A fault as ordered by `POST /control`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawFault {
    /// Kind; absent, all faults end.
    #[serde(default)]
    pub fault: Option<String>,
    /// Index of the server; absent, all servers.
    #[serde(default)]
    pub server: Option<usize>,
    /// Requests that it hits; absent, all until it ends.
    #[serde(default)]
    pub count: Option<u64>,
    /// Lateness, in milliseconds.
    #[serde(default)]
    pub ms: u64,
}

/// A checked order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultOrder {
    /// Kind; absent, all faults end.
    pub kind: Option<FaultKind>,
    /// Index of the server, or all.
    pub server: Option<usize>,
    /// Requests that it hits, or all.
    pub count: Option<u64>,
    /// Lateness.
    pub late: Duration,
}

impl TryFrom<RawFault> for FaultOrder {
    type Error = InputFault;

    fn try_from(raw: RawFault) -> Result<Self, Self::Error> {
        let kind = match &raw.fault {
            None => None,
            Some(name) => Some(name.parse().map_err(|_| {
                InputFault::new("fault", name, "a kind of fault that docs/testing.md lists")
            })?),
        };
        Ok(Self {
            kind,
            server: raw.server,
            count: raw.count,
            late: Duration::from_millis(raw.ms),
        })
    }
}

/// Faults of one server.
#[derive(Debug, Clone, Default)]
pub struct FaultTable {
    request: Option<FaultOrder>,
    report: Option<FaultKind>,
}

impl FaultTable {
    /// Takes an order; it replaces the fault of its sort.
    pub fn order(&mut self, order: FaultOrder) {
        match order.kind {
            None => *self = Self::default(),
            Some(kind) if kind.is_of_reports() => self.report = Some(kind),
            Some(_) => self.request = Some(order),
        }
    }

    /// Takes the fault that hits the next request.
    pub fn next_request(&mut self) -> Option<(FaultKind, Duration)> {
        let order = self.request.as_mut()?;
        let fault = (order.kind?, order.late);
        if let Some(count) = &mut order.count {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.request = None;
            }
        }
        Some(fault)
    }

    /// Returns the fault of the reports.
    pub fn report(&self) -> Option<FaultKind> {
        self.report
    }
}
