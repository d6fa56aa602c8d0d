//! Whose request it is, and where it may run.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use admission::rank::Rank;
use fleet::access::{AccessPolicy, OrganisationSpec};
use fleet::ids;
use fleet::site::RouteSpec;
use http::header::HeaderMap;
use identity::decision::{self, CopyFreshness, KeyDecision, PresentedKey};
use identity::directory::{KeyDirectory, OrganisationIndex};

use crate::answer::HostAnswer;
use crate::settings::HeaderNames;

/// Retry-after time of a request whose key this host can't judge, as its copy of the configuration may be
/// outdated; other hosts may have a newer one.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Retry-after time of a request that no region may serve; only another configuration changes that.
const NO_HOME_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The access policy of the configuration in force, in the form in which requests look it up.
#[derive(Debug, Default)]
pub struct AccessTable {
    policy: Arc<AccessPolicy>,
    directory: KeyDirectory,
    /// Path prefixes of the routes that need no key, by virtual host.
    public_routes: HashMap<String, HashSet<String>>,
}

impl AccessTable {
    /// Creates the table of a policy.
    pub fn new(policy: Arc<AccessPolicy>) -> Self {
        let organisations = (0..).zip(&policy.organisations);
        let digests = organisations.flat_map(|(index, organisation)| {
            let keys = organisation.keys.iter();
            keys.map(move |digest| (*digest, index))
        });
        let mut public_routes: HashMap<String, HashSet<String>> = HashMap::new();
        for (host, prefix) in &policy.public_routes {
            let prefixes = public_routes.entry(host.clone()).or_default();
            prefixes.insert(prefix.clone());
        }
        Self {
            directory: KeyDirectory::new(policy.salt, digests),
            public_routes,
            policy,
        }
    }

    /// Returns the policy.
    pub fn policy(&self) -> &Arc<AccessPolicy> {
        &self.policy
    }

    /// Returns the organisation of a request; `None` where the request needs no key. `host` is the virtual
    /// host of the route.
    ///
    /// # Errors
    ///
    /// Returns the answer to a request without a valid key, and to one that this host can't judge.
    pub fn identify(
        &self,
        names: &HeaderNames,
        headers: &HeaderMap,
        host: &str,
        route: &RouteSpec,
        freshness: CopyFreshness,
    ) -> Result<Option<Arc<OrganisationSpec>>, HostAnswer> {
        if !self.policy.requires_key || self.is_public(host, route) {
            return Ok(None);
        }
        let values = headers.get_all(&names.key).iter();
        let key = PresentedKey::from_values(values.map(|value| value.as_bytes()));
        match decision::decide(&self.directory, key, freshness) {
            KeyDecision::Known(index) => Ok(self.organisation(index)),
            KeyDecision::Rejected => Err(HostAnswer::UnknownKey),
            KeyDecision::Undecided => Err(HostAnswer::NotRun {
                cause: "this host may lack the latest keys".to_string(),
                retry_after: UNDECIDED_RETRY_AFTER,
            }),
        }
    }

    /// Returns the rank of a request, by which room is kept for more urgent ones: the priority of the
    /// organisation, or else that of the route. `None` where the configuration has no organisations.
    pub fn rank(&self, route: &RouteSpec, organisation: Option<&OrganisationSpec>) -> Option<Rank> {
        let own = organisation.and_then(|own| own.priority);
        let has_ranks = !self.policy.organisations.is_empty();
        has_ranks.then(|| own.unwrap_or(route.priority))
    }

    fn is_public(&self, host: &str, route: &RouteSpec) -> bool {
        let prefixes = self.public_routes.get(host);
        prefixes.is_some_and(|prefixes| prefixes.contains(&route.path_prefix))
    }

    fn organisation(&self, index: OrganisationIndex) -> Option<Arc<OrganisationSpec>> {
        let index = usize::try_from(index).ok()?;
        self.policy.organisations.get(index).cloned()
    }
}

/// Returns the regions that may serve a request: where both the route and the organisation have home
/// regions, those of both. Empty where any region may.
///
/// # Errors
///
/// Returns the answer to a request that no region may serve.
pub fn home_regions(
    route: &RouteSpec,
    organisation: Option<&OrganisationSpec>,
) -> Result<Vec<ids::RegionName>, HostAnswer> {
    let own = organisation.map_or(&[][..], |organisation| &organisation.home_regions);
    match (route.home_regions.as_slice(), own) {
        (homes, []) | ([], homes) => Ok(homes.to_vec()),
        (homes, own) => {
            let both = homes.iter().filter(|region| own.contains(region));
            let both: Vec<_> = both.cloned().collect();
            if both.is_empty() {
                return Err(HostAnswer::NotRun {
                    cause: "the route and the organisation have no home region in common"
                        .to_string(),
                    retry_after: NO_HOME_RETRY_AFTER,
                });
            }
            Ok(both)
        }
    }
}
