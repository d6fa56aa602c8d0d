//! Names and numbers that identify tickets, regions, zones, hosts and services.

/// Number of a ticket, chosen by the operator; the lowest is 1.
pub type TicketNumber = u64;

/// Number of tickets accepted so far; each accepted ticket increments it.
pub type Revision = u64;

/// Name of a region.
pub type RegionName = String;

/// Name of an availability zone.
pub type ZoneName = String;

/// Name of an entry host.
pub type HostName = String;

/// Name of a service.
pub type ServiceName = String;

/// 64-bit digest that is only used to compare content; it isn't cryptographic.
pub type Digest = u64;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Returns whether a name is well formed.
///
/// A well-formed name has 1 to [`MAX_NAME_BYTES`] lower-case letters, digits, `-` and `.`, and
/// starts with a letter or digit.
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
