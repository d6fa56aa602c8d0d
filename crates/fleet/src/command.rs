//! Commands that change the state, and their outcomes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::access::AccessPolicy;
use crate::hint::ServerIncarnation;
use crate::ids;
use crate::server::ServerAnnouncement;
use crate::site::SiteConfig;

/// A command in the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// Replaces the configuration in force, if the new one names it as its base.
    Replace(SiteReplacement),
    /// Announces a backend server or a change of its record.
    Announce(ServerAnnouncement),
    /// Removes a backend server. Late announcements of the incarnation that left, or of an earlier
    /// one, don't list it again; one that goes on announcing itself returns.
    Leave {
        /// Id of the server.
        id: ids::ServerId,
        /// Start time of the incarnation that leaves; `None` stands for the latest one.
        born: Option<ids::StartTime>,
    },
    /// Removes incarnations of backend servers that have stopped announcing themselves; a later
    /// announcement adds them again.
    Expire(Vec<(ids::ServerId, ids::StartTime)>),
    /// Stops sending new requests to the backend servers of an availability zone.
    Evacuate(ZoneOrder),
    /// Ends the evacuation of an availability zone.
    Readmit(ZoneOrder),
    /// Holds a request back from all backend servers, as several ended while they ran it; or adds
    /// further ones.
    Quarantine {
        /// The request.
        request: ids::RequestDigest,
        /// Servers that ended while they ran it.
        ended: Vec<ServerIncarnation>,
    },
    /// Ends the quarantine of a request, as a server answered it.
    Release(ids::RequestDigest),
}

/// An operator's order for an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOrder {
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Log index of the latest order for the zone that the replica knew when it took this one; 0 if there was
    /// none. `None` follows any order, as in the logs of earlier versions, which end before this field.
    pub follows: Option<ids::Revision>,
}

/// A configuration that is to replace the one in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SiteReplacement {
    /// Version of the configuration.
    pub version: ids::SiteVersion,
    /// Version of the configuration that it replaces; 0 for the first configuration.
    pub base: ids::SiteVersion,
    /// The document that the operator sent, byte for byte.
    pub document: Vec<u8>,
    /// The validated configuration.
    pub site: Arc<SiteConfig>,
    /// Who may call the deployment. Entries in the logs of earlier versions end before this field.
    pub access: Arc<AccessPolicy>,
}

/// Outcome of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum CommandOutcome {
    /// The command was applied, now or when it was first sent.
    Accepted,
    /// The command changes nothing: it repeats the state, or belongs to an earlier incarnation of a
    /// backend server.
    Unchanged,
    /// The base of the configuration isn't the version in force.
    Conflict,
    /// The version of the configuration isn't above the one in force.
    OldVersion,
    /// The announcement isn't taken for now: another server holds its address or its id.
    Contested,
    /// The announcement isn't taken yet: its incarnation has left, and the call counts towards its return.
    Returning,
    /// The order isn't taken: a later one for its availability zone was accepted before it arrived.
    Superseded,
}
