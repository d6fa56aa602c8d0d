//! Tickets that the load tool submits.

use std::net::SocketAddr;

use model::raw::{RawHost, RawLink, RawPlace, RawRegion, RawService, RawTicket};

use crate::backend::work;
use crate::load::deployment::{Deployment, ServiceModel};

/// Part of a place's cap by which its traffic may grow each second.
const SHIFT_PART: f64 = 0.25;

/// An entry host of the cluster under load.
#[derive(Debug, Clone)]
pub struct ClusterHost {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other processes of the system.
    pub peers: SocketAddr,
}

/// Writes the ticket that sets up a deployment.
pub fn base(deployment: &Deployment, hosts: &[ClusterHost], number: u64) -> RawTicket {
    let mut ticket = RawTicket {
        number,
        ..RawTicket::default()
    };
    for region in deployment.regions {
        let zones = deployment.zones();
        let zones = zones
            .into_iter()
            .filter(|zone| work::region(zone) == region);
        let raw = RawRegion {
            zones: zones.collect(),
            cap: deployment.region_rate(),
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
        let raw = service(deployment, model, &deployment.regions, &[]);
        ticket.service.insert(model.name.to_string(), raw);
    }
    ticket
}

/// Writes a service that runs in some regions, with leaving servers.
pub fn service<R: AsRef<str>>(
    deployment: &Deployment,
    model: &ServiceModel,
    regions: &[R],
    leaving: &[SocketAddr],
) -> RawService {
    let cap = deployment.place_rate(model);
    let zones = deployment.zones().into_iter();
    let zones = zones.filter(|zone| regions.iter().any(|r| r.as_ref() == work::region(zone)));
    RawService {
        class: model.class.to_string(),
        shift: cap * SHIFT_PART,
        places: zones.map(|zone| (zone, RawPlace { cap })).collect(),
        leaving: leaving.iter().map(SocketAddr::to_string).collect(),
    }
}

/// Writes a ticket of one service.
pub fn of_service(number: u64, name: &str, service: RawService) -> RawTicket {
    let mut ticket = RawTicket {
        number,
        ..RawTicket::default()
    };
    ticket.service.insert(name.to_string(), service);
    ticket
}
