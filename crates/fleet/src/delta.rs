//! Differences between configurations, so that an entry host gets only what changed.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::access::{AccessPolicy, OrganisationSpec};
use crate::ids;
use crate::list::ListDelta;
use crate::site::{ClientLimits, HostRoutes, RouteSpec, ServiceSpec, SiteConfig};

quick_error! {
    /// Reason why a difference can't be applied.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum DeltaError {
        /// The difference builds on another configuration.
        OtherBase(version: ids::SiteVersion, base: ids::SiteVersion) {
            display("the difference builds on version {base}, and the copy has version {version}")
        }
        /// The result isn't the configuration for which the difference was made.
        OtherResult(version: ids::SiteVersion) {
            display("the difference doesn't give version {version}")
        }
    }
}

/// Identifies the content of a configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SiteStamp {
    /// Version of the configuration.
    pub version: ids::SiteVersion,
    /// Digest of its parts.
    pub digest: u64,
}

impl SiteStamp {
    /// Returns what identifies a configuration whose encoded parts are given.
    pub fn new(version: ids::SiteVersion, encoded: &[u8]) -> Self {
        Self {
            version,
            digest: xxh3::xxh3_64(encoded),
        }
    }
}

/// A configuration with all its parts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SiteCopy {
    /// Version of the configuration.
    pub version: ids::SiteVersion,
    /// Services, limits and routes.
    pub site: Arc<SiteConfig>,
    /// Organisations and public routes.
    pub access: Arc<AccessPolicy>,
}

impl SiteCopy {
    /// Encodes the parts, without the version.
    ///
    /// # Errors
    ///
    /// Fails where a part can't be encoded.
    pub fn encode(&self) -> postcard::Result<Vec<u8>> {
        postcard::to_allocvec(&(&self.site, &self.access))
    }

    /// Returns what identifies the configuration; `None` where it can't be encoded.
    pub fn stamp(&self) -> Option<SiteStamp> {
        let encoded = self.encode().ok()?;
        Some(SiteStamp::new(self.version, &encoded))
    }
}

/// Difference between two configurations.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SiteDelta {
    /// Configuration on which the difference builds.
    base: SiteStamp,
    /// Configuration that it gives.
    result: SiteStamp,
    services: ListDelta<ServiceSpec>,
    /// Limits, where they changed.
    limits: Option<ClientLimits>,
    /// Names of the virtual hosts.
    hosts: ListDelta<String>,
    /// Differences of the routes of virtual hosts, by their position in the new list. A virtual host
    /// without an entry has the routes that it had, or none.
    routes: Vec<(u32, ListDelta<RouteSpec>)>,
    access: AccessDelta,
}

/// Difference between two access policies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct AccessDelta {
    /// The policy without its organisations and public routes.
    head: AccessPolicy,
    organisations: ListDelta<Arc<OrganisationSpec>>,
    /// Routes that are no longer public.
    hidden_routes: Vec<(String, String)>,
    /// Routes that became public.
    public_routes: Vec<(String, String)>,
}

impl SiteDelta {
    /// Returns the difference between two configurations, each with what identifies it.
    pub fn between(
        (old, base): (&SiteCopy, SiteStamp),
        (new, result): (&SiteCopy, SiteStamp),
    ) -> Self {
        let (old_site, new_site) = (&*old.site, &*new.site);
        let mut former_routes = RoutesByHost::new(&old_site.hosts);
        let mut routes = Vec::new();
        for (position, entry) in new_site.hosts.iter().enumerate() {
            let former = former_routes.take(&entry.host);
            if former != entry.routes {
                let delta = ListDelta::between(former, &entry.routes, |route| &route.path_prefix);
                routes.push((position as u32, delta));
            }
        }
        Self {
            base,
            result,
            services: ListDelta::between(&old_site.services, &new_site.services, |s| &s.name),
            limits: (old_site.limits != new_site.limits).then(|| new_site.limits.clone()),
            hosts: ListDelta::between(&host_names(old_site), &host_names(new_site), |name| {
                name.as_str()
            }),
            routes,
            access: AccessDelta::between(&old.access, &new.access),
        }
    }

    /// Returns what identifies the configuration that the difference gives.
    pub fn result(&self) -> SiteStamp {
        self.result
    }

