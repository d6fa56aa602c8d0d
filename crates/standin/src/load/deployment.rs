//! The reference deployments, at a scale.

use std::time::Duration;

use model::spec::ServiceClass;
use strum::{Display, EnumString, IntoStaticStr};

/// Name of a reference deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DeploymentName {
    /// The deployment of Cumbre Registro Franquicias.
    Cumbre,
    /// The deployment of Roshni Kamra Darkroom Hire.
    Roshni,
}

/// A service of a deployment.
#[derive(Debug, Clone)]
pub struct ServiceModel {
    /// Name of the service.
    pub name: &'static str,
    /// Priority class, which also determines the HTTP method of the requests.
    pub class: ServiceClass,
    /// Requests that one backend server processes concurrently.
    pub slots: u32,
    /// Mean processing time of a request.
    pub processing_time: Duration,
    /// Time within which the answer to a request is wanted.
    pub deadline: Duration,
    /// Length of a request's body, in bytes.
    pub request_bytes: usize,
    /// Length of an answer's body, in bytes.
    pub answer_bytes: usize,
}

impl ServiceModel {
    /// Returns the capacity of one backend server, in requests per second.
    pub fn server_capacity(&self) -> f64 {
        f64::from(self.slots) / self.processing_time.as_secs_f64()
    }
}

/// A reference deployment at a scale.
///
/// The scale multiplies request rates, caps and link capacities, and divides processing times. So
/// the numbers of slots and backend servers are the same at every scale.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: DeploymentName,
    /// Regions, each with two availability zones named `REGION-a` and `REGION-b`.
    pub regions: [&'static str; 3],
    /// Services of the deployment.
    pub services: Vec<ServiceModel>,
    /// Capacity of each link between two regions, per direction, in megabits per second.
    pub link_mbits: f64,
}

/// Backend servers of a service in one zone; the reference deployments have 12 over six zones.
pub const SERVERS_PER_ZONE: usize = 2;

/// One-way network delay between the zones of a region.
pub const ZONE_DELAY: Duration = Duration::from_micros(1_500);

/// One-way network delay between regions.
pub const REGION_DELAY: Duration = Duration::from_millis(20);

impl Deployment {
    /// Creates a deployment at a scale; 1 is the full size.
    pub fn new(name: DeploymentName, scale: f64) -> Self {
        let service =
            |name, class, slots, processing_ms: f64, deadline_ms, sizes: (usize, usize)| {
                ServiceModel {
                    name,
                    class,
                    slots,
                    processing_time: Duration::from_secs_f64(processing_ms / 1000.0 / scale),
                    deadline: Duration::from_millis(deadline_ms),
                    request_bytes: sizes.0,
                    answer_bytes: sizes.1,
                }
            };
        let (regions, services, link_mbits) = match name {
            DeploymentName::Cumbre => (
                ["altiplano", "sacatepequez", "oriente"],
                vec![
                    service("ascent-lookup", ServiceClass::Read, 3, 4.0, 2000, (0, 4096)),
                    service("entry-sales", ServiceClass::Write, 3, 8.0, 4000, (512, 512)),
                    service(
                        "scan-archive",
                        ServiceClass::Bulk,
                        3,
                        20.0,
                        8000,
                        (65_536, 256),
                    ),
                ],
                280.0,
            ),
            DeploymentName::Roshni => (
                ["lahore", "karachi", "islamabad"],
                vec![
                    service("slot-listing", ServiceClass::Read, 5, 4.0, 2000, (0, 4096)),
                    service(
                        "booking-payment",
                        ServiceClass::Write,
                        4,
                        8.0,
                        4000,
                        (512, 512),
                    ),
                    service(
                        "print-equipment",
                        ServiceClass::Bulk,
                        6,
                        20.0,
                        8000,
                        (65_536, 256),
                    ),
                ],
                4000.0,
            ),
        };
        Self {
            name,
            regions,
            services,
            link_mbits: link_mbits * scale,
        }
    }

    /// Returns the names of all zones, ordered by region.
    pub fn zones(&self) -> Vec<String> {
        let zones = self.regions.iter().flat_map(|region| {
            ["a", "b"]
                .iter()
                .map(move |letter| format!("{region}-{letter}"))
        });
        zones.collect()
    }

    /// Returns the capacity of a service in one zone, in requests per second.
    pub fn place_capacity(&self, service: &ServiceModel) -> f64 {
        service.server_capacity() * SERVERS_PER_ZONE as f64
    }

    /// Returns the capacity of all services in one region, in requests per second.
    pub fn region_capacity(&self) -> f64 {
        let places = self.services.iter().map(|s| self.place_capacity(s));
        places.sum::<f64>() * 2.0
    }
}
