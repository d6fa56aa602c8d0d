//! The configuration in force, built from all accepted tickets.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::fault::InputFault;
use crate::ids;
use crate::spec;
use crate::ticket::{ChangeTicket, ObjectKey, ObjectState};

/// An object together with the last ticket that set or removed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldObject<T> {
    /// Number of the last ticket that set or removed the object.
    pub ticket: ids::TicketNumber,
    /// Specification of the object; `None` is the tombstone of a removed object.
    pub spec: Option<T>,
}

/// Objects of one kind by name.
///
/// Removed objects stay as tombstones, so that a ticket with a lower number can't restore them.
pub type HeldMap<T> = BTreeMap<String, HeldObject<T>>;

/// The configuration in force at a revision.
///
/// Applying the same tickets in the same order gives the same state and digest in every process.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ForceState {
    /// Number of tickets applied.
    pub revision: ids::Revision,
    /// Digest of all objects and tombstones, updated incrementally by each change.
    ///
    /// It doesn't depend on the order in which the objects were set.
    pub digest: ids::Digest,
    /// Regions by name.
    pub regions: HeldMap<spec::RegionSpec>,
    /// Links by the names of their two regions, `region/region`.
    pub links: HeldMap<spec::LinkSpec>,
    /// Entry hosts by name.
    pub hosts: HeldMap<spec::HostSpec>,
    /// Services by name.
    pub services: HeldMap<spec::ServiceSpec>,
    /// Blocks of client addresses by prefix.
    pub blocks: HeldMap<spec::BlockSpec>,
}

impl ForceState {
    /// Returns the number of the last ticket that set or removed an object.
    pub fn last_ticket(&self, key: &ObjectKey) -> Option<ids::TicketNumber> {
        let name = &key.name;
        match key.kind {
            spec::ObjectKind::Region => self.regions.get(name).map(|held| held.ticket),
            spec::ObjectKind::Link => self.links.get(name).map(|held| held.ticket),
            spec::ObjectKind::Host => self.hosts.get(name).map(|held| held.ticket),
            spec::ObjectKind::Service => self.services.get(name).map(|held| held.ticket),
            spec::ObjectKind::Block => self.blocks.get(name).map(|held| held.ticket),
        }
    }

    /// Returns the first object of a ticket that was last set or removed by a ticket with a higher
    /// number, and that number.
    pub fn superseding(&self, ticket: &ChangeTicket) -> Option<(ObjectKey, ids::TicketNumber)> {
        ticket.objects.keys().find_map(|key| {
            let last = self.last_ticket(key)?;
            (last > ticket.number).then(|| (key.clone(), last))
        })
    }

    /// Applies an accepted ticket and increments the revision.
    pub fn apply(&mut self, ticket: &ChangeTicket) {
        for (key, state) in &ticket.objects {
            self.set_object(ticket.number, key, state);
        }
        self.revision += 1;
    }

    /// Returns the validation errors that the state would have with a ticket applied.
    pub fn faults_after(&self, ticket: &ChangeTicket) -> Vec<InputFault> {
        let mut next = self.clone();
        next.apply(ticket);
        next.faults()
    }

    /// Returns the name of the region that an availability zone belongs to.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        live(&self.regions)
            .find(|(_, spec)| spec.zones.iter().any(|z| z == zone))
            .map(|(name, _)| name)
    }

    /// Returns the validation errors of the state as a whole.
    ///
    /// These are undefined regions and zones, zones of several regions, services whose caps sum to
    /// 0, and places whose cap exceeds the cap of their region.
    fn faults(&self) -> Vec<InputFault> {
        let mut faults = Vec::new();
        let mut zones: BTreeMap<&str, (&str, f64)> = BTreeMap::new();
        for (name, region) in live(&self.regions) {
            for zone in &region.zones {
                if let Some((other, _)) = zones.insert(zone, (name, region.cap)) {
                    faults.push(InputFault::new(
                        format!("region.{name}.zones"),
                        zone,
                        format!("a zone of one region; {other} has it too"),
                    ));
                }
            }
        }
        for (name, _) in live(&self.links) {
            for region in name.split('/') {
                if live(&self.regions).all(|(known, _)| known != region) {
                    faults.push(InputFault::new(
                        format!("link.{name}"),
                        region,
                        "a region in force",
                    ));
                }
            }
        }
        let mut check_zone = |field: String, zone: &str| {
            if !zones.contains_key(zone) {
                faults.push(InputFault::new(
                    field,
                    zone,
                    "an availability zone of a region in force",
                ));
            }
        };
        for (name, host) in live(&self.hosts) {
            check_zone(format!("host.{name}.zone"), &host.zone);
        }
        for (name, block) in live(&self.blocks) {
            check_zone(format!("block.{name}.zone"), &block.zone);
        }
        for (name, service) in live(&self.services) {
            for zone in service.places.keys() {
                check_zone(format!("service.{name}.places.{zone}"), zone);
            }
        }
        for (name, service) in live(&self.services) {
            check_service_caps(name, service, &zones, &mut faults);
        }
        faults
    }

    /// Sets or removes an object and updates the digest.
    fn set_object(&mut self, number: ids::TicketNumber, key: &ObjectKey, state: &ObjectState) {
        macro_rules! set {
            ($map:ident, $variant:ident) => {{
                let spec = match state {
                    ObjectState::$variant(spec) => Some(spec.clone()),
                    _ => None,
                };
                let held = HeldObject {
                    ticket: number,
                    spec,
                };
                self.digest ^= object_digest(key, &held);
                if let Some(old) = self.$map.insert(key.name.clone(), held) {
                    self.digest ^= object_digest(key, &old);
                }
            }};
        }
        match key.kind {
            spec::ObjectKind::Region => set!(regions, Region),
            spec::ObjectKind::Link => set!(links, Link),
            spec::ObjectKind::Host => set!(hosts, Host),
            spec::ObjectKind::Service => set!(services, Service),
            spec::ObjectKind::Block => set!(blocks, Block),
        }
    }
}

/// Returns an iterator over the names and specifications of the objects that aren't removed.
pub fn live<T>(map: &HeldMap<T>) -> impl Iterator<Item = (&str, &T)> {
    map.iter()
        .filter_map(|(name, held)| held.spec.as_ref().map(|spec| (name.as_str(), spec)))
}

/// Adds the validation errors of a service's caps to `faults`.
///
/// `zones` maps each availability zone to the name and the cap of its region.
fn check_service_caps(
    name: &str,
    service: &spec::ServiceSpec,
    zones: &BTreeMap<&str, (&str, f64)>,
    faults: &mut Vec<InputFault>,
) {
    let total: f64 = service.places.values().map(|place| place.cap).sum();
    if total <= 0.0 {
        faults.push(InputFault::new(
            format!("service.{name}.places"),
            total,
            "caps that sum to more than 0; remove the service to stop it",
        ));
    }
    for (zone, place) in &service.places {
        let Some((region, cap)) = zones.get(zone.as_str()) else {
            continue;
        };
        if place.cap > *cap {
            faults.push(InputFault::new(
                format!("service.{name}.places.{zone}.cap"),
                place.cap,
                format!("at most the cap of region {region}, {cap}"),
            ));
        }
    }
}

fn object_digest<T: Serialize>(key: &ObjectKey, held: &HeldObject<T>) -> ids::Digest {
    let text = serde_json::to_vec(&(key.to_string(), held)).unwrap_or_default();
    xxh3::xxh3_64(&text)
}
