//! Reports formatted as tables.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use cli::args::ReportFormat;
use cli::render::render;
use cli::report::{
    CommandReport, HostRow, ObjectRow, ReplicaRow, StatusReport, SubmitReport, TicketRow,
    WaitReport,
};
use expect_test::{expect, Expect};
use ledger::verdict::TicketVerdict;
use model::fault::InputFault;
use model::spec::ObjectKind;
use serde_json::json;

fn assert_table(report: &CommandReport, expected: &Expect) {
    expected.assert_eq(&render(report, ReportFormat::Table));
}

fn accepted() -> TicketVerdict {
    TicketVerdict::Accepted {
        revision: 12,
        digest: "ab".repeat(32),
    }
}

#[test]
fn status_is_a_table_of_replicas_and_one_of_hosts() {
    let replica = |address: &str, role: &str, revision, lag| ReplicaRow {
        address: address.into(),
        role: role.into(),
        term: Some(3),
        revision,
        lag,
    };
    let report = CommandReport::Status(StatusReport {
        revision: Some(12),
        replicas: vec![
            replica("127.0.0.1:7101", "leader", Some(12), Some(0)),
            replica("127.0.0.1:7102", "no answer", None, None),
        ],
        hosts: vec![HostRow {
            name: "e1".into(),
            zone: "altiplano-a".into(),
            address: "127.0.0.1:8001".into(),
            condition: "serving".into(),
            revision: Some(11),
            lag: Some(1),
        }],
    });
    assert_table(
        &report,
        &expect![[r#"
        revision 12 is in force

        REPLICA         ROLE       TERM  REVISION  LAG
        127.0.0.1:7101  leader     3     12        0
        127.0.0.1:7102  no answer  3     -         -

        HOST  ZONE         ADDRESS         CONDITION  REVISION  LAG
        e1    altiplano-a  127.0.0.1:8001  serving    11        1
    "#]],
    );
}

#[test]
fn objects_are_listed_with_their_tickets() {
    let report = CommandReport::Objects {
        revision: 12,
        digest: "00000000000000ff".into(),
        objects: vec![ObjectRow {
            kind: ObjectKind::Region,
            name: "altiplano".into(),
            ticket: 4,
            state: json!({"zones": ["altiplano-a"], "cap": 100.0}),
        }],
    };
    assert_table(
        &report,
        &expect![[r#"
        revision 12, digest 00000000000000ff
        OBJECT            TICKET  STATE
        region/altiplano  4       {"cap":100.0,"zones":["altiplano-a"]}
    "#]],
    );
}

#[test]
fn tickets_are_listed_with_their_verdicts() {
    let row = |number, verdict| TicketRow {
        number,
        digest: "cd".repeat(32),
        verdict,
    };
    let refused = TicketVerdict::Invalid {
        faults: vec![InputFault::new(
            "host.e1.zone",
            "nowhere",
            "a zone in force",
        )],
    };
    let superseded = TicketVerdict::Superseded {
        object: "region/altiplano".into(),
        by: 9,
    };
    let report = CommandReport::Tickets {
        tickets: vec![row(9, accepted()), row(8, refused), row(7, superseded)],
    };
    assert_table(
        &report,
        &expect![[r#"
        TICKET  DIGEST        VERDICT
        9       cdcdcdcdcdcd  accepted as revision 12
        8       cdcdcdcdcdcd  refused: it doesn't fit what is in force; host.e1.zone: "nowhere" is not allowed: a zone in force
        7       cdcdcdcdcdcd  refused: region/altiplano comes from the higher ticket 9
    "#]],
    );
}

#[test]
fn a_wait_that_times_out_lists_the_hosts_that_lag_behind() {
    let report = CommandReport::Submit(SubmitReport {
        number: 9,
        verdict: accepted(),
        replica: "127.0.0.1:7101".parse().unwrap(),
        sends: 2,
        wait: Some(WaitReport {
            done: false,
            ms: 5000,
            behind: vec!["e2".into(), "e3".into()],
        }),
    });
    assert_table(
        &report,
        &expect![[r#"
        ticket 9: accepted as revision 12
        not known to be in force after 5000 ms on: e2, e3
    "#]],
    );
    assert_eq!(report.exit_status() as u8, 3);
}
