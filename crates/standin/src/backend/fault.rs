//! Faults that can be injected into a stand-in backend server.

use std::time::Duration;

use model::fault::InputFault;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// The kind of an injected fault.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Runs the request, then closes the connection before the first byte of the answer.
    DieBeforeAnswer,
    /// Closes the connection before the request is read completely; the request doesn't run.
    DieMidRequest,
    /// Runs the request, then aborts the connection in the middle of the answer.
    DieMidAnswer,
    /// Delays the answer by the given time.
    Late,
    /// Sends extra bytes after the answer.
    Extra,
    /// Closes the connection cleanly before the declared end of the answer.
    Short,
    /// Makes all open connections silent for good; new connections work.
    Silent,
    /// Sheds the request in the documented form.
    Shed,
    /// Runs the request, then answers 503 without the headers of the documented form.
    PlainError,
    /// The load endpoint reports an idle server.
    LieIdle,
    /// The health endpoint reports an unhealthy server.
    LieSick,
    /// The load endpoint keeps reporting the load at which the fault began.
    FreezeReports,
    /// The load and health endpoints close the connection without an answer.
    NoReports,
}

impl FaultKind {
    /// Returns whether the fault affects load and health reports rather than requests.
    pub fn affects_reports(self) -> bool {
        matches!(
            self,
            Self::LieIdle | Self::LieSick | Self::FreezeReports | Self::NoReports
        )
    }
}

/// An unchecked fault command, the body of `POST /control`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawFault {
    /// Kind of the fault; if absent, the command ends all faults.
    #[serde(default)]
    pub fault: Option<String>,
    /// Index of the server; if absent, the command applies to all servers.
    #[serde(default)]
    pub server: Option<usize>,
    /// Number of requests that the fault affects; if absent, it affects all requests until it ends.
    #[serde(default)]
    pub count: Option<u64>,
    /// Delay of the answer for [`FaultKind::Late`], in milliseconds.
    #[serde(default)]
    pub ms: u64,
}

/// A checked fault command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultCommand {
    /// Kind of the fault; if absent, the command ends all faults.
    pub kind: Option<FaultKind>,
    /// Index of the server, or `None` for all servers.
    pub server: Option<usize>,
    /// Number of requests that the fault affects, or `None` for all until it ends.
    pub count: Option<u64>,
    /// Delay of the answer for [`FaultKind::Late`].
    pub delay: Duration,
}

impl TryFrom<RawFault> for FaultCommand {
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
            delay: Duration::from_millis(raw.ms),
        })
    }
}

/// The faults that are active on one server: at most one of requests and one of reports.
#[derive(Debug, Clone, Default)]
pub struct FaultTable {
    request_fault: Option<FaultCommand>,
    report_fault: Option<FaultKind>,
}

impl FaultTable {
    /// Applies a command. A new fault replaces the active one of the same group, requests or
    /// reports.
    pub fn apply(&mut self, command: FaultCommand) {
        match command.kind {
            None => *self = Self::default(),
            Some(kind) if kind.affects_reports() => self.report_fault = Some(kind),
            Some(_) => self.request_fault = Some(command),
        }
    }

    /// Returns the fault and delay of the next request, and counts the request against the fault's
    /// limit.
    pub fn next_request_fault(&mut self) -> Option<(FaultKind, Duration)> {
        let command = self.request_fault.as_mut()?;
        let fault = (command.kind?, command.delay);
        if let Some(count) = &mut command.count {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.request_fault = None;
            }
        }
        Some(fault)
    }

    /// Returns the active fault of load and health reports.
    pub fn report_fault(&self) -> Option<FaultKind> {
        self.report_fault
    }
}
