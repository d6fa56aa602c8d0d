//! Measures how the routing table scales: time per decision, memory per place and the time to
//! rebuild the table for one change, for 18, 470 and 4,700 places.
//!
//! ```text
//! cargo run --release -p steer --example route_benchmark
//! ```

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use guard::RequestClass;
use model::spec;
use model::state::{ForceState, HeldObject};
use steer::{RouteDecision, RouteQuery, RouteTable, TableBuilder};

const DECISIONS: u32 = 1_000_000;
const REBUILDS: u32 = 20;

/// Size of a measured deployment.
struct BenchmarkSize {
    services: u32,
    regions: u32,
    zones: u32,
    hosts: u32,
}

const SIZES: [BenchmarkSize; 3] = [
    BenchmarkSize {
        services: 3,
        regions: 3,
        zones: 6,
        hosts: 10,
    },
    BenchmarkSize {
        services: 10,
        regions: 23,
        zones: 47,
        hosts: 500,
    },
    BenchmarkSize {
        services: 100,
        regions: 23,
        zones: 47,
        hosts: 5_000,
    },
];

fn main() {
    println!("places  hosts  taken ns  refused ns  bytes/place  rebuild us  rebuild us/place");
    for size in &SIZES {
        measure(size);
    }
}

fn measure(size: &BenchmarkSize) {
    let now = Instant::now();
    let places = size.services * size.zones;
    let uncapped = state_of(size, 1e9);
    let before = resident_bytes();
    let table = build(&uncapped, None, now);
    let bytes = (resident_bytes() - before) / f64::from(places);
    let taken = decision_nanos(&table, now);
    let exhausted = build(&state_of(size, 0.001), None, now);
    let refused = decision_nanos(&exhausted, now);

    let mut previous = table;
    let start = Instant::now();
    for _ in 0..REBUILDS {
        previous = build(&uncapped, Some(&previous), now);
    }
    let rebuild = start.elapsed().as_secs_f64() * 1e6 / f64::from(REBUILDS);
    black_box(&previous);
    println!(
        "{places:<7} {:<6} {taken:<9.0} {refused:<11.0} {bytes:<12.0} {rebuild:<11.0} {:.2}",
        size.hosts,
        rebuild / f64::from(places),
    );
}

/// Returns the mean time of a routing decision, in nanoseconds.
fn decision_nanos(table: &RouteTable, now: Instant) -> f64 {
    let query = RouteQuery {
        service: "service-0",
        class: RequestClass::Read,
        bytes_hint: 500,
    };
    let start = Instant::now();
    let mut admitted = 0_u32;
    for step in 0..DECISIONS {
        let now = now + Duration::from_micros(u64::from(step) * 20);
        if let RouteDecision::Admit { permit, .. } = table.route(now, &query) {
            permit.settle(now, 500, 4000);
            admitted += 1;
        }
    }
    black_box(admitted);
    start.elapsed().as_secs_f64() * 1e9 / f64::from(DECISIONS)
}

fn build(state: &ForceState, previous: Option<&RouteTable>, now: Instant) -> RouteTable {
    let builder = TableBuilder::new(state, "entry-0", "zone-0");
    match previous {
        Some(table) => builder.previous(table).build(now),
        None => builder.build(now),
    }
}

/// Returns the state of a deployment in which all caps are `cap`.
fn state_of(size: &BenchmarkSize, cap: f64) -> ForceState {
    let mut state = ForceState {
        revision: 1,
        ..ForceState::default()
    };
    for region in 0..size.regions {
        let zones = (0..size.zones).filter(|zone| zone % size.regions == region);
        let region_spec = spec::RegionSpec {
            zones: zones.map(|zone| format!("zone-{zone}")).collect(),
            cap,
        };
        let name = format!("region-{region}");
        state.regions.insert(name, held(region_spec));
    }
    for host in 0..size.hosts {
        let address = SocketAddr::from(([10, 0, (host >> 8) as u8, host as u8], 80));
        let host_spec = spec::HostSpec {
            zone: format!("zone-{}", host % size.zones),
            callers: address,
            peers: address,
        };
        state.hosts.insert(format!("entry-{host}"), held(host_spec));
    }
    for service in 0..size.services {
        let places = (0..size.zones).map(|zone| (format!("zone-{zone}"), spec::PlaceSpec { cap }));
        let service_spec = spec::ServiceSpec {
            class: spec::ServiceClass::Read,
            shift: 1e9,
            places: places.collect(),
            leaving: Default::default(),
        };
        let name = format!("service-{service}");
        state.services.insert(name, held(service_spec));
    }
    state
}

fn held<T>(spec: T) -> HeldObject<T> {
    HeldObject {
        ticket: 1,
        spec: Some(spec),
    }
}

/// Returns the resident memory of the process, in bytes.
fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: f64 = kilobytes.and_then(|text| text.parse().ok()).unwrap_or(0.0);
    kilobytes * 1024.0
}
