//! Limits, budgets and shedding keep their bounds.

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use guard::{
    AdaptiveLimit, ClassShedder, LimitSample, RateBucket, RequestClass, RequestDeadline,
    RetryBudget, RoomWait, WaitingRoom, WindowLimit,
};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

#[rstest]
#[case::spaced(4.0, 1)]
#[case::one(10.0, 1)]
#[case::rounded_down(39.0, 3)]
#[case::many(2000.0, 200)]
fn no_window_holds_more_than_its_allowance(#[case] rate: f64, #[case] allowed: usize) {
    let limit = WindowLimit::default();
    let start = Instant::now();
    let mut taken = Vec::new();
    // Uneven arrivals: bursts of a length that grows, at gaps of a prime number of milliseconds.
    for step in 0..2000_u32 {
        let now = start + MS * (step * 7 % 4001);
        for _ in 0..=(step % 23) * 4 {
            if step * 7 < 4001 && limit.try_take(now, rate).is_ok() {
                taken.push(now);
            }
        }
    }
    let most = taken.iter().map(|first| {
        let window = *first..*first + WindowLimit::WINDOW;
        taken.iter().filter(|at| window.contains(at)).count()
    });
    assert_eq!(most.max(), Some(allowed));
}

#[test]
fn threads_together_stay_within_the_allowance() {
    let limit = WindowLimit::default();
    let taken = AtomicU64::new(0);
    let now = Instant::now();
    std::thread::scope(|scope| {
        for thread in 0..4 {
            let (limit, taken) = (&limit, &taken);
            scope.spawn(move || {
                for step in 0..5000 {
                    let moment = now + Duration::from_micros(step * 10 + thread);
                    let is_taken = limit.try_take(moment, 1000.0).is_ok();
                    taken.fetch_add(u64::from(is_taken), Ordering::Relaxed);
                }
            });
        }
    });
    assert_eq!(taken.into_inner(), 100);
}

#[test]
fn what_is_given_back_can_be_taken_again() {
    let limit = WindowLimit::default();
    let now = Instant::now();
    assert!(limit.try_take(now, 10.0).is_ok());
    let wait = limit.try_take(now, 10.0).unwrap_err();
    assert!(wait <= WindowLimit::WINDOW + MS * 4);
    limit.give_back(now);
    assert!(limit.try_take(now, 10.0).is_ok());
    assert!(limit.try_take(now + wait, 10.0).is_ok());
}

#[rstest]
#[case::burst(10.0, 5.0, 0, 5)]
#[case::refilled(10.0, 5.0, 100, 1)]
#[case::nothing(0.0, 5.0, 100, 0)]
fn a_bucket_passes_its_burst_and_then_its_rate(
    #[case] rate: f64,
    #[case] burst: f64,
    #[case] later_ms: u32,
    #[case] passed: usize,
) {
    let bucket = RateBucket::default();
    let mut now = Instant::now();
    let take = |now| {
        let taken = (0..20).filter(|_| bucket.try_take(now, 1.0, rate, burst).is_ok());
        taken.count()
    };
    if later_ms > 0 {
        take(now);
        now += MS * later_ms;
    }
    assert_eq!(take(now), passed);
}

#[rstest]
#[case(0.5, [true, true, true])]
#[case(0.8, [false, true, true])]
#[case(0.95, [false, false, true])]
#[case(1.0, [false, false, false])]
fn bulk_is_shed_before_reads_and_writes_last(#[case] used: f64, #[case] admitted: [bool; 3]) {
    let shedder = ClassShedder::default();
    let classes = [RequestClass::Bulk, RequestClass::Read, RequestClass::Write];
    let seen = classes.map(|class| shedder.admit(class, used).is_ok());
    assert_eq!(seen, admitted);
}

#[test]
fn long_waits_shed_one_more_class_each_interval_and_short_ones_take_it_back() {
    let shedder = ClassShedder::default();
    let mut now = Instant::now();
    let mut levels = Vec::new();
    for wait in [50, 50, 50, 50, 1, 1, 1, 1] {
        for _ in 0..10 {
            shedder.record_wait(now, MS * wait);
            now += MS * 10;
        }
        levels.push(shedder.level());
    }
    assert_eq!(levels, [0, 1, 2, 2, 2, 1, 0, 0]);
}

#[test]
fn a_new_server_starts_with_one_request_and_grows_to_its_fair_share() {
    let limit = AdaptiveLimit::new(40, 4);
    let now = Instant::now();
    assert!(limit.try_acquire());
    assert!(!limit.try_acquire());
    limit.release();
    for _ in 0..200 {
        while limit.try_acquire() {}
        limit.release();
        limit.record(now, LimitSample::Answered(MS * 10));
        (0..limit.in_flight()).for_each(|_| limit.release());
    }
    assert!(limit.limit() >= 10.0, "{}", limit.limit());
    assert!(limit.limit() <= 40.0);
}

