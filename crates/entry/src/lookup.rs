//! Look-up of the entry hosts that a caller should use.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use model::fault::InputFault;
use model::ids;
use serde::{Deserialize, Serialize};
use steer::lookup::{self, HostTarget};

use crate::context::EntryContext;

/// Query parameters of a look-up.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LookupQuery {
    /// Availability zone of the caller, if the caller knows it.
    pub zone: Option<String>,
    /// IP address of the caller, if it differs from the one of the connection.
    pub caller: Option<String>,
}

/// Answer to a look-up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LookupAnswer {
    /// Entry hosts, in the order in which the caller should try them.
    pub hosts: Vec<LookupHost>,
    /// Revision of the state on which the answer is based.
    pub revision: ids::Revision,
}

/// An entry host in a look-up answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LookupHost {
    /// Host name.
    pub name: ids::HostName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Address at which the host accepts requests.
    pub address: SocketAddr,
}

impl From<&Arc<HostTarget>> for LookupHost {
    fn from(target: &Arc<HostTarget>) -> Self {
        Self {
            name: target.name.clone(),
            zone: target.zone.clone(),
            address: target.callers,
        }
    }
}

/// Returns the entry hosts for a caller, by its zone if given, else by its address.
///
/// `connection` is the IP address of the caller's connection. Without a zone and without any
/// address, the answer is the one for the zone of this host. A zone that is not in the current
/// state counts as unknown: the answer then contains hosts of all zones.
///
/// # Errors
///
/// Fails if the zone is not a valid name or the caller is not an IP address.
pub fn look_up(
    context: &EntryContext,
    query: &LookupQuery,
    connection: Option<IpAddr>,
) -> Result<LookupAnswer, InputFault> {
    let caller = match &query.caller {
        Some(text) => Some(parse_address(text)?),
        None => connection,
    };
    let table = context.steering.lookups();
    let by_zone = |zone: &str, caller: Option<IpAddr>| {
        table.by_zone(zone, caller.map_or(0, lookup::caller_hash))
    };
    let targets = match (&query.zone, caller) {
        (Some(zone), _) if !ids::is_name(zone) => {
            return Err(InputFault::new("zone", zone, "a name of a-z, 0-9, - and ."));
        }
        (Some(zone), caller) => by_zone(zone, caller),
        (None, Some(caller)) => table.by_address(caller),
        (None, None) => by_zone(&context.settings.zone, None),
    };
    Ok(LookupAnswer {
        hosts: targets.iter().map(LookupHost::from).collect(),
        revision: table.revision(),
    })
}

fn parse_address(text: &str) -> Result<IpAddr, InputFault> {
    text.parse()
        .map_err(|_| InputFault::new("caller", text, "an IP number, such as 10.0.0.1"))
}
