//! One caller that makes one request of each kind.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use model::fault::InputFault;
use model::ids;
use model::spec::ServiceClass;
use settings::list::{ProgramHelp, SettingHelp};
use settings::reader::SettingReader;

use crate::error::StandinError;
use crate::load::caller::{CallerPool, HostWord, LoadRequest};
use crate::load::deployment::{Deployment, DeploymentName};
use crate::load::outcome::LoadOutcome;

const fn help(name: &'static str, value: &'static str, text: &'static str) -> SettingHelp {
    SettingHelp { name, value, text }
}

/// Help text of the command.
pub const HELP: ProgramHelp = ProgramHelp {
    program: "wisteria-standin caller",
    summary: "Makes one request of each kind and tells what was answered.",
    settings: &[
        help(
            "entries",
            "ADDRESSES",
            "entry hosts that the caller knows to begin with",
        ),
        help("zone", "NAME", "availability zone of the caller"),
        help(
            "kinds",
            "KINDS",
            "read, write or bulk, with commas between them [all]",
        ),
        help(
            "id",
            "NAME",
            "identity and idempotency key of the requests [c1]",
        ),
    ],
};

/// Checked settings of the caller.
#[derive(Debug)]
pub struct CallerSettings {
    entries: Vec<SocketAddr>,
    zone: ids::ZoneName,
    kinds: Vec<ServiceClass>,
    id: String,
}

impl TryFrom<SettingReader> for CallerSettings {
    type Error = Vec<InputFault>;

    fn try_from(mut reader: SettingReader) -> Result<Self, Self::Error> {
        let entries = reader.list("entries", SettingReader::address);
        let zone = reader.required("zone", SettingReader::name);
        let mut kinds = reader.list("kinds", |text| {
            text.parse().map_err(|_| "read, write or bulk")
        });
        if kinds.is_empty() {
            kinds = vec![ServiceClass::Read, ServiceClass::Write, ServiceClass::Bulk];
        }
        let id = reader.or("id", SettingReader::name, "c1".to_string());
        reader.finish()?;
        Ok(Self {
            entries,
            zone: zone.unwrap_or_default(),
            kinds,
            id,
        })
    }
}

/// One request and what became of it.
#[derive(Debug)]
pub struct CallerStep {
    host: HostWord,
    request: LoadRequest,
    outcome: LoadOutcome,
    time: Duration,
}

impl CallerStep {
    /// Tells whether the whole own answer came.
    pub fn is_answered(&self) -> bool {
        self.outcome == LoadOutcome::Answered
    }
}

impl fmt::Display for CallerStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outcome = match &self.outcome {
            LoadOutcome::Answered => "the whole own answer".to_string(),
            outcome => format!("{outcome:?}"),
        };
        write!(
            f,
            "{} {} by {} ({}): {outcome} after {} ms",
            self.request.method,
            self.request.path,
            self.host.name,
            self.host.address,
            self.time.as_millis()
        )
    }
}

/// Asks which entry host to use and makes the requests there, one after the other.
///
/// # Errors
///
/// Fails where nobody names an entry host.
pub async fn run(settings: CallerSettings) -> Result<Vec<CallerStep>, StandinError> {
    let callers = CallerPool::new(settings.entries, 1);
    let hosts = callers.hosts(&settings.zone).await;
    let Some(host) = hosts.first() else {
        return Err(StandinError::Scenario("no entry host was named".into()));
    };
    let deployment = Deployment::new(DeploymentName::Cumbre, 1.0);
    let mut steps = Vec::new();
    for kind in settings.kinds {
        let service = deployment.services.iter().find(|s| s.class == kind);
        let Some(service) = service else { continue };
        let request = LoadRequest::new(service, &format!("{}-{kind}", settings.id));
        let start = Instant::now();
        let outcome = callers.send_to(host.address, &host.zone, &request).await;
        steps.push(CallerStep {
            host: host.clone(),
            request,
            outcome,
            time: start.elapsed(),
        });
    }
    Ok(steps)
}
