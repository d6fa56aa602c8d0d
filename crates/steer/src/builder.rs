//! Construction of a routing table from the state in force.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::ids;
use model::spec;
use model::state::{self, ForceState};
use xxhash_rust::xxh3;

use crate::link::{LinkLimiter, USABLE_PART};
use crate::place::PlaceLimiter;
use crate::plan::{AnswerSize, PlaceRoute, ServiceRoute};
use crate::region::{RegionLimiter, RegionShare};
use crate::share::{CapChange, DelayedRate, HostPosition, RAISE_DELAY};
use crate::table::{PlaceKey, RouteTable};

/// Bytes in one megabit.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Part of a service's shift that the ramps use; the rest is a margin for the random variation of
/// arrivals.
const RAMP_PART: f64 = 0.9;

/// Time for which a retiring place, which the state no longer names, is kept beyond the time that
/// its traffic needs to move.
const RETIRE_MARGIN: Duration = Duration::from_secs(10);

/// Longest time for which a retiring place is kept.
const MAX_RETIRE_TIME: Duration = Duration::from_secs(600);

/// Builds a [`RouteTable`] from the state in force.
#[derive(Debug)]
#[must_use]
pub struct TableBuilder<'a> {
    state: &'a ForceState,
    host: &'a str,
    zone: &'a str,
    previous: Option<&'a RouteTable>,
    delays: BTreeMap<ids::RegionName, Duration>,
}

impl<'a> TableBuilder<'a> {
    /// Creates a builder for the table of the entry host `host` in the availability zone `zone`.
    pub fn new(state: &'a ForceState, host: &'a str, zone: &'a str) -> Self {
        Self {
            state,
            host,
            zone,
            previous: None,
            delays: BTreeMap::new(),
        }
    }

    /// Sets the previous table, from which the limiters are taken over. A table of revision 0
    /// counts as none.
    pub fn previous(mut self, table: &'a RouteTable) -> Self {
        self.previous = (table.revision > 0).then_some(table);
        self
    }

    /// Sets the measured delay to a region. Regions without a measured delay are ordered last.
    pub fn delay(mut self, region: &str, delay: Duration) -> Self {
        self.delays.insert(region.to_string(), delay);
        self
    }

    /// Builds the table and applies the new shares to the limiters: lower ones immediately, higher
    /// ones after a delay.
    pub fn build(self, now: Instant) -> RouteTable {
        let context = BuildContext::new(&self, now);
        let mut table = RouteTable {
            revision: self.state.revision,
            is_host_in_force: context.position.is_some(),
            ready_at: context.ready_at(),
            ..RouteTable::default()
        };
        context.add_places(&mut table);
        context.add_regions(&mut table);
        context.add_links(&mut table);
        context.add_services(&mut table);
        table
    }
}

/// Inputs and derived values that all steps of a build use.
struct BuildContext<'a> {
    builder: &'a TableBuilder<'a>,
    now: Instant,
    /// Position of this host, if it is in force.
    position: Option<HostPosition>,
    /// Region of each zone.
    region_of: HashMap<&'a str, &'a str>,
    /// Region of this host's zone.
    own_region: Option<&'a str>,
}

impl<'a> BuildContext<'a> {
    fn new(builder: &'a TableBuilder<'a>, now: Instant) -> Self {
        let state = builder.state;
        let mut region_of = HashMap::new();
        for (name, region) in state::live(&state.regions) {
            let zones = region.zones.iter().map(|zone| (zone.as_str(), name));
            region_of.extend(zones);
        }
        let own_region = region_of.get(builder.zone).copied();
        Self {
            builder,
            now,
            position: host_position(state, builder.host),
            region_of,
            own_region,
        }
    }

    /// Returns this host's fixed share of a cap, in requests a second. `name` identifies the capped
    /// object.
    fn fixed_share(&self, cap: f64, name: &str) -> f64 {
        let salt = xxh3::xxh3_64(name.as_bytes());
        self.position
            .map_or(0.0, |position| position.fixed_share(cap, salt))
    }

