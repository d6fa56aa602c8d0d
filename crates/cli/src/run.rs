//! Carries a command out.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use async_std::task;
use futures_util::future;
use ledger::tickets::VerdictRecord;
use ledger::verdict::TicketVerdict;
use model::ids;
use model::spec::ObjectKind;
use model::state::{self, ForceState, HeldMap};
use model::ticket::ChangeTicket;
use serde::Serialize;
use serde_json::Value;

use crate::args::{ClientArgs, ClientCommand, ObjectFilter};
use crate::check;
use crate::client::ControlClient;
use crate::error::ClientError;
use crate::preview;
use crate::report::{
    CommandReport, HostRow, ObjectRow, ReplicaRow, StatusReport, SubmitReport, TicketRow,
    WaitReport,
};

/// Pause between two looks at where a ticket is in force.
const WAIT_INTERVAL: Duration = Duration::from_millis(50);

/// Role of a replica and condition of an entry host that gave no answer.
const NO_ANSWER: &str = "no answer";

/// Carries out a command other than help and version.
///
/// # Errors
///
/// Fails where a file can't be read, a process refuses, or nobody answers in time.
pub async fn run(args: ClientArgs) -> Result<CommandReport, ClientError> {
    let client = ControlClient::new(args.controls, args.token, args.timeout);
    match args.command {
        ClientCommand::Check { files } => check_files(&files),
        ClientCommand::Submit {
            file,
            dry_run,
            wait,
        } => submit(&client, &file, dry_run, wait).await,
        ClientCommand::Show(filter) => show(&client, &filter).await,
        ClientCommand::Tickets => {
            let tickets: Vec<NumberedRecord> = client.query("/v1/tickets").await?;
            let tickets = tickets.into_iter().map(TicketRow::from).collect();
            Ok(CommandReport::Tickets { tickets })
        }
        ClientCommand::Ticket(number) => {
            let ticket: VerdictRecord = client.query(&format!("/v1/tickets/{number}")).await?;
            let ticket = TicketRow {
                number,
                digest: ticket.digest,
                verdict: ticket.verdict,
            };
            Ok(CommandReport::Tickets {
                tickets: vec![ticket],
            })
        }
        ClientCommand::Status => Ok(CommandReport::Status(status(&client).await)),
        ClientCommand::Dump(address) => {
            let state = client.query_at(address, "/v1/dump").await?;
            Ok(CommandReport::Dump { state })
        }
        // The program answers these by itself.
        ClientCommand::Help | ClientCommand::Version => {
            Ok(CommandReport::Dump { state: Value::Null })
        }
    }
}

/// A kept verdict with its number.
#[derive(Debug, serde::Deserialize)]
struct NumberedRecord {
    number: ids::TicketNumber,
    #[serde(flatten)]
    record: VerdictRecord,
}

impl From<NumberedRecord> for TicketRow {
    fn from(numbered: NumberedRecord) -> Self {
        Self {
            number: numbered.number,
            digest: numbered.record.digest,
            verdict: numbered.record.verdict,
        }
    }
}

fn check_files(files: &[PathBuf]) -> Result<CommandReport, ClientError> {
    let files: Result<_, _> = files.iter().map(|file| check::check_file(file)).collect();
    Ok(CommandReport::Check { files: files? })
}

async fn submit(
    client: &ControlClient,
    file: &Path,
    dry_run: bool,
    wait: bool,
) -> Result<CommandReport, ClientError> {
    let ticket = match check::read_ticket(file)? {
        Ok(ticket) => ticket,
        Err(_) => return check_files(&[file.to_path_buf()]),
    };
    if dry_run {
        return foresee(client, &ticket).await;
    }
    let answer = client.submit(&ticket).await?;
    let mut report = SubmitReport {
        number: ticket.number,
        verdict: answer.verdict,
        replica: answer.replica,
        sends: answer.sends,
        wait: None,
    };
    if let TicketVerdict::Accepted { revision, .. } = report.verdict {
        if wait {
            report.wait = Some(wait_everywhere(client, revision).await);
        }
    }
    Ok(CommandReport::Submit(report))
}

/// Tells what would be said of a ticket.
async fn foresee(
    client: &ControlClient,
    ticket: &ChangeTicket,
) -> Result<CommandReport, ClientError> {
    let number = ticket.number;
    let held: Result<VerdictRecord, _> = client.query(&format!("/v1/tickets/{number}")).await;
    let verdict = match held {
        Ok(record) if record.digest == ticket.digest() => record.verdict,
        Ok(record) => TicketVerdict::Conflict {
            holder: record.digest,
        },
        Err(ClientError::Refused(_)) => {
            let state: ForceState = client.query("/v1/state").await?;
            preview::preview(&state, ticket)
        }
        Err(e) => return Err(e),
    };
    Ok(CommandReport::Preview { number, verdict })
}

