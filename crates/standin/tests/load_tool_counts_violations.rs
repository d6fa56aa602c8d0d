//! The load tool counts each kind of violated guarantee, and repeats its schedule for a seed.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use rstest::rstest;
use standin::load::audit::ViolationAudit;
use standin::load::deployment::{Deployment, DeploymentName};
use standin::load::outcome::{LoadOutcome, RequestRecord};
use standin::load::policy::{ServerTarget, SteeringPolicy, TargetTable};
use standin::load::schedule;

fn not_run() -> LoadOutcome {
    LoadOutcome::NotRun("overloaded".into())
}

/// The expected counts are `doubled`, `lost`, `false_not_run`, `cut` and `crossed`.
#[rstest]
#[case::answered(LoadOutcome::Answered, true, 1, [0, 0, 0, 0, 0])]
#[case::doubled(LoadOutcome::Answered, true, 2, [1, 0, 0, 0, 0])]
#[case::doubled_though_unknown(LoadOutcome::Unknown("x".into()), true, 2, [1, 0, 0, 0, 0])]
#[case::upload_twice(LoadOutcome::Answered, false, 2, [0, 0, 0, 0, 0])]
#[case::lost(LoadOutcome::Answered, true, 0, [0, 1, 0, 0, 0])]
#[case::not_run(not_run(), true, 0, [0, 0, 0, 0, 0])]
#[case::false_not_run(not_run(), true, 1, [0, 0, 1, 0, 0])]
#[case::unknown_ran(LoadOutcome::Unknown("x".into()), true, 1, [0, 0, 0, 0, 0])]
#[case::cut(LoadOutcome::Cut, true, 1, [0, 0, 0, 1, 0])]
#[case::crossed(LoadOutcome::Crossed, true, 1, [0, 0, 0, 0, 1])]
#[case::broken(LoadOutcome::Broken, true, 1, [0, 0, 0, 0, 0])]
fn violation_is_counted(
    #[case] outcome: LoadOutcome,
    #[case] at_most_once: bool,
    #[case] runs: u64,
    #[case] expected: [usize; 5],
) {
    let record = RequestRecord {
        service: 0,
        key: "k".into(),
        at_most_once,
        latency: Duration::from_millis(1),
        outcome,
        resent: false,
    };
    let audit = ViolationAudit::new(&[record], &BTreeMap::from([("k".to_string(), runs)]));
    let counts = [
        audit.doubled,
        audit.lost,
        audit.false_not_run,
        audit.cut,
        audit.crossed,
    ];
    assert_eq!(counts, expected);
    assert_eq!(audit.is_clean(), expected == [0; 5]);
}

#[test]
fn same_seed_gives_the_same_schedule() {
    let deployment = Deployment::new(DeploymentName::Cumbre, 0.1);
    let plan = |seed| schedule::plan(&deployment, 0.5, Duration::from_secs(10), seed);
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7), plan(8));
    // The backend servers have a capacity of 900 + 450 + 180 requests per second.
    let expected = (900.0 + 450.0 + 180.0) * 0.5 * 10.0;
    let ratio = plan(7).len() as f64 / expected;
    assert!((0.95..1.05).contains(&ratio), "{ratio}");
}

#[rstest]
#[case::own_zone("r-a", &["r-a"])]
#[case::own_region("r-c", &["r-a", "r-b"])]
#[case::elsewhere("s-a", &["r-a", "r-b"])]
fn nearest_zone_policy_chooses_the_nearest_zones(#[case] zone: &str, #[case] expected: &[&str]) {
    let target = |zone: &str, port| ServerTarget {
        zone: zone.into(),
        address: ([127, 0, 0, 1], port).into(),
    };
    let table = TargetTable::new(vec![target("r-a", 1), target("r-b", 2)]);
    let chosen = (0..10).map(|_| table.choose(SteeringPolicy::NearestZone, zone).unwrap());
    let zones: std::collections::BTreeSet<_> = chosen.map(|t| t.zone.as_str()).collect();
    assert_eq!(zones.into_iter().collect::<Vec<_>>(), expected);
}
