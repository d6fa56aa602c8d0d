//! Registration, ejection and selection of backend servers.

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
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

fn state_with_leaving(leaving: &str) -> ForceState {
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

fn registry_with(now: Instant, servers: u16) -> BackendRegistry {
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

fn candidate_count(registry: &BackendRegistry) -> usize {
    registry.candidates(SERVICE, ZONE).len()
}

#[rstest]
#[case::leaving("\"10.0.0.1:8000\"", AnnounceAnswer::Leaving, 0)]
#[case::not_leaving("", AnnounceAnswer::Accepted { renew_within: SECOND }, 1)]
fn a_leaving_server_is_no_candidate_however_often_it_announces_itself(
    #[case] leaving: &str,
    #[case] answer: AnnounceAnswer,
    #[case] candidates: usize,
) {
    let now = Instant::now();
    let registry = registry_with(now, 1);
    registry.set_state(now, &state_with_leaving(leaving));
    for incarnation in 1..20 {
        let answered = registry.announce(now, server(0, incarnation));
        assert_eq!(answered, Ok(answer));
        registry.merge(now, registry.export(now));
        assert_eq!(candidate_count(&registry), candidates);
    }
}

#[test]
fn an_older_incarnation_is_rejected_even_after_the_server_expired() {
    let now = Instant::now();
    let registry = BackendRegistry::new();
    registry.announce(now, server(0, 5)).unwrap();
    let refused = Err(RegistryError::OldIncarnation(5));
    assert_eq!(registry.announce(now, server(0, 4)), refused);
    let later = now + TTL;
    registry.tick(later);
    assert_eq!(candidate_count(&registry), 0);
    assert_eq!(registry.announce(later, server(0, 4)), refused);
    registry.announce(later, server(0, 5)).unwrap();
    assert_eq!(candidate_count(&registry), 1);
}

/// Returns the seconds until three hosts that exchange announcements have removed a dead server.
///
/// `tamper` changes each announcement on its way. Returns 30 if the server is never removed.
fn seconds_until_removed(tamper: impl Fn(&mut SharedAnnouncement)) -> u32 {
    let start = Instant::now();
    let hosts: Vec<BackendRegistry> = (0..3).map(|_| BackendRegistry::new()).collect();
    hosts[0].announce(start, server(0, 1)).unwrap();
    for second in 0..30 {
        let now = start + SECOND * second;
        for from in &hosts {
            let mut exported = from.export(now);
            exported.iter_mut().for_each(&tamper);
            hosts.iter().for_each(|to| to.merge(now, exported.clone()));
        }
        hosts.iter().for_each(|host| host.tick(now));
        if hosts.iter().all(|host| candidate_count(host) == 0) {
            return second;
        }
    }
    30
}

#[test]
fn circulating_copies_do_not_keep_a_dead_server_registered() {
    assert_eq!(seconds_until_removed(|_| ()), 3);
    // Copies that pass as new renewals do keep it registered.
    let tampered = seconds_until_removed(|shared| {
        shared.renewal += 1;
        shared.remaining = TTL;
    });
    assert_eq!(tampered, 30);
}

#[test]
fn a_server_stays_registered_while_it_announces_itself_to_any_host() {
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
        assert_eq!(hosts.each_ref().map(candidate_count), [1, 1]);
    }
}

#[test]
fn the_number_of_servers_is_limited() {
    let now = Instant::now();
    let registry = BackendRegistry::new();
    let many = (0..30_000_u32).map(|number| {
        let mut announcement = server(0, 1);
        let [_, high, middle, low] = number.to_be_bytes();
        announcement.address = SocketAddr::from(([10, high, middle, low], 80));
        SharedAnnouncement {
            announcement,
            remaining: TTL,
            renewal: 1,
        }
    });
    registry.merge(now, many.collect());
    assert_eq!(candidate_count(&registry), 20_000);
    let refused = registry.announce(now, server(0, 1));
    assert_eq!(refused, Err(RegistryError::TableFull));
}

#[rstest]
#[case(BackendOutcome::TimedOut)]
#[case(BackendOutcome::ConnectFailed)]
#[case(BackendOutcome::Broken)]
fn at_most_half_of_the_servers_of_a_place_are_ejected(#[case] outcome: BackendOutcome) {
    let now = Instant::now();
    let registry = registry_with(now, 5);
    for _ in 0..20 {
        for number in 0..5 {
            registry.record_outcome(now, key_of(&registry, number), outcome);
        }
    }
    assert_eq!(candidate_count(&registry), 3);
}

#[test]
fn an_ejected_server_is_probed_and_each_failed_probe_doubles_the_ejection() {
    let mut now = Instant::now();
    let registry = registry_with(now, 2);
    let key = key_of(&registry, 0);
    let fail = |now, times| {
        (0..times).for_each(|_| registry.record_outcome(now, key, BackendOutcome::TimedOut));
    };
    fail(now, 4);
    assert_eq!(candidate_count(&registry), 2);
    fail(now, 1);
    assert_eq!(candidate_count(&registry), 1);
    for (probes, seconds) in [(0, 2), (1, 4)] {
        assert_eq!(candidate_count(&registry), 1, "after {probes} probes");
        now += SECOND * seconds;
        (0..2).for_each(|number| drop(registry.announce(now, server(number, 1))));
        registry.tick(now);
        assert_eq!(candidate_count(&registry), 2);
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
    assert_eq!(candidate_count(&registry), 2);
}

/// False reports that server 0 of four servers sends.
#[derive(Debug, Clone, Copy)]
enum FalseReports {
    AlwaysUnhealthy,
    AlwaysIdle,
    AlwaysBusy,
    /// The server reports that it is unhealthy, always with the time of the start.
    StaleUnhealthy,
}

/// Returns the share of 4,000 requests that server 0 receives; its fair share is 0.25.
///
/// Server 0 answers within `latency`, the others within 10 ms.
fn share_with_false_reports(reports: FalseReports, latency: Duration) -> f64 {
    let start = Instant::now();
    let registry = registry_with(start, 4);
    let mut sent: BTreeMap<BackendKey, u32> = BTreeMap::new();
    let mut running = Vec::new();
    let false_server = key_of(&registry, 0);
    for step in 0..4000_u32 {
        let now = start + MS * step * 2;
        let at = match reports {
            FalseReports::StaleUnhealthy => start,
            _ => now,
        };
        let healthy = !matches!(
            reports,
            FalseReports::AlwaysUnhealthy | FalseReports::StaleUnhealthy
        );
        registry.report_health(now, false_server, HealthReport { at, healthy });
        let utilisation = match reports {
            FalseReports::AlwaysBusy => 1.0,
            _ => 0.0,
        };
        registry.report_load(now, false_server, LoadReport { at, utilisation });
        for number in 1..4 {
            let report = LoadReport {
                at: now,
                utilisation: 0.3,
            };
            registry.report_load(now, key_of(&registry, number), report);
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
            let time = if entry.key == false_server {
                latency
            } else {
                MS * 10
            };
            running.push((now + time, entry.key, time, permit));
        }
    }
    let total: u32 = sent.values().sum();
    f64::from(sent.get(&false_server).copied().unwrap_or_default()) / f64::from(total)
}

#[rstest]
#[case::unhealthy_but_answers_well(FalseReports::AlwaysUnhealthy, 10, 0.05, 0.25)]
#[case::idle_but_slow(FalseReports::AlwaysIdle, 100, 0.0, 0.15)]
#[case::idle_and_as_fast_as_others(FalseReports::AlwaysIdle, 10, 0.2, 0.40)]
#[case::busy_but_answers_well(FalseReports::AlwaysBusy, 10, 0.10, 0.25)]
#[case::stale_unhealthy(FalseReports::StaleUnhealthy, 10, 0.10, 0.30)]
fn false_reports_neither_overload_nor_starve_a_server(
    #[case] reports: FalseReports,
    #[case] latency_ms: u32,
    #[case] min_share: f64,
    #[case] max_share: f64,
) {
    let share = share_with_false_reports(reports, MS * latency_ms);
    assert!((min_share..=max_share).contains(&share), "{share}");
}

/// Sends requests to three servers one after another, one each 10 ms, and returns those that each
/// server received in a period. Server 0 answers the first one within `first_latency`; all others are
/// answered within 5 ms.
fn requests_one_after_another(first_latency: Duration, period: Range<u32>) -> BTreeMap<u16, u32> {
    let start = Instant::now();
    let registry = registry_with(start, 3);
    let numbers: BTreeMap<_, _> = (0..3).map(|n| (key_of(&registry, n), n)).collect();
    let mut sent: BTreeMap<u16, u32> = (0..3).map(|number| (number, 0)).collect();
    let mut received_by_first = 0;
    for step in 0..period.end {
        let now = start + MS * 10 * step;
        let candidates = registry.candidates(SERVICE, ZONE);
        let (entry, permit) = pick_backend(now, &candidates, u64::from(step), &[]).unwrap();
        let number = numbers[&entry.key];
        received_by_first += u32::from(number == 0);
        let latency = match number {
            0 if received_by_first == 1 => first_latency,
            _ => MS * 5,
        };
        registry.record_outcome(now, entry.key, BackendOutcome::Answered { latency });
        drop(permit);
        if period.contains(&step) {
            *sent.get_mut(&number).unwrap() += 1;
        }
    }
    sent
}

/// With requests one after another, the limits of the servers that were picked first grow. The others
/// must get requests all the same, also one whose first answer was slow.
#[rstest]
#[case::equal_servers(MS * 5, 0..100)]
#[case::slow_first_answer(MS * 500, 0..3_000)]
fn every_idle_server_gets_requests(#[case] first_latency: Duration, #[case] period: Range<u32>) {
    let sent = requests_one_after_another(first_latency, period.clone());
    let fair_share = period.end / 3;
    assert!(
        sent.values().all(|count| *count >= fair_share / 4),
        "{sent:?}"
    );
}

#[test]
fn a_server_that_shed_gets_no_requests_until_its_retry_after_time() {
    let now = Instant::now();
    let registry = registry_with(now, 1);
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
fn a_new_incarnation_starts_with_the_lowest_limit() {
    let now = Instant::now();
    let registry = registry_with(now, 1);
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
