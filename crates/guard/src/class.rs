//! The priority class of one request.

use model::spec::ServiceClass;
use strum::{Display, IntoStaticStr, VariantArray};

/// Priority class of one request; a lower one is shed earlier.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, IntoStaticStr, VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestClass {
    /// Uploads and other work that can wait.
    Bulk,
    /// Idempotent reads.
    Read,
    /// Work that must not run twice.
    Write,
}

impl RequestClass {
    /// Returns the class of a request from its service's class and whether its method is
    /// idempotent.
    ///
    /// # Examples
    ///
    /// ```
    /// use guard::RequestClass;
    /// use model::spec::ServiceClass;
    ///
    /// assert_eq!(RequestClass::of(ServiceClass::Write, true), RequestClass::Read);
    /// assert_eq!(RequestClass::of(ServiceClass::Bulk, false), RequestClass::Bulk);
    /// ```
    pub fn of(service: ServiceClass, idempotent: bool) -> Self {
        match (service, idempotent) {
            (ServiceClass::Bulk, _) => Self::Bulk,
            (ServiceClass::Read | ServiceClass::Write, true) => Self::Read,
            (ServiceClass::Read | ServiceClass::Write, false) => Self::Write,
        }
    }
}
