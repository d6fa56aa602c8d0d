//! Executes commands.

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
use crate::explain;
use crate::preview;
use crate::report::{
    CommandReport, HostRow, ObjectRow, ReplicaRow, StatusReport, SubmitReport, TicketRow,
    WaitReport,
};

/// Interval between polls of the entry hosts while `--wait` is in effect.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Role of a replica, or condition of an entry host, that didn't answer.
const NO_ANSWER: &str = "no answer";

/// Executes a command other than help and version.
///
/// # Errors
///
/// Fails if a file can't be read, a process refuses the request, or no process answers in time.
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
        ClientCommand::Status => Ok(CommandReport::Status(query_status(&client).await)),
        ClientCommand::Dump(address) => {
            let state = client.query_at(address, "/v1/dump").await?;
            Ok(CommandReport::Dump { state })
        }
        ClientCommand::Explain { request, logs } => {
            let explanation = explain::explain(&request, &logs)?;
            Ok(CommandReport::Explanation(explanation))
        }
        // `main` handles these commands, so that this arm is not reached.
        ClientCommand::Help | ClientCommand::Version => {
            Ok(CommandReport::Dump { state: Value::Null })
        }
    }
}

/// A record of a verdict with the number of its ticket.
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
        return preview_verdict(client, &ticket).await;
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
            report.wait = Some(wait_in_force(client, revision).await);
        }
    }
    Ok(CommandReport::Submit(report))
}

/// Returns the verdict that a ticket would get, without submitting it.
async fn preview_verdict(
    client: &ControlClient,
    ticket: &ChangeTicket,
) -> Result<CommandReport, ClientError> {
    let number = ticket.number;
    let record: Result<VerdictRecord, _> = client.query(&format!("/v1/tickets/{number}")).await;
    let verdict = match record {
        Ok(record) if record.digest == ticket.digest() => record.verdict,
        Ok(record) => TicketVerdict::Conflict {
            holder: record.digest,
        },
        Err(ClientError::TooOld(lowest)) => TicketVerdict::TooOld { lowest },
        Err(ClientError::NotFound(_)) => {
            let state: ForceState = client.query("/v1/state").await?;
            preview::preview(&state, ticket)
        }
        Err(e) => return Err(e),
    };
    Ok(CommandReport::Preview { number, verdict })
}

/// Waits until a revision is in force on every entry host, or the deadline has passed.
async fn wait_in_force(client: &ControlClient, revision: ids::Revision) -> WaitReport {
    let start = Instant::now();
    loop {
        let state: Result<ForceState, _> = client.query_once("/v1/state").await;
        let behind = match &state {
            Ok(state) => query_hosts(client, state)
                .await
                .into_iter()
                .filter(|host| host.revision.is_none_or(|applied| applied < revision))
                .map(|host| host.name)
                .collect(),
            Err(_) => vec!["(the list of entry hosts)".to_string()],
        };
        if behind.is_empty() || client.is_expired() {
            return WaitReport {
                done: behind.is_empty(),
                ms: u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX),
                behind,
            };
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

async fn show(client: &ControlClient, filter: &ObjectFilter) -> Result<CommandReport, ClientError> {
    let state: ForceState = client.query("/v1/state").await?;
    let mut objects = Vec::new();
    add_rows(ObjectKind::Region, &state.regions, filter, &mut objects);
    add_rows(ObjectKind::Link, &state.links, filter, &mut objects);
    add_rows(ObjectKind::Host, &state.hosts, filter, &mut objects);
    add_rows(ObjectKind::Service, &state.services, filter, &mut objects);
    add_rows(ObjectKind::Block, &state.blocks, filter, &mut objects);
    Ok(CommandReport::Objects {
        revision: state.revision,
        digest: format!("{:016x}", state.digest),
        objects,
    })
}

/// Adds a row for each object of a kind that matches the filter; removed objects are left out.
fn add_rows<T: Serialize>(
    kind: ObjectKind,
    objects: &HeldMap<T>,
    filter: &ObjectFilter,
    rows: &mut Vec<ObjectRow>,
) {
    if filter.kind.is_some_and(|wanted| wanted != kind) {
        return;
    }
    for (name, object) in objects {
        let matches = filter.name.as_ref().is_none_or(|wanted| wanted == name);
        if let (true, Some(spec)) = (matches, &object.spec) {
            rows.push(ObjectRow {
                kind,
                name: name.clone(),
                ticket: object.ticket,
                state: serde_json::to_value(spec).unwrap_or_default(),
            });
        }
    }
}

/// Queries all replicas and entry hosts for their status.
async fn query_status(client: &ControlClient) -> StatusReport {
    let calls = client.controls().iter().map(|address| async move {
        let status: Result<Value, _> = client.query_at(*address, "/v1/status").await;
        replica_row(address.to_string(), status.ok().as_ref())
    });
    let mut replicas = future::join_all(calls).await;
    let state: Option<ForceState> = client.query_once("/v1/state").await.ok();
    let revision = state.as_ref().map(|state| state.revision);
    let mut hosts = match &state {
        Some(state) => query_hosts(client, state).await,
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

/// Returns the number of revisions by which `applied` lags behind `newest`, if both are known.
fn lag(newest: Option<ids::Revision>, applied: Option<ids::Revision>) -> Option<u64> {
    Some(newest?.saturating_sub(applied?))
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
        role: string_field(status, "role"),
        term: status["term"].as_u64(),
        revision: status["revision"].as_u64(),
        lag: None,
    }
}

/// Queries the condition and revision of every entry host in force, concurrently.
async fn query_hosts(client: &ControlClient, state: &ForceState) -> Vec<HostRow> {
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
        condition: string_field(status, "standing"),
        revision: status["revision"].as_u64(),
        ..row
    }
}

fn string_field(value: &Value, field: &str) -> String {
    value[field].as_str().unwrap_or("unnamed").to_string()
}
