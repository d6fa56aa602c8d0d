//! Validated change tickets.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::fault::InputFault;
use crate::ids;
use crate::raw;
use crate::spec;

/// Kind and name of an object that a ticket sets or removes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: spec::ObjectKind,
    /// Name within the kind: for a link `region/region` in alphabetical order, for a block its
    /// canonical prefix.
    pub name: String,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// The complete new specification of an object, or its removal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectState {
    /// Specification of a region.
    Region(spec::RegionSpec),
    /// Specification of a link.
    Link(spec::LinkSpec),
    /// Specification of an entry host.
    Host(spec::HostSpec),
    /// Specification of a service.
    Service(spec::ServiceSpec),
    /// Specification of a block of client addresses.
    Block(spec::BlockSpec),
    /// The object is removed.
    Removed,
}

/// A well-formed ticket: the complete new specification of each object that it sets, and the
/// objects that it removes.
///
/// Whether the regions and availability zones that it names exist depends on the state in force;
/// [`ForceState::faults_after`](crate::state::ForceState::faults_after) checks that.
///
/// # Examples
///
/// ```
/// let raw = model::raw::RawTicket::from_toml(
///     "number = 1\n[region.altiplano]\nzones = [\"altiplano-a\"]\ncap = 100.0\n",
/// ).unwrap();
/// let ticket = model::ticket::ChangeTicket::try_from(raw).unwrap();
/// assert_eq!(ticket.number, 1);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeTicket {
    /// Number of the ticket.
    pub number: ids::TicketNumber,
    /// New states by object.
    pub objects: BTreeMap<ObjectKey, ObjectState>,
}

impl ChangeTicket {
    /// Maximum number of objects that one ticket may set or remove.
    pub const MAX_OBJECTS: usize = 10_000;

    /// Returns the SHA-256 digest of the ticket's content, in hexadecimal.
    ///
    /// The digest is computed from the canonical JSON, so texts of the same content have the same
    /// digest, whatever their order and format.
    pub fn digest(&self) -> String {
        let hash = Sha256::digest(self.to_json());
        hash.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns the ticket as canonical JSON, which [`raw::RawTicket::from_json`] parses.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(&raw::RawTicket::from(self)).unwrap_or_default()
    }
}

impl TryFrom<raw::RawTicket> for ChangeTicket {
    type Error = Vec<InputFault>;

    fn try_from(ticket: raw::RawTicket) -> Result<Self, Self::Error> {
        let mut validator = TicketValidator::default();
        validator.check_number(ticket.number);
        for (name, region) in ticket.region {
            validator.add_region(name, region);
        }
        for (name, link) in ticket.link {
            validator.add_link(name, &link);
        }
        for (name, host) in ticket.host {
            validator.add_host(name, host);
        }
        for (name, service) in ticket.service {
            validator.add_service(name, service);
        }
        for (prefix, block) in ticket.block {
            validator.add_block(prefix, block);
        }
        for key in ticket.remove {
            validator.add_removal(key);
        }
        validator.finish(ticket.number)
    }
}

/// Validates the parts of a ticket and collects its objects and all validation errors.
#[derive(Debug, Default)]
struct TicketValidator {
    objects: BTreeMap<ObjectKey, ObjectState>,
    faults: Vec<InputFault>,
}

/// Well-formed names, as error messages describe them.
const NAME_RULE: &str = "1 to 64 of a-z, 0-9, - and ., starting with a letter or digit";

/// Allowed caps, as error messages describe them.
const RATE_RULE: &str = "a number of requests a second, 0 to 1000000000";

/// Upper limit of caps (in requests per second), of traffic growth (in requests per second per
/// second) and of link capacities (in megabits per second).
const MAX_RATE: f64 = 1e9;

impl TicketValidator {
    fn add_fault(&mut self, field: String, value: impl fmt::Display, allowed: &str) {
        self.faults.push(InputFault::new(field, value, allowed));
    }

    /// Adds an object; a second one of the same kind and name is an error.
    fn add_object(&mut self, kind: spec::ObjectKind, name: String, state: ObjectState) {
        let key = ObjectKey { kind, name };
        let field = key.to_string();
        if self.objects.insert(key, state).is_some() {
            self.add_fault(field.clone(), field, "each object once in a ticket");
        }
    }

    fn check_number(&mut self, number: ids::TicketNumber) {
        if number == 0 || number > i64::MAX as u64 {
            self.add_fault(
                "number".into(),
                number,
                "a whole number from 1 to 9223372036854775807",
            );
        }
    }