    /// Returns the configuration on which the difference builds.
    pub fn base(&self) -> SiteStamp {
        self.base
    }

    /// Applies differences that build on each other, and returns the last configuration.
    ///
    /// # Errors
    ///
    /// Fails where `old` is another configuration than that on which the first difference builds, or the
    /// result another one than that of the last. `stamp` is that of `old`.
    pub fn apply_all(
        deltas: &[Arc<Self>],
        old: &SiteCopy,
        stamp: SiteStamp,
    ) -> Result<SiteCopy, DeltaError> {
        let (mut copy, mut known) = (old.clone(), stamp);
        for delta in deltas {
            if known != delta.base {
                return Err(DeltaError::OtherBase(known.version, delta.base.version));
            }
            let other = DeltaError::OtherResult(delta.result.version);
            copy = delta.build(&copy).ok_or(other)?;
            known = delta.result;
        }
        // A wrong step gives a wrong result, so one digest tells of all.
        if copy.stamp() == Some(known) {
            Ok(copy)
        } else {
            Err(DeltaError::OtherResult(known.version))
        }
    }

    fn build(&self, old: &SiteCopy) -> Option<SiteCopy> {
        let mut former_routes = RoutesByHost::new(&old.site.hosts);
        let mut deltas = self.routes.iter().peekable();
        let mut hosts = Vec::new();
        for (position, host) in self
            .hosts
            .apply(&host_names(&old.site))?
            .into_iter()
            .enumerate()
        {
            let former = former_routes.take(&host);
            let routes = match deltas.next_if(|(at, _)| *at as usize == position) {
                Some((_, delta)) => delta.apply(former)?,
                None => former.to_vec(),
            };
            hosts.push(HostRoutes { host, routes });
        }
        let limits = self.limits.as_ref().unwrap_or(&old.site.limits);
        let site = SiteConfig {
            services: self.services.apply(&old.site.services)?,
            limits: limits.clone(),
            hosts,
        };
        Some(SiteCopy {
            version: self.result.version,
            site: Arc::new(site),
            access: Arc::new(self.access.apply(&old.access)?),
        })
    }
}

impl AccessDelta {
    fn between(old: &AccessPolicy, new: &AccessPolicy) -> Self {
        let gone = old.public_routes.difference(&new.public_routes);
        let added = new.public_routes.difference(&old.public_routes);
        Self {
            head: AccessPolicy {
                requires_key: new.requires_key,
                salt: new.salt,
                ..AccessPolicy::default()
            },
            organisations: ListDelta::between(&old.organisations, &new.organisations, |o| &o.name),
            hidden_routes: gone.cloned().collect(),
            public_routes: added.cloned().collect(),
        }
    }

    fn apply(&self, old: &AccessPolicy) -> Option<AccessPolicy> {
        let mut new = self.head.clone();
        new.organisations = self.organisations.apply(&old.organisations)?;
        new.public_routes.clone_from(&old.public_routes);
        for route in &self.hidden_routes {
            new.public_routes.remove(route);
        }
        let added = self.public_routes.iter();
        new.public_routes.extend(added.cloned());
        Some(new)
    }
}

/// Routes of the virtual hosts of a configuration, by name. A name may stand there more than once.
struct RoutesByHost<'a>(HashMap<&'a str, VecDeque<&'a [RouteSpec]>>);

impl<'a> RoutesByHost<'a> {
    fn new(hosts: &'a [HostRoutes]) -> Self {
        let mut by_host: HashMap<_, VecDeque<_>> = HashMap::new();
        for entry in hosts {
            let routes = by_host.entry(entry.host.as_str()).or_default();
            routes.push_back(entry.routes.as_slice());
        }
        Self(by_host)
    }

    /// Takes the routes of the next virtual host with a name; empty where there is none.
    fn take(&mut self, host: &str) -> &'a [RouteSpec] {
        let routes = self.0.get_mut(host).and_then(VecDeque::pop_front);
        routes.unwrap_or_default()
    }
}

fn host_names(site: &SiteConfig) -> Vec<String> {
    let hosts = site.hosts.iter();
    hosts.map(|entry| entry.host.clone()).collect()
}
