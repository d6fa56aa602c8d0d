//! Tests of shares, link budgets, route decisions and the spill controller.

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use guard::RequestClass;
use model::outcome::RefusalReason;
use model::raw::RawTicket;
use model::state::ForceState;
use model::ticket::ChangeTicket;
use rstest::rstest;
use steer::link::{LinkDebit, LinkLimiter};
use steer::share::{CapChange, DelayedRate, HostPosition, PlaceShare, RAISE_DELAY};
use steer::spill::SpillController;
use steer::{PlacePermit, RouteDecision, RouteQuery, RouteTable, ShareLease, TableBuilder};

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn apply(state: &mut ForceState, text: &str) {
    let raw = RawTicket::from_toml(text).unwrap();
    state.apply(&ChangeTicket::try_from(raw).unwrap());
}

/// Returns a state of two regions with two zones each, four entry hosts and one service with a cap
/// of 400 requests a second in each zone.
fn two_regions() -> ForceState {
    let mut text = "number = 1\n[link.\"karachi/lahore\"]\nmbits = 100.0\n".to_string();
    for region in ["karachi", "lahore"] {
        text +=
            &format!("[region.{region}]\ncap = 800.0\nzones = [\"{region}-a\", \"{region}-b\"]\n");
    }
    for (index, zone) in ["karachi-a", "karachi-b", "lahore-a", "lahore-b"]
        .iter()
        .enumerate()
    {
        text += &format!("[host.entry-{index}]\nzone = \"{zone}\"\n");
        text += &format!("callers = \"10.0.0.1:8{index}\"\npeers = \"10.0.0.1:9{index}\"\n");
    }
    text += "[service.booking]\nclass = \"write\"\nshift = 100000.0\n";
    for zone in ["karachi-a", "karachi-b", "lahore-a", "lahore-b"] {
        text += &format!("places.{zone}.cap = 400.0\n");
    }
    let mut state = ForceState::default();
    apply(&mut state, &text);
    state
}

fn table(state: &ForceState, now: Instant) -> RouteTable {
    TableBuilder::new(state, "entry-0", "karachi-a").build(now)
}

fn query(class: RequestClass, bytes_hint: u64) -> RouteQuery<'static> {
    RouteQuery {
        service: "booking",
        class,
        bytes_hint,
    }
}

fn try_route(table: &RouteTable, now: Instant) -> Option<PlacePermit> {
    match table.route(now, &query(RequestClass::Write, 0)) {
        RouteDecision::Admit { permit, .. } => Some(permit),
        RouteDecision::Refuse(_) => None,
    }
}

#[rstest]
fn fixed_shares_add_up_to_at_most_half_of_a_cap(
    #[values(1, 2, 3, 7, 9, 10, 26, 5000)] hosts: u32,
    #[values(1.0, 95.0, 200.0, 610.0, 123_456.7)] cap: f64,
    #[values(0, 5, u64::MAX)] salt: u64,
) {
    let shares = (0..hosts).map(|index| HostPosition { index, hosts }.fixed_share(cap, salt));
    let sum: f64 = shares.sum();
    assert!(sum <= cap / 2.0 + 1e-6, "{sum}");
    assert!(sum >= cap / 2.0 - 10.0, "{sum}");
}

#[test]
fn lower_rate_holds_immediately_and_higher_rate_after_a_delay() {
    let now = Instant::now();
    let rate = DelayedRate::new(now, 100.0).set(now, 40.0, RAISE_DELAY);
    assert_eq!(rate.get(now), 40.0);
    let raised = rate.set(now, 90.0, RAISE_DELAY);
    assert_eq!(raised.get(now + RAISE_DELAY - MS), 40.0);
    assert_eq!(raised.get(now + RAISE_DELAY), 90.0);
    let again = raised.set(now + SECOND, 80.0, RAISE_DELAY);
    assert_eq!(again.get(now + RAISE_DELAY), 80.0, "keeps its time");
    let higher = raised.set(now + SECOND, 95.0, RAISE_DELAY);
    assert_eq!(higher.get(now + RAISE_DELAY), 40.0, "restarts the delay");
}

fn share(now: Instant, cap: f64, revision: u64) -> PlaceShare {
    PlaceShare::new(now).with_cap(now, change(cap, revision))
}

fn change(cap: f64, revision: u64) -> CapChange {
    CapChange {
        revision,
        cap,
        fixed: cap / 20.0,
        raise_delay: Duration::ZERO,
    }
}

#[rstest]
#[case::within_the_raise_delay(99, 10.0)]
#[case::after_the_raise_delay(100, 60.0)]
#[case::just_before_expiry(2999, 60.0)]
#[case::expired(3000, 10.0)]
fn lease_counts_from_its_raise_delay_until_it_expires(#[case] after_ms: u32, #[case] rate: f64) {
    let now = Instant::now();
    let share = share(now, 200.0, 1).with_lease(now, 50.0, SECOND * 3, 1);
    assert_eq!(share.rate(now + MS * after_ms), rate);
}

