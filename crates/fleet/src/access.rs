//! Who may call a deployment: organisations with their keys, quotas and home regions, and the routes that
//! need no key.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use identity::key::{KeyDigest, KeySalt};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::ids;
use crate::limit::RequestRate;

quick_error! {
    /// Reason why the organisations of a configuration are refused. No text contains a key.
    #[derive(Debug, Clone, PartialEq)]
    pub enum AccessError {
        /// A name is empty or has control characters, so that no header can contain it.
        InvalidName(name: String) {
            display("organisation {name:?}: name: it is empty or has control characters")
        }
        /// Two organisations have the same name.
        RepeatedName(name: String) {
            display("organisation {name}: name: there are two organisations with this name")
        }
        /// A key is empty.
        EmptyKey(name: String) {
            display("organisation {name}: key: a key is empty")
        }
        /// Two organisations hold the same key.
        SharedKey(name: String, other: String) {
            display("organisation {name}: key: organisation {other} holds the same key")
        }
        /// A rate is negative or not finite.
        InvalidRate(name: String, rate: f64) {
            display("organisation {name}: rate: {rate} is no number of requests a second, 0 or more")
        }
        /// A burst is negative or not finite.
        InvalidBurst(name: String, burst: f64) {
            display("organisation {name}: burst: {burst} is no number of requests, 0 or more")
        }
    }
}

/// The organisations of a configuration and its public routes, parsed but not validated.
#[derive(Debug, Clone, Default)]
pub struct RawAccess {
    /// Organisations; `None` where the configuration has no list of them, so that requests need no key.
    pub organisations: Option<Vec<RawOrganisation>>,
    /// Virtual host and path prefix of each route that needs no key.
    pub public_routes: Vec<(String, String)>,
    /// Salt for the digests of keys.
    pub salt: KeySalt,
}

/// An organisation that was parsed but not validated.
#[derive(Clone, Default)]
pub struct RawOrganisation {
    /// Name.
    pub name: ids::OrganisationName,
    /// Keys as the organisation's callers send them.
    pub keys: Vec<String>,
    /// Priority; 0 is the highest. `None` leaves the priority to the route.
    pub priority: Option<u32>,
    /// Requests a second; 0 for no limit.
    pub rate: f64,
    /// Requests by which the rate may be exceeded at once.
    pub burst: f64,
    /// Regions that may serve the organisation; empty where any region may.
    pub home_regions: Vec<ids::RegionName>,
}

impl std::fmt::Debug for RawOrganisation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RawOrganisation")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("priority", &self.priority)
            .field("rate", &self.rate)
            .field("burst", &self.burst)
            .field("home_regions", &self.home_regions)
            .finish()
    }
}

/// Requests that an organisation may make at all entry hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaSpec {
    /// Requests a second.
    pub rate: RequestRate,
    /// Requests by which the rate may be exceeded at once.
    pub burst: f64,
}

/// A validated organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrganisationSpec {
    /// Name, which backend servers get with each of its requests.
    pub name: ids::OrganisationName,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Priority, which goes before that of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// Quota; `None` for no limit.
    pub quota: Option<QuotaSpec>,
    /// Regions that may serve the organisation; empty where any region may.
    pub home_regions: Vec<ids::RegionName>,
}

/// Who may call a deployment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AccessPolicy {
    /// Whether requests need the key of an organisation, unless their route is public.
    pub requires_key: bool,
    /// Salt of the digests of keys.
    pub salt: KeySalt,
    /// Organisations in the order of their names.
    pub organisations: Vec<Arc<OrganisationSpec>>,
    /// Virtual host, in lower case, and path prefix of each route that needs no key.
    pub public_routes: BTreeSet<(String, String)>,
}

impl TryFrom<RawAccess> for AccessPolicy {
    type Error = AccessError;

    fn try_from(raw: RawAccess) -> Result<Self, AccessError> {
        let requires_key = raw.organisations.is_some();
        let mut organisations = BTreeMap::new();
        let mut holders = BTreeMap::new();
        for organisation in raw.organisations.unwrap_or_default() {
            let spec = validate_organisation(&raw.salt, organisation)?;
            for key in &spec.keys {
                let holder: Option<String> = holders.insert(*key, spec.name.clone());
                if let Some(other) = holder.filter(|other| *other != spec.name) {
                    return Err(AccessError::SharedKey(spec.name, other));
                }
            }
            if let Some(former) = organisations.insert(spec.name.clone(), spec) {
                return Err(AccessError::RepeatedName(former.name));
            }
        }
        let public_routes = raw.public_routes.into_iter();
        let public_routes = public_routes.map(|(host, prefix)| (host.to_ascii_lowercase(), prefix));
        Ok(Self {
            requires_key,
            salt: raw.salt,
            organisations: organisations.into_values().map(Arc::new).collect(),
            public_routes: public_routes.collect(),
        })
    }
}

fn validate_organisation(
    salt: &KeySalt,
    raw: RawOrganisation,
) -> Result<OrganisationSpec, AccessError> {
    let name = raw.name;
    if name.is_empty() || name.chars().any(char::is_control) {
        return Err(AccessError::InvalidName(name));
    }
    if raw.keys.iter().any(String::is_empty) {
        return Err(AccessError::EmptyKey(name));
    }
    let Ok(rate) = RequestRate::try_from(raw.rate) else {
        return Err(AccessError::InvalidRate(name, raw.rate));
    };
    if !raw.burst.is_finite() || raw.burst < 0.0 {
        return Err(AccessError::InvalidBurst(name, raw.burst));
    }
    let keys: BTreeSet<_> = raw
        .keys
        .iter()
        .map(|key| KeyDigest::new(salt, key.as_bytes()))
        .collect();
    let quota = (rate.per_second() > 0.0).then_some(QuotaSpec {
        rate,
        burst: raw.burst,
    });
    Ok(OrganisationSpec {
        name,
        keys: keys.into_iter().collect(),
        priority: raw.priority,
        quota,
        home_regions: raw.home_regions,
    })
}