    fn check_name(&mut self, field: String, name: &str) {
        if !ids::is_name(name) {
            self.add_fault(field, name, NAME_RULE);
        }
    }

    fn check_rate(&mut self, field: String, rate: f64) {
        if !(0.0..=MAX_RATE).contains(&rate) {
            self.add_fault(field, rate, RATE_RULE);
        }
    }

    fn parse_address(&mut self, field: String, text: &str) -> Option<SocketAddr> {
        match SocketAddr::from_str(text) {
            Ok(address) if address.port() != 0 && !address.ip().is_unspecified() => Some(address),
            _ => {
                self.add_fault(field, text, "IP number and port, such as 10.0.0.1:8080");
                None
            }
        }
    }

    fn add_region(&mut self, name: String, region: raw::RawRegion) {
        self.check_name(format!("region.{name}"), &name);
        self.check_rate(format!("region.{name}.cap"), region.cap);
        let mut seen = BTreeSet::new();
        for zone in &region.zones {
            self.check_name(format!("region.{name}.zones"), zone);
            if !seen.insert(zone) {
                self.add_fault(
                    format!("region.{name}.zones"),
                    zone,
                    "each availability zone once",
                );
            }
        }
        if region.zones.is_empty() {
            self.add_fault(
                format!("region.{name}.zones"),
                "[]",
                "at least one availability zone",
            );
        }
        let spec = spec::RegionSpec {
            zones: region.zones,
            cap: region.cap,
        };
        self.add_object(spec::ObjectKind::Region, name, ObjectState::Region(spec));
    }

    fn add_link(&mut self, name: String, link: &raw::RawLink) {
        let field = format!("link.{name}");
        let Some(name) = canonical_link(&name) else {
            self.add_fault(
                field,
                name,
                "the names of two different regions, such as altiplano/oriente",
            );
            return;
        };
        if !(link.mbits > 0.0 && link.mbits <= MAX_RATE) {
            self.add_fault(
                format!("{field}.mbits"),
                link.mbits,
                "megabits a second, above 0",
            );
        }
        let spec = spec::LinkSpec { mbits: link.mbits };
        self.add_object(spec::ObjectKind::Link, name, ObjectState::Link(spec));
    }

    fn add_host(&mut self, name: String, host: raw::RawHost) {
        self.check_name(format!("host.{name}"), &name);
        self.check_name(format!("host.{name}.zone"), &host.zone);
        let callers = self.parse_address(format!("host.{name}.callers"), &host.callers);
        let peers = self.parse_address(format!("host.{name}.peers"), &host.peers);
        if let (Some(callers), Some(peers)) = (callers, peers) {
            let spec = spec::HostSpec {
                zone: host.zone,
                callers,
                peers,
            };
            self.add_object(spec::ObjectKind::Host, name, ObjectState::Host(spec));
        }
    }

    fn add_service(&mut self, name: String, service: raw::RawService) {
        self.check_name(format!("service.{name}"), &name);
        if !(service.shift > 0.0 && service.shift <= MAX_RATE) {
            self.add_fault(
                format!("service.{name}.shift"),
                service.shift,
                "requests a second each second, above 0",
            );
        }
        let class = spec::ServiceClass::from_str(&service.class);
        if class.is_err() {
            self.add_fault(
                format!("service.{name}.class"),
                &service.class,
                "bulk, read or write",
            );
        }
        if service.places.is_empty() {
            self.add_fault(
                format!("service.{name}.places"),
                "{}",
                "at least one place; remove the service to stop it",
            );
        }
        let mut places = BTreeMap::new();
        for (zone, place) in service.places {
            self.check_name(format!("service.{name}.places.{zone}"), &zone);
            self.check_rate(format!("service.{name}.places.{zone}.cap"), place.cap);
            places.insert(zone, spec::PlaceSpec { cap: place.cap });
        }
        let mut leaving = BTreeSet::new();
        for text in &service.leaving {
            leaving.extend(self.parse_address(format!("service.{name}.leaving"), text));
        }
        if let Ok(class) = class {
            let spec = spec::ServiceSpec {
                class,
                shift: service.shift,
                places,
                leaving,
            };
            self.add_object(spec::ObjectKind::Service, name, ObjectState::Service(spec));
        }
    }