    /// Returns the delay of raised shares.
    ///
    /// The delay is zero for the first revision and for an object that is new in this revision,
    /// because no host had a share before.
    fn raise_delay(&self, is_new: bool) -> Duration {
        let revision = self.builder.state.revision;
        let follows_previous = self
            .builder
            .previous
            .is_some_and(|table| table.revision + 1 == revision);
        if revision <= 1 || (is_new && follows_previous) {
            return Duration::ZERO;
        }
        RAISE_DELAY
    }

    /// Returns the time from which this host has its fixed shares. A host that was in force before
    /// keeps the time of the previous table.
    fn ready_at(&self) -> Option<Instant> {
        match self.builder.previous {
            Some(table) if table.is_host_in_force => table.ready_at,
            _ => Some(self.now + self.raise_delay(false)),
        }
    }

    fn services(&self) -> impl Iterator<Item = (&'a str, &'a spec::ServiceSpec)> {
        state::live(&self.builder.state.services)
    }

    /// Returns the growth that a service's shift allows this host, in requests a second per second.
    fn max_growth(&self, service: &spec::ServiceSpec) -> f64 {
        service.shift * RAMP_PART / f64::from(self.position.map_or(1, |position| position.hosts))
    }

    fn add_places(&self, table: &mut RouteTable) {
        for (name, service) in self.services() {
            for (zone, place) in &service.places {
                let limiter = self.place_limiter(name, zone, place.cap);
                table
                    .places
                    .insert((name.to_string(), zone.clone()), limiter);
            }
        }
        let Some(previous) = self.builder.previous else {
            return;
        };
        for (key, limiter) in &previous.places {
            if !table.places.contains_key(key) && self.retire_place(key, limiter) {
                table.places.insert(key.clone(), Arc::clone(limiter));
            }
        }
    }

    /// Returns the limiter of a place in force with its new cap applied.
    fn place_limiter(&self, service: &str, zone: &str, cap: f64) -> Arc<PlaceLimiter> {
        let key: PlaceKey = (service.to_string(), zone.to_string());
        let existing = self
            .builder
            .previous
            .and_then(|table| table.places.get(&key));
        let change = CapChange {
            revision: self.builder.state.revision,
            cap,
            fixed: self.fixed_share(cap, &format!("{service}/{zone}")),
            raise_delay: self.raise_delay(existing.is_none()),
        };
        let limiter = existing.map_or_else(
            || {
                let has_just_started = self.builder.previous.is_none();
                // A host that has just started doesn't know its previous traffic. It assumes the
                // fixed share at the nearest places and no traffic at the others.
                let initial_rate = match has_just_started && self.is_nearest(service, zone) {
                    true => change.fixed,
                    false => 0.0,
                };
                Arc::new(PlaceLimiter::new(self.now, service, zone, initial_rate))
            },
            Arc::clone,
        );
        limiter.change_share(|share| share.with_cap(self.now, change));
        limiter
    }

    /// Returns whether no other place of the service is nearer than the one in `zone`.
    fn is_nearest(&self, service: &str, zone: &str) -> bool {
        let services = &self.builder.state.services;
        let spec = services.get(service).and_then(|held| held.spec.as_ref());
        let zones = spec.into_iter().flat_map(|spec| spec.places.keys());
        zones.map(|other| self.distance(other)).min() == Some(self.distance(zone))
    }

    /// Returns the distance of a zone: 0 for this host's zone, 1 for another zone of its region and
    /// 2 for zones of other regions.
    fn distance(&self, zone: &str) -> u8 {
        let region = self.region_of.get(zone).copied();
        match (zone == self.builder.zone, region) {
            (true, _) => 0,
            (false, Some(_)) if region == self.own_region => 1,
            (false, _) => 2,
        }
    }

