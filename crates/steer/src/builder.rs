//! A table from what is in force.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::ids;
use model::spec;
use model::state::{self, ForceState};
use xxhash_rust::xxh3;

use crate::link::{LinkGauge, STEERED_PART};
use crate::place::PlaceGauge;
use crate::plan::{AnswerSize, PlaceRoute, ServiceRoute};
use crate::region::{RegionGauge, RegionShare};
use crate::share::{CapChange, HostSeat, SettledRate, RAISE_WAIT};
use crate::table::{PlaceName, RouteTable};

/// Bytes a second of one megabit a second.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Part of a shift that the ramps use; the rest covers the chance variation of arrivals.
const PACE_PART: f64 = 0.9;

/// Time for which a place that the tickets no longer name is kept, beyond what its traffic needs
/// to move.
const RETIRE_MARGIN: Duration = Duration::from_secs(10);

/// Longest time for which such a place is kept.
const MAX_RETIRE: Duration = Duration::from_secs(600);

/// Makes a [`RouteTable`] from what is in force.
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
    /// Starts a table for the entry host of a name in an availability zone.
    pub fn new(state: &'a ForceState, host: &'a str, zone: &'a str) -> Self {
        Self {
            state,
            host,
            zone,
            previous: None,
            delays: BTreeMap::new(),
        }
    }

    /// Carries over the gauges of the table before; one of revision 0 counts as none.
    pub fn previous(mut self, table: &'a RouteTable) -> Self {
        self.previous = (table.revision > 0).then_some(table);
        self
    }

    /// Sets the measured delay to a region; regions without one come after those with one.
    pub fn delay(mut self, region: &str, delay: Duration) -> Self {
        self.delays.insert(region.to_string(), delay);
        self
    }

    /// Makes the table and applies the new allowances to the gauges: cuts at once, raises later.
    pub fn build(self, now: Instant) -> RouteTable {
        let frame = TableFrame::new(&self, now);
        let mut table = RouteTable {
            revision: self.state.revision,
            is_seated: frame.seat.is_some(),
            settles_at: frame.settles_at(),
            ..RouteTable::default()
        };
        frame.put_places(&mut table);
        frame.put_regions(&mut table);
        frame.put_links(&mut table);
        frame.put_services(&mut table);
        table
    }
}

/// What the steps of one build share.
struct TableFrame<'a> {
    builder: &'a TableBuilder<'a>,
    now: Instant,
    /// Seat of this host, when it is in force.
    seat: Option<HostSeat>,
    region_of: HashMap<&'a str, &'a str>,
    own_region: Option<&'a str>,
}

