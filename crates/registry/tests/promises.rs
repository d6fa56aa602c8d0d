//! What the registry promises of backend servers.

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use model::backend::BackendAnnouncement;
use model::raw::RawTicket;
use model::state::ForceState;
use model::ticket::ChangeTicket;
use registry::{
    pick_backend, AnnounceAnswer, BackendKey, BackendOutcome, BackendRegistry, HealthReport,
    LoadReport, RegistryError, SharedAnnouncement,
};
use rstest::rstest;

const SERVICE: &str = "slot-listing";
const ZONE: &str = "lahore-a";
const TTL: Duration = Duration::from_secs(3);
const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn server(number: u16, incarnation: u64) -> BackendAnnouncement {
    BackendAnnouncement {
        service: SERVICE.into(),
        address: SocketAddr::from(([10, 0, 0, 1], 8000 + number)),
        zone: ZONE.into(),
        slots: 20,
        incarnation,
        ttl: TTL,
    }
}

fn state(leaving: &str) -> ForceState {
    let text = format!(
        "number = 1\n[region.lahore]\nzones = [\"lahore-a\"]\ncap = 100.0\n\
         [service.slot-listing]\nclass = \"read\"\nshift = 10.0\nleaving = [{leaving}]\n\
         places.lahore-a.cap = 100.0\n"
    );
    let ticket = ChangeTicket::try_from(RawTicket::from_toml(&text).unwrap()).unwrap();
    let mut state = ForceState::default();
    state.apply(&ticket);
    state
}

fn registry_of(now: Instant, servers: u16) -> BackendRegistry {
    let registry = BackendRegistry::new();
    for number in 0..servers {
        registry.announce(now, server(number, 1)).unwrap();
    }
    registry
}

fn key_of(registry: &BackendRegistry, number: u16) -> BackendKey {
    let address = server(number, 1).address;
    let snapshot = registry.snapshot();
    let mut entries = snapshot.entries();
    entries
        .find(|entry| entry.announcement.address == address)
        .unwrap()
        .key
}

fn count(registry: &BackendRegistry) -> usize {
    registry.candidates(SERVICE, ZONE).len()
}

#[rstest]
#[case::leaving("\"10.0.0.1:8000\"", AnnounceAnswer::Leaving, 0)]
#[case::without_the_ticket("", AnnounceAnswer::Taken { renew_within: SECOND }, 1)]
fn a_leaving_server_stays_out_however_often_it_announces_itself(
    #[case] leaving: &str,
    #[case] answer: AnnounceAnswer,
    #[case] candidates: usize,
) {
    let now = Instant::now();
    let registry = registry_of(now, 1);
    registry.set_state(now, &state(leaving));
    for incarnation in 1..20 {
        let answered = registry.announce(now, server(0, incarnation));
        assert_eq!(answered, Ok(answer));
        registry.merge(now, registry.export(now));
        assert_eq!(count(&registry), candidates);
    }
}

#[test]
fn an_older_start_of_a_server_is_refused_also_after_it_lapsed() {
    let now = Instant::now();
    let registry = BackendRegistry::new();
    registry.announce(now, server(0, 5)).unwrap();
    let refused = Err(RegistryError::OldIncarnation(5));
    assert_eq!(registry.announce(now, server(0, 4)), refused);
    let later = now + TTL;
    registry.tick(later);
    assert_eq!(count(&registry), 0);
    assert_eq!(registry.announce(later, server(0, 4)), refused);
    registry.announce(later, server(0, 5)).unwrap();
    assert_eq!(count(&registry), 1);
}

/// Counts seconds until three hosts that pass on what they heard forget a dead server.
fn seconds_until_forgotten(pass_on: impl Fn(&mut SharedAnnouncement)) -> u32 {
    let start = Instant::now();
    let hosts: Vec<BackendRegistry> = (0..3).map(|_| BackendRegistry::new()).collect();
    hosts[0].announce(start, server(0, 1)).unwrap();
    for second in 0..30 {
        let now = start + SECOND * second;
        for from in &hosts {
            let mut heard = from.export(now);
            heard.iter_mut().for_each(&pass_on);
            hosts.iter().for_each(|to| to.merge(now, heard.clone()));
        }
        hosts.iter().for_each(|host| host.tick(now));
        if hosts.iter().all(|host| count(host) == 0) {
            return second;
        }
    }
    30
}