/// Returns the limit after answers of a server whose times vary by chance and grow by a factor
/// for each request in flight beyond some.
fn limit_after_answers(bears: u32) -> f64 {
    let limit = AdaptiveLimit::new(20, 10);
    let start = Instant::now();
    let mut chance = 1_u64;
    for step in 0..5000 {
        while limit.try_acquire() {}
        let over = (limit.in_flight() / bears).max(1);
        // Times from nothing to four times the mean, as an exponential distribution gives them.
        chance = chance
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let part = ((chance >> 33) as f64 / f64::from(1_u32 << 31)).max(0.02);
        let time = MS.mul_f64(-10.0 * part.ln()) * over * over;
        limit.record(start + MS * step * 5, LimitSample::Answered(time));
        (0..limit.in_flight()).for_each(|_| limit.release());
    }
    limit.limit()
}

#[rstest]
#[case::bears_all(1000, 15.0, 20.0)]
#[case::bears_three(3, 2.0, 12.0)]
fn a_limit_follows_slowness_and_not_chance(
    #[case] bears: u32,
    #[case] least: f64,
    #[case] most: f64,
) {
    let limit = limit_after_answers(bears);
    assert!((least..=most).contains(&limit), "{limit}");
}

#[rstest]
#[case::shed(LimitSample::Shed)]
#[case::failed(LimitSample::Failed)]
fn sheds_and_failures_cut_the_limit_down_to_one(#[case] sample: LimitSample) {
    let limit = AdaptiveLimit::new(10, 1);
    let mut now = Instant::now();
    for _ in 0..100 {
        while limit.try_acquire() {}
        limit.record(now, LimitSample::Answered(MS));
        (0..limit.in_flight()).for_each(|_| limit.release());
    }
    let before = limit.limit();
    for _ in 0..20 {
        now += MS * 200;
        limit.record(now, sample);
    }
    assert!(before > 5.0 && limit.limit() == 1.0);
}

#[test]
fn retries_stay_under_a_tenth_of_the_requests() {
    let budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        retries += u64::from(budget.try_withdraw()) + u64::from(budget.try_withdraw());
    }
    assert_eq!(retries, 1003);
}

#[rstest]
#[case(None, Some(10_000))]
#[case(Some("250"), Some(250))]
#[case(Some("0"), None)]
#[case(Some("600001"), None)]
#[case(Some("-5"), None)]
#[case(Some("soon"), None)]
#[case(Some("99999999999999999999"), None)]
fn a_deadline_is_a_whole_number_of_milliseconds(
    #[case] header: Option<&str>,
    #[case] left_ms: Option<u128>,
) {
    let now = Instant::now();
    let deadline = RequestDeadline::from_header(now, header).ok();
    assert_eq!(deadline.map(|one| one.left(now).as_millis()), left_ms);
}

#[rstest]
#[case::bulk(RequestClass::Bulk, 64)]
#[case::reads(RequestClass::Read, 128)]
#[case::writes(RequestClass::Write, 256)]
fn a_bounded_count_of_requests_waits(#[case] class: RequestClass, #[case] most: usize) {
    let room = Arc::new(WaitingRoom::default());
    let now = Instant::now();
    let deadline = RequestDeadline::after(now, MS * 1000);
    let waits: Vec<RoomWait> = std::iter::from_fn(|| room.enter(now, class, deadline)).collect();
    assert_eq!(waits.len(), most);
    drop(waits);
    assert_eq!(room.waiting(), 0);
}

#[rstest]
#[case::room_soon(1000, 0, 30, Some(30))]
#[case::no_busy_loop(1000, 0, 0, Some(1))]
#[case::room_too_late(1000, 0, 101, None)]
#[case::waited_enough(1000, 80, 30, None)]
#[case::short_deadline(100, 0, 30, None)]
#[case::deadline_passed(0, 0, 1, None)]
fn a_request_waits_briefly_and_is_then_given_up(
    #[case] deadline_ms: u32,
    #[case] waited_ms: u32,
    #[case] retry_after_ms: u32,
    #[case] pause_ms: Option<u32>,
) {
    let room = Arc::new(WaitingRoom::default());
    let now = Instant::now();
    let deadline = RequestDeadline::after(now, MS * deadline_ms);
    let wait = room.enter(now, RequestClass::Read, deadline).unwrap();
    let pause = wait.pause(now + MS * waited_ms, MS * retry_after_ms);
    assert_eq!(pause, pause_ms.map(|ms| MS * ms));
}

#[test]
fn refused_callers_come_back_spread_over_time() {
    let wait = Duration::from_secs(5);
    let ids = (0..1000).map(|id| format!("request-{id}"));
    let mut seconds: Vec<u64> = ids
        .map(|id| guard::come_back_after(wait, &id).as_secs())
        .collect();
    seconds.sort_unstable();
    assert_eq!((seconds[0], seconds[999]), (5, 10));
    seconds.dedup();
    assert_eq!(seconds.len(), 6);
}