    /// Retires a place that the state no longer names, so that its traffic can move within the
    /// allowed growth. Returns whether the place is kept.
    fn retire_place(&self, key: &PlaceKey, limiter: &PlaceLimiter) -> bool {
        let (service, zone) = key;
        let services = &self.builder.state.services;
        let Some(service) = services.get(service).and_then(|held| held.spec.as_ref()) else {
            return false;
        };
        if self.region_cap(zone) <= 0.0 {
            return false;
        }
        let rate = limiter.ramp().limit(self.now);
        let move_time = Duration::from_secs_f64((rate * 2.0 / self.max_growth(service)).min(600.0));
        let until = self.now + (move_time + RETIRE_MARGIN).min(MAX_RETIRE_TIME);
        limiter.change_share(|share| share.retire(self.now, rate, until));
        limiter.share().rate(self.now) > 0.0
    }

    /// Returns the cap of a zone's region, 0 if the zone is in no region in force.
    fn region_cap(&self, zone: &str) -> f64 {
        let regions = &self.builder.state.regions;
        let region = self.region_of.get(zone).and_then(|name| regions.get(*name));
        region
            .and_then(|held| held.spec.as_ref())
            .map_or(0.0, |region| region.cap)
    }

    fn add_regions(&self, table: &mut RouteTable) {
        for (name, region) in state::live(&self.builder.state.regions) {
            let existing = self
                .builder
                .previous
                .and_then(|table| table.regions.get(name));
            let limiter =
                existing.map_or_else(|| Arc::new(RegionLimiter::new(self.now, name)), Arc::clone);
            let share =
                self.region_share(name, table, region, &limiter.share(), existing.is_none());
            limiter.set_share(self.now, share);
            table.regions.insert(name.to_string(), limiter);
        }
    }

    fn region_share(
        &self,
        name: &str,
        table: &RouteTable,
        region: &spec::RegionSpec,
        old: &RegionShare,
        is_new: bool,
    ) -> RegionShare {
        let raise_delay = self.raise_delay(is_new);
        let places: Vec<Arc<PlaceLimiter>> = table
            .places
            .values()
            .filter(|place| region.zones.contains(&place.zone))
            .cloned()
            .collect();
        let caps: f64 = places.iter().map(|place| place.share().cap()).sum();
        let factor = if caps > region.cap {
            region.cap / caps
        } else {
            1.0
        };
        let fixed = self.fixed_share(region.cap, name);
        RegionShare {
            fixed: old.fixed.set(self.now, fixed, raise_delay),
            // A host that has no share of the region yet has no lease that a higher factor would
            // raise, so the factor needs no delay.
            lease_factor: match is_new {
                true => DelayedRate::new(self.now, factor),
                false => old.lease_factor.set(self.now, factor, raise_delay),
            },
            places,
        }
    }

    fn add_links(&self, table: &mut RouteTable) {
        let state = self.builder.state;
        for (region, _) in state::live(&state.regions) {
            if Some(region) == self.own_region {
                continue;
            }
            let Some(rate) = self.link_rate(region) else {
                continue;
            };
            let existing = self
                .builder
                .previous
                .and_then(|table| table.links.get(region));
            let limiter =
                existing.map_or_else(|| Arc::new(LinkLimiter::new(self.now, region)), Arc::clone);
            limiter.set_rate(self.now, rate, self.raise_delay(existing.is_none()));
            table.links.insert(region.to_string(), limiter);
        }
    }

    /// Returns this host's budget of the link to a region, in bytes a second: `None` if the link is
    /// unlimited, 0 if this host isn't in force or is in no region.
    fn link_rate(&self, region: &str) -> Option<f64> {
        let Some(own) = self.own_region else {
            return Some(0.0);
        };
        let name = match own < region {
            true => format!("{own}/{region}"),
            false => format!("{region}/{own}"),
        };
        let link = self.builder.state.links.get(&name)?.spec.as_ref()?;
        if self.position.is_none() {
            return Some(0.0);
        }
        let uses_link = |host: &spec::HostSpec| {
            let at = self.region_of.get(host.zone.as_str()).copied();
            at == Some(own) || at == Some(region)
        };
        let hosts = state::live(&self.builder.state.hosts);
        let users = hosts.filter(|(_, host)| uses_link(host)).count();
        Some(link.mbits * BYTES_PER_MBIT * USABLE_PART / users as f64)
    }

