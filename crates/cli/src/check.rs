//! Offline validation of ticket files.

use std::fs;
use std::path::Path;

use model::fault::InputFault;
use model::ids;
use model::raw::RawTicket;
use model::ticket::ChangeTicket;
use serde::Serialize;

use crate::error::ClientError;
use crate::schema;

/// Result of the validation of one ticket file.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FileCheck {
    /// Path of the file as given on the command line.
    pub file: String,
    /// Number of the ticket, if it is valid.
    pub number: Option<ids::TicketNumber>,
    /// Number of objects that the ticket sets or removes, if it is valid.
    pub objects: Option<usize>,
    /// Digest of the ticket's content, if it is valid.
    pub digest: Option<String>,
    /// All validation errors.
    pub faults: Vec<InputFault>,
}

/// Validates one ticket file.
///
/// # Errors
///
/// Returns [`ClientError::File`] if the file can't be read.
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

/// Reads and validates a ticket file, as JSON if its name ends in `.json`, otherwise as TOML.
///
/// # Errors
///
/// The outer error is [`ClientError::File`] if the file can't be read; the inner error has all
/// validation errors of its content.
pub fn read_ticket(path: &Path) -> Result<Result<ChangeTicket, Vec<InputFault>>, ClientError> {
    let text = fs::read(path).map_err(|e| ClientError::File(path.display().to_string(), e))?;
    let json = path
        .extension()
        .is_some_and(|extension| extension == "json");
    Ok(check_ticket(&text, json))
}

/// Parses and validates the text of a ticket.
///
/// # Errors
///
/// Returns all validation errors.
pub fn check_ticket(text: &[u8], json: bool) -> Result<ChangeTicket, Vec<InputFault>> {
    let mut table = parse_table(text, json).map_err(|fault| vec![fault])?;
    let mut faults = schema::check_fields(&mut table);
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
            let reported: Vec<_> = faults.iter().map(|fault| fault.field.clone()).collect();
            faults.extend(
                more.into_iter()
                    .filter(|fault| !is_reported(&reported, &fault.field)),
            );
        }
    }
    Err(faults)
}

/// Returns whether the field, or a field that contains it, is already reported.
///
/// An error in such a field is caused by the placeholder value that replaces the invalid one.
fn is_reported(reported: &[String], field: &str) -> bool {
    reported.iter().any(|path| {
        field
            .strip_prefix(path.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    })
}

/// Parses the text into an untyped table.
fn parse_table(text: &[u8], json: bool) -> Result<toml::Table, InputFault> {
    if json {
        let size_allowed = text.len() <= RawTicket::MAX_BYTES;
        let table: Option<Result<toml::Table, _>> =
            size_allowed.then(|| serde_json::from_slice(text));
        return match table {
            Some(Ok(table)) => Ok(table),
            // The typed parser reports the invalid size or syntax.
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
