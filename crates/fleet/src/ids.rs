//! Names and numbers of a deployment.

/// Name of a service.
pub type ServiceName = String;

/// Name of an availability zone.
pub type ZoneName = String;

/// Name of a region.
pub type RegionName = String;

/// Name of an organisation.
pub type OrganisationName = String;

/// Id of a backend server, which keeps it over restarts.
pub type ServerId = String;

/// Unix time in milliseconds at which a backend server started. Together with the id it identifies
/// an incarnation: one run of the server, from its start to its end.
pub type StartTime = u64;

/// Number of a call of a backend server, which increases within an incarnation.
pub type CallSequence = u64;

/// Number that an operator gives a configuration.
pub type SiteVersion = u64;

/// Index of the log entry that last changed the state.
pub type Revision = u64;

/// Digest of what tells a caller's request from others: two attempts for one request have the same.
pub type RequestDigest = u128;

/// Digest of a configuration document.
pub type SiteDigest = u128;