impl<'a> TableFrame<'a> {
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
            seat: host_seat(state, builder.host),
            region_of,
            own_region,
        }
    }

    /// Returns this host's fixed part of a cap, in requests a second.
    fn fixed_part(&self, cap: f64, name: &str) -> f64 {
        let salt = xxh3::xxh3_64(name.as_bytes());
        self.seat.map_or(0.0, |seat| seat.fixed_part(cap, salt))
    }

    /// Returns how long a raise waits.
    ///
    /// An object that came with this very state had no share on any host before, so its shares
    /// hold at once.
    fn raise_wait(&self, is_new: bool) -> Duration {
        let revision = self.builder.state.revision;
        let step = self
            .builder
            .previous
            .is_some_and(|table| table.revision + 1 == revision);
        if revision <= 1 || (is_new && step) {
            return Duration::ZERO;
        }
        RAISE_WAIT
    }

    /// Returns when a host that has just started, or has just come into force, has its fixed
    /// parts.
    fn settles_at(&self) -> Option<Instant> {
        match self.builder.previous {
            Some(table) if table.is_seated => table.settles_at,
            _ => Some(self.now + self.raise_wait(false)),
        }
    }

    fn services(&self) -> impl Iterator<Item = (&'a str, &'a spec::ServiceSpec)> {
        state::live(&self.builder.state.services)
    }

    fn pace(&self, service: &spec::ServiceSpec) -> f64 {
        service.shift * PACE_PART / f64::from(self.seat.map_or(1, |seat| seat.hosts))
    }

    fn put_places(&self, table: &mut RouteTable) {
        for (name, service) in self.services() {
            for (zone, place) in &service.places {
                let gauge = self.place_in_force(name, zone, place.cap);
                table.places.insert((name.to_string(), zone.clone()), gauge);
            }
        }
        let Some(previous) = self.builder.previous else {
            return;
        };
        for (name, gauge) in &previous.places {
            if !table.places.contains_key(name) && self.retire(name, gauge) {
                table.places.insert(name.clone(), Arc::clone(gauge));
            }
        }
    }

    fn place_in_force(&self, service: &str, zone: &str, cap: f64) -> Arc<PlaceGauge> {
        let name: PlaceName = (service.to_string(), zone.to_string());
        let known = self
            .builder
            .previous
            .and_then(|table| table.places.get(&name));
        let change = CapChange {
            revision: self.builder.state.revision,
            cap,
            floor: self.fixed_part(cap, &format!("{service}/{zone}")),
            wait: self.raise_wait(known.is_none()),
        };
        let gauge = known.map_or_else(
            || {
                let is_start = self.builder.previous.is_none();
                // A process that has just started doesn't know what its traffic was; at the
                // nearest places it assumes the fixed part of the cap.
                let warm = match is_start && self.is_nearest(service, zone) {
                    true => change.floor,
                    false => 0.0,
                };
                Arc::new(PlaceGauge::new(self.now, service, zone, warm))
            },
            Arc::clone,
        );
        gauge.change_share(|share| share.with_cap(self.now, change));
        gauge
    }

    /// Tells whether no other place of a service is nearer than one in a zone.
    fn is_nearest(&self, service: &str, zone: &str) -> bool {
        let services = &self.builder.state.services;
        let spec = services.get(service).and_then(|held| held.spec.as_ref());
        let zones = spec.into_iter().flat_map(|spec| spec.places.keys());
        zones.map(|other| self.nearness(other)).min() == Some(self.nearness(zone))
    }

    /// Returns 0 for the own zone, 1 for a zone of the own region and 2 for others.
    fn nearness(&self, zone: &str) -> u8 {
        let region = self.region_of.get(zone).copied();
        match (zone == self.builder.zone, region) {
            (true, _) => 0,
            (false, Some(_)) if region == self.own_region => 1,
            (false, _) => 2,
        }
    }

    /// Keeps a place that the state no longer names while its traffic moves; tells whether it is
    /// kept.
    fn retire(&self, name: &PlaceName, gauge: &PlaceGauge) -> bool {
        let (service, zone) = name;
        let services = &self.builder.state.services;
        let Some(service) = services.get(service).and_then(|held| held.spec.as_ref()) else {
            return false;
        };
        if self.region_cap(zone) <= 0.0 {
            return false;
        }
        let level = gauge.ramp().level(self.now);
        let time = Duration::from_secs_f64((level * 2.0 / self.pace(service)).min(600.0));
        let until = self.now + (time + RETIRE_MARGIN).min(MAX_RETIRE);
        gauge.change_share(|share| share.retired(self.now, level, until));
        gauge.share().rate(self.now) > 0.0
    }

    fn region_cap(&self, zone: &str) -> f64 {
        let regions = &self.builder.state.regions;
        let region = self.region_of.get(zone).and_then(|name| regions.get(*name));
        region
            .and_then(|held| held.spec.as_ref())
            .map_or(0.0, |region| region.cap)
    }

    fn put_regions(&self, table: &mut RouteTable) {
        for (name, region) in state::live(&self.builder.state.regions) {
            let known = self
                .builder
                .previous
                .and_then(|table| table.regions.get(name));
            let gauge =
                known.map_or_else(|| Arc::new(RegionGauge::new(self.now, name)), Arc::clone);
            let share = self.region_share(name, table, region, &gauge.share(), known.is_none());
            gauge.set_share(self.now, share);
            table.regions.insert(name.to_string(), gauge);
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
        let wait = self.raise_wait(is_new);
        let places: Vec<Arc<PlaceGauge>> = table
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
        let floor = self.fixed_part(region.cap, name);
        RegionShare {
            floor: old.floor.set(self.now, floor, wait),
            // A host that has just started holds no lease yet that a raised factor could raise.
            factor: match is_new {
                true => SettledRate::new(self.now, factor),
                false => old.factor.set(self.now, factor, wait),
            },
            places,
        }
    }

    fn put_links(&self, table: &mut RouteTable) {
        let state = self.builder.state;
        for (region, _) in state::live(&state.regions) {
            if Some(region) == self.own_region {
                continue;
            }
            let Some(rate) = self.link_rate(region) else {
                continue;
            };
            let known = self
                .builder
                .previous
                .and_then(|table| table.links.get(region));
            let gauge =
                known.map_or_else(|| Arc::new(LinkGauge::new(self.now, region)), Arc::clone);
            gauge.set_rate(self.now, rate, self.raise_wait(known.is_none()));
            table.links.insert(region.to_string(), gauge);
        }
    }

    /// Returns this host's budget of the link to a region, in bytes a second; nothing when the
    /// tickets set no limit, and 0 when this host is in no region in force.
    fn link_rate(&self, region: &str) -> Option<f64> {
        let Some(own) = self.own_region else {
            return Some(0.0);
        };
        let name = match own < region {
            true => format!("{own}/{region}"),
            false => format!("{region}/{own}"),
        };
        let link = self.builder.state.links.get(&name)?.spec.as_ref()?;
        if self.seat.is_none() {
            return Some(0.0);
        }
        let uses_link = |host: &spec::HostSpec| {
            let at = self.region_of.get(host.zone.as_str()).copied();
            at == Some(own) || at == Some(region)
        };
        let hosts = state::live(&self.builder.state.hosts);
        let users = hosts.filter(|(_, host)| uses_link(host)).count();
        Some(link.mbits * BYTES_PER_MBIT * STEERED_PART / users as f64)
    }

    fn put_services(&self, table: &mut RouteTable) {
        for (name, service) in self.services() {
            let answers = self
                .builder
                .previous
                .and_then(|table| table.answers.get(name))
                .map_or_else(|| Arc::new(AnswerSize::default()), Arc::clone);
            let route = ServiceRoute {
                places: self.place_routes(table, name),
                pace: self.pace(service),
                answers: Arc::clone(&answers),
            };
            table.answers.insert(name.to_string(), answers);
            table.services.insert(name.to_string(), Arc::new(route));
        }
    }

    /// Returns the places of a service in the order in which this host uses them: its own zone,
    /// the paired zones, then other regions by delay; places that are retiring come last.
    fn place_routes(&self, table: &RouteTable, service: &str) -> Vec<PlaceRoute> {
        let first = (service.to_string(), String::new());
        let mut places: Vec<&Arc<PlaceGauge>> = table
            .places
            .range(first..)
            .take_while(|((name, _), _)| name == service)
            .map(|(_, gauge)| gauge)
            .filter(|gauge| {
                let share = gauge.share();
                share.is_retiring() || share.cap() > 0.0
            })
            .collect();
        places.sort_by_cached_key(|gauge| self.rank(gauge));
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

    fn rank(&self, gauge: &PlaceGauge) -> PlaceRank {
        let zone = gauge.zone.as_str();
        let region = self.region_of.get(zone).copied();
        let nearness = self.nearness(zone);
        let delay = region.and_then(|name| self.builder.delays.get(name).copied());
        PlaceRank {
            retiring: gauge.share().is_retiring(),
            nearness,
            delay: match nearness {
                2 => delay.unwrap_or(Duration::MAX),
                _ => Duration::ZERO,
            },
            link: Reverse(self.link_mbits(region)),
            region: self.turn(self.region_of.values().copied(), region),
            zone: self.turn(self.zones_of(region), Some(zone)),
        }
    }

    /// Returns the place of a name among others in the order of a circle that starts elsewhere
    /// for each host, so that the spill of all hosts spreads evenly over equals.
    fn turn<'n>(&self, names: impl Iterator<Item = &'n str>, name: Option<&str>) -> usize {
        let names: BTreeSet<&str> = names.collect();
        let position = names.iter().position(|other| Some(*other) == name);
        let start = self.seat.map_or(0, |seat| seat.index as usize);
        (position.unwrap_or_default() + start) % names.len().max(1)
    }

    fn zones_of<'n>(&'n self, region: Option<&'n str>) -> impl Iterator<Item = &'n str> {
        let zones = self.region_of.iter();
        zones
            .filter(move |(_, name)| Some(**name) == region)
            .map(|(zone, _)| *zone)
    }

    fn link_mbits(&self, region: Option<&str>) -> u64 {
        let rate = region.and_then(|name| self.link_rate(name));
        rate.unwrap_or_default() as u64
    }
}

/// Returns the seat of a host, when it is in force.
fn host_seat(state: &ForceState, host: &str) -> Option<HostSeat> {
    let index = state::live(&state.hosts).position(|(name, _)| name == host)?;
    let hosts = state::live(&state.hosts).count();
    Some(HostSeat {
        index: u32::try_from(index).ok()?,
        hosts: u32::try_from(hosts).ok()?,
    })
}

/// Rank of a place in a host's order; the least comes first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlaceRank {
    retiring: bool,
    nearness: u8,
    delay: Duration,
    link: Reverse<u64>,
    region: usize,
    zone: usize,
}
