//! Tests of the bounds that limits, budgets, deadlines and load shedding enforce.

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use guard::{
    AdaptiveLimit, ClassShedder, LimitSample, RateBucket, RequestClass, RequestDeadline,
    RetryBudget, WaitLimit, WaitPermit, WindowLimit,
};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

#[rstest]
#[case::spaced(4.0, 1)]
#[case::one(10.0, 1)]
#[case::rounded_down(39.0, 3)]
#[case::many(2000.0, 200)]
fn no_window_exceeds_its_allowance(#[case] rate: f64, #[case] allowed: usize) {
    let limit = WindowLimit::default();
    let start = Instant::now();
    let mut taken = Vec::new();
    // Uneven arrivals: bursts of varying size at a gap of 7 ms, a prime number that doesn't divide
    // the window.
    for step in 0..2000_u32 {
        let now = start + MS * (step * 7 % 4001);
        for _ in 0..=(step % 23) * 4 {
            if step * 7 < 4001 && limit.try_take(now, rate).is_ok() {
                taken.push(now);
            }
        }
    }
    let taken_in_windows = taken.iter().map(|first| {
        let window = *first..*first + WindowLimit::WINDOW;
        taken.iter().filter(|at| window.contains(at)).count()
    });
    assert_eq!(taken_in_windows.max(), Some(allowed));
}

#[test]
fn concurrent_threads_stay_within_the_allowance() {
    let limit = WindowLimit::default();
    let taken = AtomicU64::new(0);
    let now = Instant::now();
    std::thread::scope(|scope| {
        for thread in 0..4 {
            let (limit, taken) = (&limit, &taken);
            scope.spawn(move || {
                for step in 0..5000 {
                    let time = now + Duration::from_micros(step * 10 + thread);
                    let is_taken = limit.try_take(time, 1000.0).is_ok();
                    taken.fetch_add(u64::from(is_taken), Ordering::Relaxed);
                }
            });
        }
    });
    assert_eq!(taken.into_inner(), 100);
}

#[test]
fn refunded_request_can_be_taken_again() {
    let limit = WindowLimit::default();
    let now = Instant::now();
    assert!(limit.try_take(now, 10.0).is_ok());
    let wait = limit.try_take(now, 10.0).unwrap_err();
    assert!(wait <= WindowLimit::WINDOW + MS * 4);
    limit.refund(now);
    assert!(limit.try_take(now, 10.0).is_ok());
    assert!(limit.try_take(now + wait, 10.0).is_ok());
}

#[rstest]
#[case::burst(10.0, 5.0, 0, 5)]
#[case::refilled(10.0, 5.0, 100, 1)]
#[case::nothing(0.0, 5.0, 100, 0)]
fn bucket_admits_its_burst_and_then_its_rate(
    #[case] rate: f64,
    #[case] burst: f64,
    #[case] later_ms: u32,
    #[case] admitted: usize,
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
    assert_eq!(take(now), admitted);
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
fn long_waits_shed_one_more_class_each_interval_and_short_waits_one_fewer() {
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
fn limit_of_a_new_server_grows_from_one_request_to_its_fair_share() {
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

/// Returns the limit after 5000 answers of a server with random latencies, which grow with the
/// square of the in-flight requests divided by `capacity`.
fn limit_after_answers(capacity: u32) -> f64 {
    let limit = AdaptiveLimit::new(20, 10);
    let start = Instant::now();
    let mut random = 1_u64;
    for step in 0..5000 {
        while limit.try_acquire() {}
        let overload = (limit.in_flight() / capacity).max(1);
        // Exponentially distributed latencies, up to about four times the mean.
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let uniform = ((random >> 33) as f64 / f64::from(1_u32 << 31)).max(0.02);
        let latency = MS.mul_f64(-10.0 * uniform.ln()) * overload * overload;
        limit.record(start + MS * step * 5, LimitSample::Answered(latency));
        (0..limit.in_flight()).for_each(|_| limit.release());
    }
    limit.limit()
}

#[rstest]
#[case::unlimited_capacity(1000, 15.0, 20.0)]
#[case::capacity_of_three(3, 2.0, 12.0)]
fn limit_reacts_to_overload_and_not_to_random_latency(
    #[case] capacity: u32,
    #[case] min: f64,
    #[case] max: f64,
) {
    let limit = limit_after_answers(capacity);
    assert!((min..=max).contains(&limit), "{limit}");
}

#[rstest]
#[case::shed(LimitSample::Shed)]
#[case::failed(LimitSample::Failed)]
fn shed_and_failed_attempts_reduce_the_limit_to_one(#[case] sample: LimitSample) {
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
fn retries_are_limited_to_a_tenth_of_the_requests_and_the_initial_budget() {
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
fn deadline_header_is_a_whole_number_of_milliseconds(
    #[case] header: Option<&str>,
    #[case] remaining_ms: Option<u128>,
) {
    let now = Instant::now();
    let deadline = RequestDeadline::from_header(now, header).ok();
    assert_eq!(
        deadline.map(|deadline| deadline.remaining(now).as_millis()),
        remaining_ms
    );
}

#[rstest]
#[case::bulk(RequestClass::Bulk, 64)]
#[case::reads(RequestClass::Read, 128)]
#[case::writes(RequestClass::Write, 256)]
fn number_of_waiting_requests_is_limited_by_class(
    #[case] class: RequestClass,
    #[case] max_waiting: usize,
) {
    let limit = Arc::new(WaitLimit::default());
    let now = Instant::now();
    let deadline = RequestDeadline::after(now, MS * 1000);
    let waits: Vec<WaitPermit> =
        std::iter::from_fn(|| limit.try_start(now, class, deadline)).collect();
    assert_eq!(waits.len(), max_waiting);
    drop(waits);
    assert_eq!(limit.waiting(), 0);
}

#[rstest]
#[case::capacity_in_time(1000, 0, 30, Some(30))]
#[case::no_busy_loop(1000, 0, 0, Some(1))]
#[case::capacity_too_late(1000, 0, 101, None)]
#[case::waiting_time_used_up(1000, 80, 30, None)]
#[case::short_deadline(100, 0, 30, None)]
#[case::deadline_passed(0, 0, 1, None)]
fn waiting_time_of_a_request_is_limited(
    #[case] deadline_ms: u32,
    #[case] waited_ms: u32,
    #[case] retry_after_ms: u32,
    #[case] delay_ms: Option<u32>,
) {
    let limit = Arc::new(WaitLimit::default());
    let now = Instant::now();
    let deadline = RequestDeadline::after(now, MS * deadline_ms);
    let wait = limit.try_start(now, RequestClass::Read, deadline).unwrap();
    let delay = wait.retry_delay(now + MS * waited_ms, MS * retry_after_ms);
    assert_eq!(delay, delay_ms.map(|ms| MS * ms));
}

#[test]
fn retry_after_times_spread_from_the_wait_to_twice_the_wait() {
    let wait = Duration::from_secs(5);
    let ids = (0..1000).map(|id| format!("request-{id}"));
    let mut seconds: Vec<u64> = ids
        .map(|id| guard::spread_retry_after(wait, &id).as_secs())
        .collect();
    seconds.sort_unstable();
    assert_eq!((seconds[0], seconds[999]), (5, 10));
    seconds.dedup();
    assert_eq!(seconds.len(), 6);
}
