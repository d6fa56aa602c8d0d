//! Tests of the block table and of entry host look-ups.

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use model::raw::RawTicket;
use model::state::ForceState;
use model::ticket::ChangeTicket;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use steer::blocks::{BlockTable, SiteBlock, NO_SITE};
use steer::lookup::LookupTable;

fn ticket(number: u64, text: &str) -> ChangeTicket {
    let raw = RawTicket::from_toml(&format!("number = {number}\n{text}")).unwrap();
    ChangeTicket::try_from(raw).unwrap()
}

fn state_with_hosts() -> ForceState {
    let mut text = String::new();
    for region in ["karachi", "lahore"] {
        text +=
            &format!("[region.{region}]\ncap = 800.0\nzones = [\"{region}-a\", \"{region}-b\"]\n");
    }
    for index in 0..12 {
        let zone = ["karachi-a", "karachi-b", "lahore-a", "lahore-b"][index % 4];
        text += &format!("[host.entry-{index}]\nzone = \"{zone}\"\n");
        text += &format!("callers = \"10.0.0.1:8{index}\"\npeers = \"10.0.0.1:9{index}\"\n");
    }
    let mut state = ForceState::default();
    state.apply(&ticket(1, &text));
    state
}

/// Returns the site of the longest matching prefix by a linear search, as a reference.
fn naive_site(blocks: &[SiteBlock], address: IpAddr) -> u16 {
    let covering = blocks.iter().filter(|block| block.net.contains(&address));
    covering
        .max_by_key(|block| block.net.prefix_len())
        .map_or(NO_SITE, |block| block.site)
}

fn random_blocks(rng: &mut SmallRng, count: usize) -> Vec<SiteBlock> {
    let mut seen = BTreeSet::new();
    let mut blocks = Vec::new();
    while blocks.len() < count {
        // The addresses lie in four /16 networks, so that many blocks nest.
        let address = 0x0a00_0000 | (rng.random::<u32>() & 0x0003_ffff);
        let length = rng.random_range(7..=32);
        let net = IpNet::V4(
            Ipv4Net::new(Ipv4Addr::from(address), length)
                .unwrap()
                .trunc(),
        );
        if seen.insert(net) {
            let site = rng.random_range(0..50);
            blocks.push(SiteBlock { net, site });
        }
    }
    blocks
}

#[rstest]
fn longest_matching_ipv4_prefix_decides(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let blocks = random_blocks(&mut rng, 400);
    let table = BlockTable::new(&blocks);
    for _ in 0..4000 {
        let near = 0x0a00_0000 | (rng.random::<u32>() & 0x0007_ffff);
        for address in [near, rng.random()] {
            let address = IpAddr::V4(Ipv4Addr::from(address));
            assert_eq!(
                table.site(address),
                naive_site(&blocks, address),
                "{address}"
            );
        }
    }
}

#[rstest]
fn longest_matching_ipv6_prefix_decides(#[values(1, 2)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let base = 0x2001_0db8_u128 << 96;
    let mut seen = BTreeSet::new();
    let mut blocks = Vec::new();
    while blocks.len() < 200 {
        let address = base | u128::from(rng.random::<u16>()) << 80;
        let net = Ipv6Net::new(Ipv6Addr::from(address), rng.random_range(30..=48)).unwrap();
        let net = IpNet::V6(net.trunc());
        if seen.insert(net) {
            let site = rng.random_range(0..50);
            blocks.push(SiteBlock { net, site });
        }
    }
    let table = BlockTable::new(&blocks);
    for _ in 0..4000 {
        let address = base | u128::from(rng.random::<u32>()) << 64;
        let address = IpAddr::V6(Ipv6Addr::from(address));
        assert_eq!(
            table.site(address),
            naive_site(&blocks, address),
            "{address}"
        );
    }
}

#[test]
fn update_by_a_ticket_equals_a_rebuild() {
    let mut state = state_with_hosts();
    let closed = BTreeSet::new();
    let mut table = LookupTable::new(&state, &closed);
    let mut rng = SmallRng::seed_from_u64(7);
    let zones = ["karachi-a", "karachi-b", "lahore-a", "lahore-b"];
    for number in 2..60 {
        let mut text = String::new();
        for block in random_blocks(&mut rng, 5) {
            let zone = zones[usize::from(block.site) % 4];
            match rng.random_bool(0.3) {
                true => text = format!("remove = [\"block/{}\"]\n", block.net),
                false => text += &format!("[block.\"{}\"]\nzone = \"{zone}\"\n", block.net),
            }
        }
        let change = ticket(number, &text);
        state.apply(&change);
        table = table.with_ticket(&state, &change, &closed);
        let rebuilt = LookupTable::new(&state, &closed);
        for _ in 0..500 {
            let address = 0x0a00_0000 | (rng.random::<u32>() & 0x0007_ffff);
            let address = IpAddr::V4(Ipv4Addr::from(address));
            assert_eq!(
                table.zone_of(address),
                rebuilt.zone_of(address),
                "{address}"
            );
        }
    }
}

#[test]
fn answers_contain_no_closed_hosts() {
    let state = state_with_hosts();
    let closed = BTreeSet::from(["entry-0".to_string(), "entry-5".to_string()]);
    let table = LookupTable::new(&state, &BTreeSet::new()).with_hosts(&state, &closed);
    for caller in 0..100 {
        for zone in ["karachi-a", "karachi-b", "nowhere"] {
            let answer = table.by_zone(zone, caller);
            assert_eq!(answer.len(), 5);
            assert!(answer.iter().all(|host| !closed.contains(&host.name)));
        }
    }
}

/// The look-up answer states this revision; that of a newer state could come with the former hosts.
#[test]
fn a_table_has_the_revision_of_the_state_that_its_hosts_are_from() {
    let mut state = state_with_hosts();
    state.revision = 4;
    let table = LookupTable::new(&state, &BTreeSet::new());
    assert_eq!(table.revision(), 4);
    state.revision = 5;
    assert_eq!(table.with_hosts(&state, &BTreeSet::new()).revision(), 5);
    assert_eq!(table.revision(), 4);
}

#[test]
fn hosts_of_the_callers_zone_come_first_and_the_last_host_is_of_another_region() {
    let table = LookupTable::new(&state_with_hosts(), &BTreeSet::new());
    for caller in 0..100 {
        let answer = table.by_zone("lahore-b", caller);
        assert!(answer[..3].iter().all(|host| host.zone == "lahore-b"));
        assert_eq!(answer[3].zone, "lahore-a");
        assert!(answer[4].zone.starts_with("karachi"), "{}", answer[4].zone);
    }
}

#[test]
fn callers_spread_over_the_hosts_of_their_zone() {
    let table = LookupTable::new(&state_with_hosts(), &BTreeSet::new());
    let mut first: Vec<String> = (0..3000_u32)
        .map(|caller| steer::lookup::caller_hash(IpAddr::V4(Ipv4Addr::from(caller))))
        .map(|hash| table.by_zone("karachi-a", hash)[0].name.clone())
        .collect();
    first.sort();
    let groups: Vec<usize> = first.chunk_by(|a, b| a == b).map(<[String]>::len).collect();
    assert_eq!(groups.len(), 3);
    assert!(
        groups.iter().all(|count| (900..1100).contains(count)),
        "{groups:?}"
    );
}
