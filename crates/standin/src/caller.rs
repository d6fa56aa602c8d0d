//! The command `caller`, which sends one request of each kind through an entry host.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use model::fault::InputFault;
use model::ids;
use model::spec::ServiceClass;
use settings::help::{ProgramHelp, SettingHelp};
use settings::reader::SettingReader;

use crate::error::StandinError;
use crate::load::caller::{CallerPool, ListedHost, LoadRequest};
use crate::load::deployment::{Deployment, DeploymentName};
use crate::load::outcome::LoadOutcome;

const fn help(name: &'static str, value: &'static str, text: &'static str) -> SettingHelp {
    SettingHelp { name, value, text }
}

/// Help text of the command `caller`.
pub const HELP: ProgramHelp = ProgramHelp {
    program: "wisteria-standin caller",
    summary: "Sends one request of each kind and prints the outcomes.",
    settings: &[
        help(
            "entries",
            "ADDRESSES",
            "entry hosts to ask for the list of entry hosts, comma-separated",
        ),
        help("zone", "NAME", "availability zone of the caller"),
        help(
            "kinds",
            "KINDS",
            "read, write or bulk, comma-separated [all]",
        ),
        help(
            "id",
            "NAME",
            "prefix of the request ids and idempotency keys [c1]",
        ),
    ],
};

/// Checked settings of the command `caller`.
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

/// One request and its outcome.
#[derive(Debug)]
pub struct CallerResult {
    host: ListedHost,
    request: LoadRequest,
    outcome: LoadOutcome,
    time: Duration,
}

impl CallerResult {
    /// Returns whether the caller got the complete answer to its own request.
    pub fn is_answered(&self) -> bool {
        self.outcome == LoadOutcome::Answered
    }
}

impl fmt::Display for CallerResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outcome = match &self.outcome {
            LoadOutcome::Answered => "complete answer".to_string(),
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

/// Looks up the entry hosts of the zone, and sends the requests one by one to the first of them.
///
/// # Errors
///
/// Returns an error if the look-up returns no entry host.
pub async fn run(settings: CallerSettings) -> Result<Vec<CallerResult>, StandinError> {
    let pool = CallerPool::new(settings.entries, 1);
    let hosts = pool.hosts(&settings.zone).await;
    let Some(host) = hosts.first() else {
        return Err(StandinError::Scenario(
            "look-up of entry hosts failed: none of the given hosts returned an entry host".into(),
        ));
    };
    let deployment = Deployment::new(DeploymentName::Cumbre, 1.0);
    let mut results = Vec::new();
    for kind in settings.kinds {
        let service = deployment.services.iter().find(|s| s.class == kind);
        let Some(service) = service else { continue };
        let request = LoadRequest::new(service, &format!("{}-{kind}", settings.id));
        let start = Instant::now();
        let outcome = pool.send_to(host.address, &host.zone, &request).await;
        results.push(CallerResult {
            host: host.clone(),
            request,
            outcome,
            time: start.elapsed(),
        });
    }
    Ok(results)
}
