//! A ticket as written, before its checks.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fault::InputFault;
use crate::ids;

/// A ticket as read from TOML or JSON; nothing in it is checked.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTicket {
    /// Number of the ticket.
    pub number: ids::TicketNumber,
    /// Regions by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub region: BTreeMap<String, RawRegion>,
    /// Links by the names of their two regions, such as `altiplano/oriente`.
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
    /// Objects to remove, each as `kind/name`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub remove: Vec<String>,
}

/// A region as written.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRegion {
    /// Availability zones.
    pub zones: Vec<String>,
    /// Most requests a second.
    pub cap: f64,
}

/// A link as written.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLink {
    /// Capacity in megabits a second, each way.
    pub mbits: f64,
}

/// An entry host as written.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawHost {
    /// Availability zone.
    pub zone: String,
    /// Address for callers and backend servers.
    pub callers: String,
    /// Address for other processes of the system.
    pub peers: String,
}

/// A service as written.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Priority class: `bulk`, `read` or `write`.
    pub class: String,
    /// Most requests a second by which a place's traffic may grow each second.
    pub shift: f64,
    /// Places by availability zone.
    pub places: BTreeMap<String, RawPlace>,
    /// Backend servers that are leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<String>,
}

/// A place as written.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPlace {
    /// Most requests a second.
    pub cap: f64,
}

/// A block of client addresses as written.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawBlock {
    /// Availability zone that serves the block.
    pub zone: String,
}

impl RawTicket {
    /// Greatest size of a ticket, in bytes.
    pub const MAX_BYTES: usize = 4 << 20;

    /// Reads a ticket from TOML.
    ///
    /// # Errors
    ///
    /// Gives a fault that names the line when the text is no ticket.
    pub fn from_toml(text: &str) -> Result<Self, InputFault> {
        check_size(text.len())?;
        toml::from_str(text)
            .map_err(|e| InputFault::new("ticket", e.message(), toml_place(text, &e)))
    }

    /// Reads a ticket from JSON.
    ///
    /// # Errors
    ///
    /// Gives a fault that names the line and column when the text is no ticket.
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

fn toml_place(text: &str, error: &toml::de::Error) -> String {
    let start = error.span().map_or(0, |span| span.start);
    let line = text[..start.min(text.len())].matches('\n').count() + 1;
    format!("a ticket in TOML, see docs/tickets.md (line {line})")
}