    fn add_services(&self, table: &mut RouteTable) {
        for (name, service) in self.services() {
            let answer_size = self
                .builder
                .previous
                .and_then(|table| table.answer_sizes.get(name))
                .map_or_else(|| Arc::new(AnswerSize::default()), Arc::clone);
            let route = ServiceRoute {
                places: self.place_routes(table, name),
                max_growth: self.max_growth(service),
                answer_size: Arc::clone(&answer_size),
            };
            table.answer_sizes.insert(name.to_string(), answer_size);
            table.services.insert(name.to_string(), Arc::new(route));
        }
    }

    /// Returns the places of a service in the order in which this host uses them: its own zone, the
    /// other zones of its region, then other regions by delay. Retiring places come last.
    fn place_routes(&self, table: &RouteTable, service: &str) -> Vec<PlaceRoute> {
        let first_key = (service.to_string(), String::new());
        let mut places: Vec<&Arc<PlaceLimiter>> = table
            .places
            .range(first_key..)
            .take_while(|((name, _), _)| name == service)
            .map(|(_, limiter)| limiter)
            .filter(|limiter| {
                let share = limiter.share();
                share.is_retiring() || share.cap() > 0.0
            })
            .collect();
        places.sort_by_cached_key(|limiter| self.rank(limiter));
        let routes = places.into_iter().filter_map(|place| {
            let region = *self.region_of.get(place.zone.as_str())?;
            Some(PlaceRoute {
                place: Arc::clone(place),
                region: Arc::clone(table.regions.get(region)?),
                link: table.links.get(region).map(Arc::clone),
            })
        });
        routes.collect()
    }

    /// Returns the sort key of a place for this host.
    fn rank(&self, limiter: &PlaceLimiter) -> PlaceRank {
        let zone = limiter.zone.as_str();
        let region = self.region_of.get(zone).copied();
        let distance = self.distance(zone);
        let delay = region.and_then(|name| self.builder.delays.get(name).copied());
        PlaceRank {
            is_retiring: limiter.share().is_retiring(),
            distance,
            delay: match distance {
                2 => delay.unwrap_or(Duration::MAX),
                _ => Duration::ZERO,
            },
            link_rate: Reverse(self.link_bytes_per_second(region)),
            region_index: self.rotated_index(self.region_of.values().copied(), region),
            zone_index: self.rotated_index(self.zones_of(region), Some(zone)),
        }
    }

    /// Returns the index of a name in the sorted names, rotated by this host's position, so that
    /// the hosts spread their spilled traffic evenly over equally good places.
    fn rotated_index<'n>(&self, names: impl Iterator<Item = &'n str>, name: Option<&str>) -> usize {
        let names: BTreeSet<&str> = names.collect();
        let position = names.iter().position(|other| Some(*other) == name);
        let start = self.position.map_or(0, |position| position.index as usize);
        (position.unwrap_or_default() + start) % names.len().max(1)
    }

    /// Iterates over the zones of a region.
    fn zones_of<'n>(&'n self, region: Option<&'n str>) -> impl Iterator<Item = &'n str> {
        let zones = self.region_of.iter();
        zones
            .filter(move |(_, name)| Some(**name) == region)
            .map(|(zone, _)| *zone)
    }

    fn link_bytes_per_second(&self, region: Option<&str>) -> u64 {
        let rate = region.and_then(|name| self.link_rate(name));
        rate.unwrap_or_default() as u64
    }
}

/// Returns the position of a host, if it is in force.
fn host_position(state: &ForceState, host: &str) -> Option<HostPosition> {
    let index = state::live(&state.hosts).position(|(name, _)| name == host)?;
    let hosts = state::live(&state.hosts).count();
    Some(HostPosition {
        index: u32::try_from(index).ok()?,
        hosts: u32::try_from(hosts).ok()?,
    })
}

/// Sort key of a place in a host's order; lower keys come first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlaceRank {
    is_retiring: bool,
    distance: u8,
    delay: Duration,
    link_rate: Reverse<u64>,
    region_index: usize,
    zone_index: usize,
}