#[test]
fn stale_copies_never_prolong_the_life_of_a_dead_server() {
    assert_eq!(seconds_until_forgotten(|_| ()), 3);
    let without_renewals = seconds_until_forgotten(|shared| {
        shared.renewal += 1;
        shared.left = TTL;
    });
    assert_eq!(without_renewals, 30);
}

#[test]
fn a_server_lives_while_it_announces_itself_to_any_host() {
    let start = Instant::now();
    let hosts = [BackendRegistry::new(), BackendRegistry::new()];
    for second in 0..30 {
        let now = start + SECOND * second;
        hosts[(second % 2) as usize]
            .announce(now, server(0, 1))
            .unwrap();
        hosts[0].merge(now, hosts[1].export(now));
        hosts[1].merge(now, hosts[0].export(now));
        hosts.iter().for_each(|host| host.tick(now));
        assert_eq!(hosts.each_ref().map(count), [1, 1]);
    }
}

#[test]
fn the_table_of_servers_is_bounded() {
    let now = Instant::now();
    let registry = BackendRegistry::new();
    let many = (0..30_000_u32).map(|number| {
        let mut announcement = server(0, 1);
        let [_, high, middle, low] = number.to_be_bytes();
        announcement.address = SocketAddr::from(([10, high, middle, low], 80));
        SharedAnnouncement {
            announcement,
            left: TTL,
            renewal: 1,
        }
    });
    registry.merge(now, many.collect());
    assert_eq!(count(&registry), 20_000);
    let refused = registry.announce(now, server(0, 1));
    assert_eq!(refused, Err(RegistryError::TableFull));
}

#[rstest]
#[case(BackendOutcome::TimedOut)]
#[case(BackendOutcome::ConnectFailed)]
#[case(BackendOutcome::Broken)]
fn at_most_half_of_a_place_is_ejected(#[case] outcome: BackendOutcome) {
    let now = Instant::now();
    let registry = registry_of(now, 5);
    for _ in 0..20 {
        for number in 0..5 {
            registry.record_outcome(now, key_of(&registry, number), outcome);
        }
    }
    assert_eq!(count(&registry), 3);
}

#[test]
fn an_ejected_server_comes_back_by_a_probe_and_fails_it_for_longer() {
    let mut now = Instant::now();
    let registry = registry_of(now, 2);
    let key = key_of(&registry, 0);
    let fail = |now, times| {
        (0..times).for_each(|_| registry.record_outcome(now, key, BackendOutcome::TimedOut));
    };
    fail(now, 4);
    assert_eq!(count(&registry), 2);
    fail(now, 1);
    assert_eq!(count(&registry), 1);
    for (out, length) in [(0, 2), (1, 4)] {
        assert_eq!(count(&registry), 1, "after {out} probes");
        now += SECOND * length;
        (0..2).for_each(|number| drop(registry.announce(now, server(number, 1))));
        registry.tick(now);
        assert_eq!(count(&registry), 2);
        let snapshot = registry.snapshot();
        let entry = snapshot.entry(key).unwrap();
        let probe = entry.try_acquire().unwrap();
        assert!(entry.try_acquire().is_none(), "one probe at a time");
        drop(probe);
        fail(now, 1);
    }
    now += SECOND * 8;
    (0..2).for_each(|number| drop(registry.announce(now, server(number, 1))));
    registry.tick(now);
    registry.record_outcome(now, key, BackendOutcome::Answered { latency: MS });
    fail(now, 4);
    assert_eq!(count(&registry), 2);
}

/// What server 0 of four says of itself, while it answers within some time.
#[derive(Debug, Clone, Copy)]
enum Lie {
    AlwaysSick,
    AlwaysIdle,
    AlwaysBusy,
    FrozenSick,
}

