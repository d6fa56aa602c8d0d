//! Measures how the look-up table scales: memory per block, look-ups a second on one core and the
//! time of one change, for 50 thousand, 500 thousand and 5 million blocks of 3,700 sites.
//!
//! ```text
//! cargo run --release -p steer --example lookup_benchmark
//! ```

use std::collections::BTreeSet;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Instant;

use ipnet::{IpNet, Ipv4Net};
use model::spec;
use model::state::{ForceState, HeldObject};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use steer::blocks::{BlockTable, SiteBlock, NO_SITE};
use steer::LookupTable;

const SITES: u16 = 3_700;
const REGIONS: usize = 23;
const HOSTS: u32 = 5_000;
const SEED: u64 = 1;
const LOOKUPS: u32 = 5_000_000;
const CHANGES: u32 = 1_000;
const MB: f64 = 1e6;

/// Layout of the blocks in the address space.
#[derive(Clone, Copy)]
enum BlockShape {
    /// Adjacent blocks without gaps.
    Joined,
    /// Random blocks with uncovered gaps between them.
    Scattered,
}

fn main() {
    let state = state_of_sites();
    println!("held state: blocks, resident bytes a block");
    for count in [50_000, 500_000, 1_500_000] {
        let before = resident_bytes();
        let held = state_of_blocks(count);
        let bytes = resident_bytes() - before;
        println!(
            "{:>10} {:>8.0}",
            held.blocks.len(),
            bytes / f64::from(count)
        );
    }
    println!("shape      blocks     bytes/block  table MB  site/s      answer/s   change us");
    for shape in [BlockShape::Joined, BlockShape::Scattered] {
        for count in [50_000, 500_000, 5_000_000] {
            measure(&state, shape, count);
        }
    }
}

fn measure(state: &ForceState, shape: BlockShape, count: u32) {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let blocks = blocks_of(shape, count, &mut rng);
    let sites = (0..SITES).map(zone_name).collect();
    let table = LookupTable::from_blocks(state, &BTreeSet::new(), sites, &blocks);
    let bytes = table.blocks().size_bytes() as f64;

    let start = Instant::now();
    let found = (0..LOOKUPS).filter(|_| table.blocks().site(address(&mut rng)) != NO_SITE);
    black_box(found.count());
    let sites_a_second = f64::from(LOOKUPS) / start.elapsed().as_secs_f64();

    let start = Instant::now();
    let hosts: usize = (0..LOOKUPS / 5)
        .map(|_| table.by_address(address(&mut rng)).len())
        .sum();
    black_box(hosts);
    let answers_a_second = f64::from(LOOKUPS / 5) / start.elapsed().as_secs_f64();

    let change_us = change_cost(table.blocks(), &blocks, &mut rng);
    let name = match shape {
        BlockShape::Joined => "joined",
        BlockShape::Scattered => "scattered",
    };
    println!(
        "{name:<10} {count:<10} {:<12.2} {:<9.2} {sites_a_second:<11.0} \
         {answers_a_second:<10.0} {change_us:.1}",
        bytes / f64::from(count),
        bytes / MB,
    );
}

/// Returns the mean time to change one block of a table, in microseconds.
fn change_cost(table: &BlockTable, blocks: &[SiteBlock], rng: &mut SmallRng) -> f64 {
    let chunk_of = |block: &SiteBlock| match block.net {
        IpNet::V4(net) => (u32::from(net.network()) >> 16) as u16,
        IpNet::V6(_) => 0,
    };
    let mut table = table.clone();
    let mut spent = 0.0;
    for _ in 0..CHANGES {
        let chunk = chunk_of(&blocks[rng.random_range(0..blocks.len())]);
        let first = blocks.partition_point(|block| chunk_of(block) < chunk);
        let last = blocks.partition_point(|block| chunk_of(block) <= chunk);
        let mut changed = blocks[first..last].to_vec();
        changed[0].site = rng.random_range(0..SITES);
        let start = Instant::now();
        table = table.with_chunk(chunk, &changed);
        spent += start.elapsed().as_secs_f64();
    }
    black_box(&table);
    spent * 1e6 / f64::from(CHANGES)
}

/// Returns `count` blocks in order of their addresses.
fn blocks_of(shape: BlockShape, count: u32, rng: &mut SmallRng) -> Vec<SiteBlock> {
    let length = match shape {
        BlockShape::Joined => 26,
        BlockShape::Scattered => 24,
    };
    let mut indices: Vec<u32> = match shape {
        BlockShape::Joined => (0..count).collect(),
        BlockShape::Scattered => {
            let mut indices: BTreeSet<u32> = BTreeSet::new();
            while indices.len() < count as usize {
                indices.insert(rng.random_range(0..1 << 24));
            }
            indices.into_iter().collect()
        }
    };
    indices.sort_unstable();
    let block = |index: u32| SiteBlock {
        net: IpNet::V4(Ipv4Net::new_assert(
            Ipv4Addr::from(index << (32 - length)),
            length,
        )),
        site: rng.random_range(0..SITES),
    };
    indices.into_iter().map(block).collect()
}

fn address(rng: &mut SmallRng) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(rng.random::<u32>()))
}

fn zone_name(site: u16) -> String {
    format!("region-{}-zone-{site}", usize::from(site) % REGIONS)
}

fn state_of_sites() -> ForceState {
    let mut state = ForceState::default();
    for region in 0..REGIONS {
        let zones = (0..SITES).filter(|site| usize::from(*site) % REGIONS == region);
        let region_spec = spec::RegionSpec {
            zones: zones.map(zone_name).collect(),
            cap: 1e6,
        };
        let name = format!("region-{region}");
        state.regions.insert(name, held(region_spec));
    }
    for host in 0..HOSTS {
        let address = SocketAddr::from(([10, 0, (host >> 8) as u8, host as u8], 80));
        let host_spec = spec::HostSpec {
            zone: zone_name((host % u32::from(SITES)) as u16),
            callers: address,
            peers: address,
        };
        state.hosts.insert(format!("entry-{host}"), held(host_spec));
    }
    state
}

fn state_of_blocks(count: u32) -> ForceState {
    let mut state = ForceState::default();
    for index in 0..count {
        let prefix = format!("{}/26", Ipv4Addr::from(index << 6));
        let zone = zone_name((index % u32::from(SITES)) as u16);
        state.blocks.insert(prefix, held(spec::BlockSpec { zone }));
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
