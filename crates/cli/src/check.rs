//! Every fault of a ticket file, without a network.

use std::fs;
use std::path::Path;

use model::fault::InputFault;
use model::ids;
use model::raw::RawTicket;
use model::ticket::ChangeTicket;
use serde::Serialize;

use crate::error::ClientError;
use crate::schema;

/// What was found in one ticket file.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FileCheck {
    /// The file as it was named.
    pub file: String,
    /// Number of the ticket, where it has no faults.
    pub number: Option<ids::TicketNumber>,
    /// Count of objects that the ticket touches, where it has no faults.
    pub objects: Option<usize>,
    /// Digest of the content, where it has no faults.
    pub digest: Option<String>,
    /// Every fault.
    pub faults: Vec<InputFault>,
}

/// Checks one ticket file.
///
/// # Errors
///
/// Fails where the file can't be read.
pub fn check_file(path: &Path) -> Result<FileCheck, ClientError> {
    let file = path.display().to_string();
    let checked = read_ticket(path)?;
    let check = match checked {
        Ok(ticket) => FileCheck {
            file,
            number: Some(ticket.number),
            objects: Some(ticket.objects.len()),
            digest: Some(ticket.digest()),
            faults: Vec::new(),
        },
        Err(faults) => FileCheck {
            file,
            number: None,
            objects: None,
            digest: None,
            faults,
        },
    };
    Ok(check)
}

/// Reads a ticket file; JSON where its name ends in `.json`, else TOML.
///
/// # Errors
///
/// The outer error is that the file can't be read, the inner one every fault of its content.
pub fn read_ticket(path: &Path) -> Result<Result<ChangeTicket, Vec<InputFault>>, ClientError> {
    let text = fs::read(path).map_err(|e| ClientError::File(path.display().to_string(), e))?;
    let json = path
        .extension()
        .is_some_and(|extension| extension == "json");
    Ok(check_ticket(&text, json))
}

/// Checks a ticket's text.
///
/// # Errors
///
/// Gives every fault found.
pub fn check_ticket(text: &[u8], json: bool) -> Result<ChangeTicket, Vec<InputFault>> {
    let mut table = parse(text, json).map_err(|fault| vec![fault])?;
    let mut faults = schema::inspect(&mut table);
    let raw: RawTicket = table.try_into().map_err(|e| {
        vec![InputFault::new(
            "ticket",
            e,
            "a ticket, see docs/tickets.md",
        )]
    })?;
    match ChangeTicket::try_from(raw) {
        Ok(ticket) if faults.is_empty() => return Ok(ticket),
        Ok(_) => (),
        Err(more) => {
            let known: Vec<_> = faults.iter().map(|fault| fault.field.clone()).collect();
            faults.extend(
                more.into_iter()
                    .filter(|fault| !covered(&known, &fault.field)),
            );
        }
    }
    Err(faults)
}

/// Tells whether a fault lies at or under a field that has a fault already, and so comes from
/// the neutral value there.
fn covered(known: &[String], field: &str) -> bool {
    known.iter().any(|path| {
        field
            .strip_prefix(path.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    })
}

fn parse(text: &[u8], json: bool) -> Result<toml::Table, InputFault> {
    if json {
        let parsed = RawTicket::MAX_BYTES >= text.len();
        let table: Option<Result<toml::Table, _>> = parsed.then(|| serde_json::from_slice(text));
        return match table {
            Some(Ok(table)) => Ok(table),
            // The typed reader gives the fault of size or syntax.
            _ => Err(syntax_fault(RawTicket::from_json(text).err())),
        };
    }
    let text = String::from_utf8_lossy(text);
    if text.len() <= RawTicket::MAX_BYTES {
        if let Ok(table) = text.parse::<toml::Table>() {
            return Ok(table);
        }
    }
    Err(syntax_fault(RawTicket::from_toml(&text).err()))
}

fn syntax_fault(fault: Option<InputFault>) -> InputFault {
    fault.unwrap_or_else(|| InputFault::new("ticket", "", "a ticket, see docs/tickets.md"))
}
