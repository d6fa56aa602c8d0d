//! Priority class of a request.

use model::spec::ServiceClass;
use strum::{Display, IntoStaticStr, VariantArray};

/// Priority class of a request, in ascending order; lower classes are shed first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, IntoStaticStr, VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestClass {
    /// Uploads and other requests that can be delayed.
    Bulk,
    /// Idempotent reads.
    Read,
    /// Requests that must not run twice.
    Write,
}

impl RequestClass {
    /// Returns the class of a request, given the class of its service and whether its method is
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