/// Waits until a revision is in force on every entry host.
async fn wait_everywhere(client: &ControlClient, revision: ids::Revision) -> WaitReport {
    let start = Instant::now();
    loop {
        let state: Result<ForceState, _> = client.query_once("/v1/state").await;
        let behind = match &state {
            Ok(state) => hosts(client, state)
                .await
                .into_iter()
                .filter(|host| host.revision.is_none_or(|held| held < revision))
                .map(|host| host.name)
                .collect(),
            Err(_) => vec!["(the list of entry hosts)".to_string()],
        };
        if behind.is_empty() || client.is_late() {
            return WaitReport {
                done: behind.is_empty(),
                ms: u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX),
                behind,
            };
        }
        task::sleep(WAIT_INTERVAL).await;
    }
}

async fn show(client: &ControlClient, filter: &ObjectFilter) -> Result<CommandReport, ClientError> {
    let state: ForceState = client.query("/v1/state").await?;
    let mut objects = Vec::new();
    collect(ObjectKind::Region, &state.regions, filter, &mut objects);
    collect(ObjectKind::Link, &state.links, filter, &mut objects);
    collect(ObjectKind::Host, &state.hosts, filter, &mut objects);
    collect(ObjectKind::Service, &state.services, filter, &mut objects);
    collect(ObjectKind::Block, &state.blocks, filter, &mut objects);
    Ok(CommandReport::Objects {
        revision: state.revision,
        digest: format!("{:016x}", state.digest),
        objects,
    })
}

/// Adds the objects of a kind that the filter lets through.
fn collect<T: Serialize>(
    kind: ObjectKind,
    held: &HeldMap<T>,
    filter: &ObjectFilter,
    rows: &mut Vec<ObjectRow>,
) {
    if filter.kind.is_some_and(|wanted| wanted != kind) {
        return;
    }
    for (name, object) in held {
        let wanted = filter.name.as_ref().is_none_or(|wanted| wanted == name);
        if let (true, Some(spec)) = (wanted, &object.spec) {
            rows.push(ObjectRow {
                kind,
                name: name.clone(),
                ticket: object.ticket,
                state: serde_json::to_value(spec).unwrap_or_default(),
            });
        }
    }
}

async fn status(client: &ControlClient) -> StatusReport {
    let calls = client.controls().iter().map(|address| async move {
        let status: Result<Value, _> = client.query_at(*address, "/v1/status").await;
        replica_row(address.to_string(), status.ok().as_ref())
    });
    let mut replicas = future::join_all(calls).await;
    let state: Option<ForceState> = client.query_once("/v1/state").await.ok();
    let revision = state.as_ref().map(|state| state.revision);
    let mut hosts = match &state {
        Some(state) => hosts(client, state).await,
        None => Vec::new(),
    };
    for row in &mut replicas {
        row.lag = lag(revision, row.revision);
    }
    for row in &mut hosts {
        row.lag = lag(revision, row.revision);
    }
    StatusReport {
        revision,
        replicas,
        hosts,
    }
}

fn lag(newest: Option<ids::Revision>, held: Option<ids::Revision>) -> Option<u64> {
    Some(newest?.saturating_sub(held?))
}

fn replica_row(address: String, status: Option<&Value>) -> ReplicaRow {
    let Some(status) = status else {
        return ReplicaRow {
            address,
            role: NO_ANSWER.to_string(),
            ..ReplicaRow::default()
        };
    };
    ReplicaRow {
        address,
        role: text(status, "role"),
        term: status["term"].as_u64(),
        revision: status["revision"].as_u64(),
        lag: None,
    }
}

/// Asks every entry host in force for its revision, all at once.
async fn hosts(client: &ControlClient, state: &ForceState) -> Vec<HostRow> {
    let calls = state::live(&state.hosts).map(|(name, spec)| async move {
        let status: Result<Value, _> = client.readiness(spec.callers).await;
        let row = HostRow {
            name: name.to_string(),
            zone: spec.zone.clone(),
            address: spec.callers.to_string(),
            ..HostRow::default()
        };
        host_row(row, status.ok().as_ref())
    });
    future::join_all(calls).await
}

fn host_row(row: HostRow, status: Option<&Value>) -> HostRow {
    let Some(status) = status else {
        return HostRow {
            condition: NO_ANSWER.to_string(),
            ..row
        };
    };
    HostRow {
        condition: text(status, "standing"),
        revision: status["revision"].as_u64(),
        ..row
    }
}

fn text(value: &Value, field: &str) -> String {
    value[field].as_str().unwrap_or("unnamed").to_string()
}
