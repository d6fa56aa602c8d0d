//! The deployments of the brief, scaled.

use std::time::Duration;

use model::spec::ServiceClass;
use strum::{Display, EnumString, IntoStaticStr};

/// Names of the deployments.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DeploymentName {
    /// Cumbre Registro Franquicias.
    Cumbre,
    /// Roshni Kamra Darkroom Hire.
    Roshni,
}

/// A service of a deployment.
#[derive(Debug, Clone)]
pub struct ServiceModel {
    /// Name.
    pub name: &'static str,
    /// Priority class, which also says how its requests are sent.
    pub class: ServiceClass,
    /// Slots of an endpoint.
    pub slots: u32,
    /// Mean work of a request.
    pub work: Duration,
    /// Time that a request may take.
    pub deadline: Duration,
    /// Body of a request, in bytes.
    pub request_bytes: usize,
    /// Body of an answer, in bytes.
    pub answer_bytes: usize,
}

impl ServiceModel {
    /// Returns the requests a second that an endpoint bears.
    pub fn endpoint_rate(&self) -> f64 {
        f64::from(self.slots) / self.work.as_secs_f64()
    }
}

/// A deployment at some scale.
///
/// The scale multiplies rates, caps and links and divides the speed of work, so that slots and
/// endpoints stay those of the brief.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name.
    pub name: DeploymentName,
    /// Regions, each with two zones named `REGION-a` and `REGION-b`.
    pub regions: [&'static str; 3],
    /// Services.
    pub services: Vec<ServiceModel>,
    /// Capacity of the link between two regions each way, in megabits a second.
    pub link_mbits: f64,
}

/// Endpoints of a service in one zone: 12 over six zones.
pub const ENDPOINTS_PER_ZONE: usize = 2;

/// One-way delay between the zones of a region.
pub const ZONE_DELAY: Duration = Duration::from_micros(1_500);

/// One-way delay between regions.
pub const REGION_DELAY: Duration = Duration::from_millis(20);

impl Deployment {
    /// Creates a deployment at a scale, 1 being the brief's size.
    pub fn new(name: DeploymentName, scale: f64) -> Self {
        let service =
            |name, class, slots, work_ms: f64, deadline_ms, sizes: (usize, usize)| ServiceModel {
                name,
                class,
                slots,
                work: Duration::from_secs_f64(work_ms / 1000.0 / scale),
                deadline: Duration::from_millis(deadline_ms),
                request_bytes: sizes.0,
                answer_bytes: sizes.1,
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

    /// Returns the zones in the order of their regions.
    pub fn zones(&self) -> Vec<String> {
        let zones = self.regions.iter().flat_map(|region| {
            ["a", "b"]
                .iter()
                .map(move |letter| format!("{region}-{letter}"))
        });
        zones.collect()
    }

    /// Returns the requests a second that a service's place in one zone bears.
    pub fn place_rate(&self, service: &ServiceModel) -> f64 {
        service.endpoint_rate() * ENDPOINTS_PER_ZONE as f64
    }

    /// Returns the requests a second that a region bears.
    pub fn region_rate(&self) -> f64 {
        let places = self.services.iter().map(|s| self.place_rate(s));
        places.sum::<f64>() * 2.0
    }
}
