//! Names and numbers of things.

/// Number that an operator gives a ticket, from 1.
pub type TicketNumber = u64;

/// Count of accepted tickets; each accepted ticket raises it by one.
pub type Revision = u64;

/// Name of a region.
pub type RegionName = String;

/// Name of an availability zone.
pub type ZoneName = String;

/// Name of an entry host.
pub type HostName = String;

/// Name of a service.
pub type ServiceName = String;

/// Digest of content, for comparison only.
pub type Digest = u64;

/// Greatest length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Tells whether a name is well formed: lower-case letters, digits, `-` and `.`, starting with a
/// letter or digit, of at most [`MAX_NAME_BYTES`].
///
/// # Examples
///
/// ```
/// assert!(model::ids::is_name("altiplano-a"));
/// assert!(!model::ids::is_name("Alti plano"));
/// ```
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text.chars().all(allowed)
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
}