    fn add_block(&mut self, prefix: String, block: raw::RawBlock) {
        self.check_name(format!("block.{prefix}.zone"), &block.zone);
        let Some(name) = canonical_prefix(&prefix) else {
            self.add_fault(
                format!("block.{prefix}"),
                &prefix,
                "an address prefix, such as 10.1.0.0/16",
            );
            return;
        };
        let spec = spec::BlockSpec { zone: block.zone };
        self.add_object(spec::ObjectKind::Block, name, ObjectState::Block(spec));
    }

    fn add_removal(&mut self, key: String) {
        match parse_object_key(&key) {
            Some(parsed) => self.add_object(parsed.kind, parsed.name, ObjectState::Removed),
            None => self.add_fault(
                "remove".into(),
                key,
                "kind/name with a kind of region, link, host, service or block",
            ),
        }
    }

    fn finish(mut self, number: ids::TicketNumber) -> Result<ChangeTicket, Vec<InputFault>> {
        let count = self.objects.len();
        if count > ChangeTicket::MAX_OBJECTS {
            self.add_fault("ticket".into(), count, "at most 10000 objects");
        }
        if count == 0 && self.faults.is_empty() {
            self.add_fault("ticket".into(), "{}", "at least one object");
        }
        if self.faults.is_empty() {
            return Ok(ChangeTicket {
                number,
                objects: self.objects,
            });
        }
        Err(self.faults)
    }
}

/// Returns the canonical name of a link, its two regions in alphabetical order.
///
/// Returns `None` unless the text is two different well-formed names with `/` between them.
fn canonical_link(text: &str) -> Option<String> {
    let (a, b) = text.split_once('/')?;
    if !ids::is_name(a) || !ids::is_name(b) || a == b {
        return None;
    }
    let (a, b) = if a < b { (a, b) } else { (b, a) };
    Some(format!("{a}/{b}"))
}

/// Returns the canonical form of an address prefix, with its host bits cleared.
fn canonical_prefix(text: &str) -> Option<String> {
    let net = ipnet::IpNet::from_str(text).ok()?.trunc();
    match net.addr() {
        IpAddr::V4(_) | IpAddr::V6(_) => Some(net.to_string()),
    }
}

/// Parses `kind/name` and brings the name into its canonical form.
fn parse_object_key(text: &str) -> Option<ObjectKey> {
    let (kind, name) = text.split_once('/')?;
    let kind = spec::ObjectKind::from_str(kind).ok()?;
    let name = match kind {
        spec::ObjectKind::Link => canonical_link(name)?,
        spec::ObjectKind::Block => canonical_prefix(name)?,
        _ if ids::is_name(name) => name.to_string(),
        _ => return None,
    };
    Some(ObjectKey { kind, name })
}

impl From<&ChangeTicket> for raw::RawTicket {
    fn from(ticket: &ChangeTicket) -> Self {
        let mut raw = Self {
            number: ticket.number,
            ..Self::default()
        };
        for (key, state) in &ticket.objects {
            raw.add_object(key, state);
        }
        raw
    }
}

impl raw::RawTicket {
    fn add_object(&mut self, key: &ObjectKey, state: &ObjectState) {
        let name = key.name.clone();
        match state {
            ObjectState::Removed => self.remove.push(key.to_string()),
            ObjectState::Region(spec) => {
                let zones = spec.zones.clone();
                self.region.insert(
                    name,
                    raw::RawRegion {
                        zones,
                        cap: spec.cap,
                    },
                );
            }
            ObjectState::Link(spec) => {
                self.link.insert(name, raw::RawLink { mbits: spec.mbits });
            }
            ObjectState::Host(spec) => {
                let host = raw::RawHost {
                    zone: spec.zone.clone(),
                    callers: spec.callers.to_string(),
                    peers: spec.peers.to_string(),
                };
                self.host.insert(name, host);
            }
            ObjectState::Service(spec) => {
                self.service.insert(name, raw_service(spec));
            }
            ObjectState::Block(spec) => {
                let zone = spec.zone.clone();
                self.block.insert(name, raw::RawBlock { zone });
            }
        }
    }
}

fn raw_service(spec: &spec::ServiceSpec) -> raw::RawService {
    raw::RawService {
        class: spec.class.to_string(),
        shift: spec.shift,
        places: spec
            .places
            .iter()
            .map(|(zone, place)| (zone.clone(), raw::RawPlace { cap: place.cap }))
            .collect(),
        leaving: spec.leaving.iter().map(SocketAddr::to_string).collect(),
    }
}
