//! Whether a request is served, and for which organisation.

use std::time::Duration;

use crate::directory::{KeyDirectory, OrganisationIndex};

/// Longest key that is looked up, in bytes; above it no key is valid.
pub const MAX_KEY_BYTES: usize = 1 << 10;

/// Key with which a request came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PresentedKey<'a> {
    /// The request has no key.
    Absent,
    /// The request has exactly one key.
    Single(&'a [u8]),
    /// The request has more than one key, so that it isn't clear whose it is.
    Repeated,
}

impl<'a> PresentedKey<'a> {
    /// Returns the key of a request from all values of its key header.
    pub fn from_values(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        match (values.next(), values.next()) {
            (None, _) => Self::Absent,
            (Some(key), None) => Self::Single(key),
            (Some(_), Some(_)) => Self::Repeated,
        }
    }
}

/// How far a host can rely on its copy of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyFreshness {
    /// A control replica confirmed the copy lately.
    Current,
    /// A newer configuration may be in force.
    Outdated,
    /// A newer configuration may have been in force for so long that a key that this one holds may no
    /// longer be served.
    Expired,
}

/// How long keys may be served by an unconfirmed copy of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyTerms {
    /// Age of the latest confirmation up to which a copy is current.
    pub max_age: Duration,
    /// Age of the latest confirmation up to which known keys are served; `None` for no limit.
    pub max_key_age: Option<Duration>,
}

impl KeyTerms {
    /// Returns the freshness of a copy by the age of its latest confirmation; `None` where it never was
    /// confirmed.
    pub fn freshness(&self, age: Option<Duration>) -> CopyFreshness {
        let exceeds = |limit: Duration| age.is_none_or(|age| age >= limit);
        if self.max_key_age.is_some_and(exceeds) {
            CopyFreshness::Expired
        } else if exceeds(self.max_age) {
            CopyFreshness::Outdated
        } else {
            CopyFreshness::Current
        }
    }
}

/// Whether a request on a route that isn't public is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyDecision {
    /// The request belongs to this organisation.
    Known(OrganisationIndex),
    /// No organisation holds the key, or the request has no single key.
    Rejected,
    /// The host can't tell, as its copy of the configuration may be outdated.
    Undecided,
}

/// Decides whether a request with a key is served.
///
/// A request that no configuration could allow is rejected by an outdated copy too.
pub fn decide(
    directory: &KeyDirectory,
    key: PresentedKey<'_>,
    freshness: CopyFreshness,
) -> KeyDecision {
    let key = match key {
        PresentedKey::Single(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => key,
        PresentedKey::Single(_) | PresentedKey::Repeated => return KeyDecision::Rejected,
        // A newer configuration may need no key on the route.
        PresentedKey::Absent => return reject_if_current(freshness),
    };
    match (directory.find(key), freshness) {
        (Some(organisation), CopyFreshness::Current | CopyFreshness::Outdated) => {
            KeyDecision::Known(organisation)
        }
        (Some(_), CopyFreshness::Expired) => KeyDecision::Undecided,
        (None, _) => reject_if_current(freshness),
    }
}

fn reject_if_current(freshness: CopyFreshness) -> KeyDecision {
    match freshness {
        CopyFreshness::Current => KeyDecision::Rejected,
        CopyFreshness::Outdated | CopyFreshness::Expired => KeyDecision::Undecided,
    }
}