/// Returns the part of 4,000 requests that server 0 got, of which a fair part is 0.25.
fn part_of_liar(lie: Lie, latency: Duration) -> f64 {
    let start = Instant::now();
    let registry = registry_of(start, 4);
    let mut sent: BTreeMap<BackendKey, u32> = BTreeMap::new();
    let mut running = Vec::new();
    let liar = key_of(&registry, 0);
    for step in 0..4000_u32 {
        let now = start + MS * step * 2;
        let at = match lie {
            Lie::FrozenSick => start,
            _ => now,
        };
        let healthy = !matches!(lie, Lie::AlwaysSick | Lie::FrozenSick);
        registry.report_health(now, liar, HealthReport { at, healthy });
        let utilisation = match lie {
            Lie::AlwaysBusy => 1.0,
            _ => 0.0,
        };
        registry.report_load(now, liar, LoadReport { at, utilisation });
        for number in 1..4 {
            let honest = LoadReport {
                at: now,
                utilisation: 0.3,
            };
            registry.report_load(now, key_of(&registry, number), honest);
        }
        running.retain(|(end, key, time, _)| {
            if *end <= now {
                let outcome = BackendOutcome::Answered { latency: *time };
                registry.record_outcome(now, *key, outcome);
            }
            *end > now
        });
        let candidates = registry.candidates(SERVICE, ZONE);
        if let Some((entry, permit)) = pick_backend(now, &candidates, u64::from(step), &[]) {
            *sent.entry(entry.key).or_default() += 1;
            let time = if entry.key == liar { latency } else { MS * 10 };
            running.push((now + time, entry.key, time, permit));
        }
    }
    let total: u32 = sent.values().sum();
    f64::from(sent.get(&liar).copied().unwrap_or_default()) / f64::from(total)
}

#[rstest]
#[case::sick_but_answers_well(Lie::AlwaysSick, 10, 0.05, 0.25)]
#[case::idle_but_slow(Lie::AlwaysIdle, 100, 0.0, 0.15)]
#[case::idle_and_as_fast_as_others(Lie::AlwaysIdle, 10, 0.2, 0.40)]
#[case::busy_but_answers_well(Lie::AlwaysBusy, 10, 0.10, 0.25)]
#[case::frozen_sick(Lie::FrozenSick, 10, 0.10, 0.30)]
fn lying_reports_neither_flood_nor_starve_a_server(
    #[case] lie: Lie,
    #[case] latency_ms: u32,
    #[case] least: f64,
    #[case] most: f64,
) {
    let part = part_of_liar(lie, MS * latency_ms);
    assert!((least..=most).contains(&part), "{part}");
}

#[test]
fn a_server_that_shed_rests_for_as_long_as_it_asked() {
    let now = Instant::now();
    let registry = registry_of(now, 1);
    let retry_after = Some(SECOND * 2);
    registry.record_outcome(
        now,
        key_of(&registry, 0),
        BackendOutcome::Shed { retry_after },
    );
    let candidates = registry.candidates(SERVICE, ZONE);
    let picked = |now| pick_backend(now, &candidates, 1, &[]).is_some();
    assert!(!picked(now + SECOND));
    assert!(picked(now + SECOND * 2));
}

#[test]
fn a_new_start_of_a_server_is_cold() {
    let now = Instant::now();
    let registry = registry_of(now, 1);
    let limit = |registry: &BackendRegistry| {
        let candidates = registry.candidates(SERVICE, ZONE);
        candidates[0].gauge.limit().limit()
    };
    for _ in 0..200 {
        let candidates = registry.candidates(SERVICE, ZONE);
        let permits: Vec<_> = std::iter::from_fn(|| candidates[0].try_acquire()).collect();
        let outcome = BackendOutcome::Answered { latency: MS };
        registry.record_outcome(now, candidates[0].key, outcome);
        drop(permits);
    }
    assert!(limit(&registry) > 10.0);
    registry.announce(now, server(0, 2)).unwrap();
    assert_eq!(limit(&registry), 1.0);
}