#[rstest]
#[case::computed_before_the_cap_was_lowered(1, 5.0 + 25.0)]
#[case::computed_after_the_cap_was_lowered(2, 5.0 + 40.0)]
fn lower_cap_reduces_the_lease_and_ignores_older_leases(#[case] revision: u64, #[case] rate: f64) {
    let now = Instant::now();
    let share = share(now, 200.0, 1).with_lease(now, 50.0, SECOND * 9, 1);
    let later = now + SECOND;
    let lowered = share.with_cap(later, change(100.0, 2));
    assert_eq!(lowered.rate(later), 5.0 + 25.0);
    let renewed = lowered.with_lease(later, 40.0, SECOND * 9, revision);
    assert_eq!(renewed.rate(later + SECOND), rate);
}

#[test]
fn leased_rate_is_limited_to_half_of_the_cap() {
    let now = Instant::now();
    let share = share(now, 200.0, 1).with_lease(now, 1e9, SECOND, 1);
    assert_eq!(share.rate(now + MS * 500), 110.0);
}

#[test]
fn concurrent_threads_stay_within_the_share_of_every_place() {
    let state = two_regions();
    let start = Instant::now();
    let table = table(&state, start);
    let taken = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for thread in 0..4 {
            let (table, taken) = (&table, &taken);
            scope.spawn(move || {
                for step in 0..4000 {
                    let now = start + Duration::from_micros(step * 20 + thread);
                    let is_admitted = try_route(table, now).is_some();
                    taken.fetch_add(u64::from(is_admitted), Ordering::Relaxed);
                }
            });
        }
    });
    // Each of the four places admits 50 requests a second, which is 5 in the window. Requests to
    // the other region are also limited by the budget of the link.
    let taken = taken.into_inner();
    assert!((10..=20).contains(&taken), "{taken}");
}

#[test]
fn restarted_host_uses_leases_immediately_and_fixed_shares_after_a_delay() {
    let mut state = two_regions();
    apply(
        &mut state,
        "number = 2\n[link.\"karachi/lahore\"]\nmbits = 90.0\n",
    );
    let start = Instant::now();
    let table = table(&state, start);
    let lease = ShareLease {
        service: "booking",
        zone: "karachi-a",
        rate: 100.0,
        ttl: SECOND * 60,
        revision: 2,
    };
    table.apply_lease(start, &lease);
    let taken = |now| std::iter::from_fn(|| try_route(&table, now)).count();
    assert_eq!(taken(start + MS * 50), 0);
    assert_eq!(taken(start + MS * 300), 10, "one window of the lease");
    assert!(!table.is_ready(start + MS * 4999));
    assert!(table.is_ready(start + RAISE_DELAY));
    assert!(taken(start + RAISE_DELAY) > 1);
    let place = table.place("booking", "karachi-a").unwrap();
    assert_eq!(place.share().rate(start + RAISE_DELAY), 150.0);
}

#[rstest]
#[case::unknown_service("print-orders", RefusalReason::UnknownService)]
#[case::no_share("booking", RefusalReason::CapReached)]
fn request_without_a_usable_place_is_refused(#[case] service: &str, #[case] reason: RefusalReason) {
    let mut state = two_regions();
    state.hosts.remove("entry-0");
    let now = Instant::now();
    let query = RouteQuery {
        service,
        class: RequestClass::Write,
        bytes_hint: 0,
    };
    let RouteDecision::Refuse(refusal) = table(&state, now).route(now, &query) else {
        panic!("a host that is not in force has no share");
    };
    assert_eq!(refusal.reason, reason);
    assert!(refusal.retry_after > Duration::ZERO);
}

#[test]
fn own_zone_comes_first_then_the_same_region_then_other_regions() {
    let order = table(&two_regions(), Instant::now()).zone_order("booking");
    assert_eq!(order[..2], ["karachi-a", "karachi-b"]);
    assert_eq!(order.len(), 4);
}

#[test]
fn place_dropped_by_a_ticket_serves_until_its_traffic_has_moved() {
    let mut state = two_regions();
    let start = Instant::now();
    let first = table(&state, start);
    let places = "places.lahore-a.cap = 400.0\nplaces.lahore-b.cap = 400.0\n";
    let ticket = "number = 2\n[service.booking]\nclass = \"write\"\nshift = 1.0\n";
    apply(&mut state, &format!("{ticket}{places}"));
    let second = TableBuilder::new(&state, "entry-0", "karachi-a")
        .previous(&first)
        .build(start);
    assert_eq!(second.zone_order("booking")[2..], ["karachi-a"]);
    let zone = try_route(&second, start + MS).map(|permit| permit.zone().clone());
    assert!(zone.is_some());
    let late = start + Duration::from_secs(601);
    let place = second.place("booking", "karachi-a").unwrap();
    assert_eq!(place.share().rate(late), 0.0);
    let third = TableBuilder::new(&state, "entry-0", "karachi-a")
        .previous(&second)
        .build(late);
    assert_eq!(third.zone_order("booking").len(), 2);
}

