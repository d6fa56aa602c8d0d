//! Which entry hosts a caller should use.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use model::fault::InputFault;
use model::ids;
use serde::{Deserialize, Serialize};
use steer::lookup::HostTarget;

use crate::context::EntryContext;

/// What a caller asks.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LookupQuery {
    /// Availability zone of the caller, where it knows it.
    pub zone: Option<String>,
    /// Address of the caller, where it isn't the one of its connection.
    pub caller: Option<String>,
}

/// The entry hosts for a caller, the first one first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LookupAnswer {
    /// Entry hosts, in the order in which the caller tries them.
    pub hosts: Vec<LookupHost>,
    /// Revision of the state from which the answer was made.
    pub revision: ids::Revision,
}

/// One entry host in an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LookupHost {
    /// Name.
    pub name: ids::HostName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Address for requests.
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

/// Answers a caller: by its zone, else by its address.
///
/// A zone that is not in force is answered like no zone.
///
/// # Errors
///
/// Returns the fault of a query whose zone is no name or whose caller is no address.
pub fn answer(
    context: &EntryContext,
    query: &LookupQuery,
    connection: Option<IpAddr>,
) -> Result<LookupAnswer, InputFault> {
    let caller = match &query.caller {
        Some(text) => Some(read_address(text)?),
        None => connection,
    };
    let targets = match (&query.zone, caller) {
        (Some(zone), _) if !ids::is_name(zone) => {
            return Err(InputFault::new("zone", zone, "a name of a-z, 0-9, - and ."));
        }
        (Some(zone), caller) => context.steering.hosts_by_zone(zone, caller),
        (None, Some(caller)) => context.steering.hosts_by_address(caller),
        (None, None) => context.steering.hosts_by_zone(&context.settings.zone, None),
    };
    Ok(LookupAnswer {
        hosts: targets.iter().map(LookupHost::from).collect(),
        revision: context.holder.view().state.revision,
    })
}

fn read_address(text: &str) -> Result<IpAddr, InputFault> {
    text.parse()
        .map_err(|_| InputFault::new("caller", text, "an IP number, such as 10.0.0.1"))
}
