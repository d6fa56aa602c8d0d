//! Names and numbers of a deployment.

/// Name of a service.
pub type ServiceName = String;

/// Name of an availability zone.
pub type ZoneName = String;

/// Name of a region.
pub type RegionName = String;

/// Id of a backend server; it may start again under the same one.
pub type ServerId = String;

/// Unix time in milliseconds at which a backend server started; tells its lives apart.
pub type BirthTime = u64;

/// Number that an operator gives a configuration.
pub type SiteVersion = u64;

/// Place in the replicated log at which the state last changed.
pub type Revision = u64;

/// Digest of a configuration as it was sent.
pub type SiteDigest = u128;