#[test]
fn place_with_a_cap_of_zero_gets_no_requests() {
    let mut state = two_regions();
    let ticket = "number = 2\n[service.booking]\nclass = \"write\"\nshift = 100.0\n";
    let places = "places.karachi-a.cap = 0.0\nplaces.lahore-a.cap = 400.0\n";
    apply(&mut state, &format!("{ticket}{places}"));
    assert_eq!(
        table(&state, Instant::now()).zone_order("booking"),
        ["lahore-a"]
    );
}

/// Simulates 10 s of uploads of the given class and 100 reads a second over a link of 1 MB/s.
/// Returns the part of the reads that were admitted, and the largest number of bytes in a 100 ms
/// window relative to the link's capacity.
fn share_link(bulk_per_second: u32, class: RequestClass) -> (f64, f64) {
    let start = Instant::now();
    let link = LinkLimiter::new(start, "lahore");
    link.set_rate(start, 800_000.0, Duration::ZERO);
    let read = LinkDebit {
        up: 1000.0,
        down: 1000.0,
    };
    let (mut reads, mut sent) = (0, vec![0.0; 12_000]);
    for ms in 0..10_000 {
        let now = start + MS * ms as u32;
        if ms % 10 == 0 {
            if let Ok(debit) = link.try_take(now, RequestClass::Read, read) {
                reads += 1;
                sent[ms] += debit.up;
            }
        }
        if (ms as u32).is_multiple_of(1000 / bulk_per_second) {
            let upload = LinkDebit {
                up: 8000.0,
                down: 100.0,
            };
            if let Ok(debit) = link.try_take(now, class, upload) {
                sent[ms] += debit.up;
                let hold = link.charge_up(now, class, 4000.0);
                sent[(ms + hold.as_millis() as usize).min(11_999)] += 4000.0;
            }
        }
    }
    let windows = sent.windows(100).map(|window| window.iter().sum::<f64>());
    let max_bytes = windows.fold(0.0, f64::max);
    (f64::from(reads) / 1000.0, max_bytes / 100_000.0)
}

#[test]
fn bulk_leaves_link_capacity_to_reads_and_the_budget_holds() {
    let (reads, max_load) = share_link(1000, RequestClass::Bulk);
    assert!(reads > 0.99, "{reads}");
    assert!(max_load <= 1.0, "{max_load}");
    let (reads_beside_uploads_of_the_same_class, _) = share_link(1000, RequestClass::Read);
    assert!(reads_beside_uploads_of_the_same_class < 0.9);
}

/// Returns the amplitude of the spilled part in the last minute of five, if measurements of the
/// pressure arrive `lag_s` seconds late.
fn oscillation(lag_s: usize, spill: impl Fn(Instant, f64) -> f64) -> f64 {
    let start = Instant::now();
    let mut history = vec![1.2; lag_s * 10 + 1];
    let mut spilled_parts = Vec::new();
    for step in 0..3000_u32 {
        let now = start + MS * 100 * step;
        let spilled_part = spill(now, history[history.len() - 1 - lag_s * 10]);
        history.push(1.2 * (1.0 - spilled_part));
        spilled_parts.push(spilled_part);
    }
    let last = &spilled_parts[2400..];
    let max = last.iter().copied().fold(0.0, f64::max);
    max - last.iter().copied().fold(1.0, f64::min)
}

#[rstest]
fn spill_does_not_oscillate_on_lagging_measurements(#[values(1, 3, 5)] lag_s: usize) {
    let controller = SpillController::new(Instant::now());
    let controlled = oscillation(lag_s, |now, pressure| {
        controller.record_pressure(now, pressure);
        controller.spilled_part(now)
    });
    let on_off = oscillation(lag_s, |_, pressure| if pressure > 0.8 { 0.95 } else { 0.0 });
    assert!(controlled < 0.02, "{controlled}");
    assert!(on_off > 0.9, "{on_off}");
}

#[test]
fn lease_of_a_place_that_is_not_in_force_is_ignored() {
    let now = Instant::now();
    let table = table(&two_regions(), now);
    table.apply_lease(
        now,
        &ShareLease {
            service: "booking",
            zone: "nowhere",
            rate: 100.0,
            ttl: SECOND,
            revision: 1,
        },
    );
    assert!(table
        .places()
        .all(|place| place.leased(now + SECOND / 2) == 0.0));
}
