//! Tickets as parsed from TOML or JSON, before validation.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fault::InputFault;
use crate::ids;

/// A ticket as parsed from TOML or JSON.
///
/// Only the fields' names and types are checked; [`ChangeTicket`](crate::ticket::ChangeTicket) is
/// the validated form.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTicket {
    /// Number of the ticket.
    pub number: ids::TicketNumber,
    /// Regions by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub region: BTreeMap<String, RawRegion>,
    /// Links by the names of the two regions that they connect, such as `altiplano/oriente`.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub link: BTreeMap<String, RawLink>,
    /// Entry hosts by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub host: BTreeMap<String, RawHost>,
    /// Services by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub service: BTreeMap<String, RawService>,
    /// Blocks of client addresses by prefix, such as `10.1.0.0/16`.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub block: BTreeMap<String, RawBlock>,
    /// Objects to remove, each given as `kind/name`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub remove: Vec<String>,
}

/// A region before validation.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRegion {
    /// Availability zones of the region.
    pub zones: Vec<String>,
    /// Maximum rate that steering may send to the region, in requests per second.
    pub cap: f64,
}

/// A link before validation.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLink {
    /// Capacity in each direction, in megabits per second.
    pub mbits: f64,
}

/// An entry host before validation.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawHost {
    /// Availability zone of the host.
    pub zone: String,
    /// Address that callers and backend servers connect to.
    pub callers: String,
    /// Address that other processes of the system connect to.
    pub peers: String,
}

/// A service before validation.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Priority class: `bulk`, `read` or `write`.
    pub class: String,
    /// Maximum growth of the traffic to each place, in requests per second per second.
    pub shift: f64,
    /// Places that serve the service, by availability zone.
    pub places: BTreeMap<String, RawPlace>,
    /// Addresses of backend servers that get no new requests because they are leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<String>,
}

/// A place before validation.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPlace {
    /// Maximum rate of the place, in requests per second.
    pub cap: f64,
}

/// A block of client addresses before validation.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawBlock {
    /// Availability zone whose entry hosts are preferred for the block.
    pub zone: String,
}

impl RawTicket {
    /// Maximum size of a ticket's text, in bytes.
    pub const MAX_BYTES: usize = 4 << 20;

    /// Parses a ticket from TOML.
    ///
    /// # Errors
    ///
    /// Returns an error if the text exceeds [`RawTicket::MAX_BYTES`] or isn't a ticket; the latter
    /// error contains the line number.
    pub fn from_toml(text: &str) -> Result<Self, InputFault> {
        check_size(text.len())?;
        toml::from_str(text)
            .map_err(|e| InputFault::new("ticket", e.message(), toml_expectation(text, &e)))
    }

    /// Parses a ticket from JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the text exceeds [`RawTicket::MAX_BYTES`] or isn't a ticket; the latter
    /// error contains the line and column.
    pub fn from_json(text: &[u8]) -> Result<Self, InputFault> {
        check_size(text.len())?;
        serde_json::from_slice(text)
            .map_err(|e| InputFault::new("ticket", e, "a ticket in JSON, see docs/tickets.md"))
    }
}

fn check_size(bytes: usize) -> Result<(), InputFault> {
    if bytes <= RawTicket::MAX_BYTES {
        return Ok(());
    }
    let allowed = format!("at most {} bytes", RawTicket::MAX_BYTES);
    Err(InputFault::new("ticket", format!("{bytes} bytes"), allowed))
}

/// Describes what is allowed instead of invalid TOML, with the line of the error.
fn toml_expectation(text: &str, error: &toml::de::Error) -> String {
    let start = error.span().map_or(0, |span| span.start);
    let line = text[..start.min(text.len())].matches('\n').count() + 1;
    format!("a ticket in TOML, see docs/tickets.md (line {line})")
}
