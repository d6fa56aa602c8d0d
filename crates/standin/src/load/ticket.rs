//! Tickets that the load tool submits.

use std::net::SocketAddr;

use model::raw::{RawHost, RawLink, RawPlace, RawRegion, RawService, RawTicket};

use crate::backend::work;
use crate::load::deployment::{Deployment, ServiceModel};

/// Fraction of a place's cap by which its traffic may grow per second.
const SHIFT_FRACTION: f64 = 0.25;

/// An entry host of the cluster under load.
#[derive(Debug, Clone)]
pub struct ClusterHost {
    /// Name of the entry host.
    pub name: String,
    /// Availability zone of the entry host.
    pub zone: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the other processes of the system.
    pub peers: SocketAddr,
}

/// Returns the ticket with the whole deployment: regions, links, entry hosts and services.
pub fn base_ticket(deployment: &Deployment, hosts: &[ClusterHost], number: u64) -> RawTicket {
    let mut ticket = RawTicket {
        number,
        ..RawTicket::default()
    };
    for region in deployment.regions {
        let zones = deployment.zones();
        let zones = zones
            .into_iter()
            .filter(|zone| work::region_of(zone) == region);
        let raw = RawRegion {
            zones: zones.collect(),
            cap: deployment.region_capacity(),
        };
        ticket.region.insert(region.to_string(), raw);
    }
    let [first, second, third] = deployment.regions;
    for (a, b) in [(first, second), (first, third), (second, third)] {
        let link = RawLink {
            mbits: deployment.link_mbits,
        };
        ticket.link.insert(format!("{a}/{b}"), link);
    }
    for host in hosts {
        let raw = RawHost {
            zone: host.zone.clone(),
            callers: host.callers.to_string(),
            peers: host.peers.to_string(),
        };
        ticket.host.insert(host.name.clone(), raw);
    }
    for model in &deployment.services {
        let raw = service_spec(deployment, model, &deployment.regions, &[]);
        ticket.service.insert(model.name.to_string(), raw);
    }
    ticket
}

/// Returns the specification of a service that runs in some regions, with leaving servers.
pub fn service_spec<R: AsRef<str>>(
    deployment: &Deployment,
    model: &ServiceModel,
    regions: &[R],
    leaving: &[SocketAddr],
) -> RawService {
    let cap = deployment.place_capacity(model);
    let zones = deployment.zones().into_iter();
    let zones = zones.filter(|zone| regions.iter().any(|r| r.as_ref() == work::region_of(zone)));
    RawService {
        class: model.class.to_string(),
        shift: cap * SHIFT_FRACTION,
        places: zones.map(|zone| (zone, RawPlace { cap })).collect(),
        leaving: leaving.iter().map(SocketAddr::to_string).collect(),
    }
}

/// Returns a ticket that changes one service.
pub fn service_ticket(number: u64, name: &str, service: RawService) -> RawTicket {
    let mut ticket = RawTicket {
        number,
        ..RawTicket::default()
    };
    ticket.service.insert(name.to_string(), service);
    ticket
}
