//! The verdict on a number never changes, and a refused ticket is not applied.
#![allow(missing_docs, clippy::unwrap_used)]

use ledger::tickets::TicketLedger;
use ledger::verdict::TicketVerdict;
use model::raw::RawTicket;
use model::ticket::ChangeTicket;
use rstest::rstest;

fn ticket(number: u64, region: &str, cap: f64) -> ChangeTicket {
    let text =
        format!("number = {number}\n[region.{region}]\nzones = [\"{region}-a\"]\ncap = {cap:?}\n");
    ChangeTicket::try_from(RawTicket::from_toml(&text).unwrap()).unwrap()
}

fn verdict_name(verdict: &TicketVerdict) -> &'static str {
    match verdict {
        TicketVerdict::Accepted { .. } => "accepted",
        TicketVerdict::Conflict { .. } => "conflict",
        TicketVerdict::Superseded { .. } => "superseded",
        TicketVerdict::Invalid { .. } => "invalid",
        TicketVerdict::TooOld { .. } => "too old",
    }
}

/// Submits tickets `(number, region, cap)` to a ledger with a window of 3.
#[rstest]
#[case::resent(&[(1, "north", 1.0), (1, "north", 1.0)], "accepted", 1)]
#[case::other_content(&[(1, "north", 1.0), (1, "north", 2.0)], "conflict", 1)]
#[case::lower_number_same_object(&[(2, "north", 1.0), (1, "north", 2.0)], "superseded", 1)]
#[case::lower_number_other_object(&[(2, "north", 1.0), (1, "south", 2.0)], "accepted", 2)]
#[case::superseded_verdict_is_permanent(&[(2, "north", 1.0), (1, "north", 2.0), (1, "north", 2.0)], "superseded", 1)]
#[case::number_of_a_refused_ticket_with_other_content(&[(2, "north", 1.0), (1, "north", 2.0), (1, "south", 2.0)], "conflict", 1)]
#[case::below_a_full_window(&[(4, "a", 1.0), (5, "b", 1.0), (6, "c", 1.0), (2, "d", 1.0)], "too old", 3)]
#[case::dropped_from_the_window(&[(1, "a", 1.0), (2, "b", 1.0), (3, "c", 1.0), (4, "d", 1.0), (1, "a", 1.0)], "too old", 4)]
#[case::inside_a_full_window(&[(1, "a", 1.0), (3, "b", 1.0), (6, "c", 1.0), (2, "d", 1.0)], "accepted", 4)]
fn the_last_ticket_gets_the_expected_verdict(
    #[case] tickets: &[(u64, &str, f64)],
    #[case] expected: &str,
    #[case] revision: u64,
) {
    let mut ledger = TicketLedger::new(3);
    let mut last = None;
    for (number, region, cap) in tickets {
        let ticket = ticket(*number, region, *cap);
        let verdict = ledger.submit(&ticket);
        if verdict.is_accepted() {
            assert_eq!(
                ledger.submit(&ticket),
                verdict,
                "the ticket got a different verdict when submitted again"
            );
        }
        last = Some(verdict);
    }
    assert_eq!(verdict_name(&last.unwrap()), expected);
    assert_eq!(ledger.state().revision, revision);
}

#[test]
fn a_ledger_survives_a_json_round_trip_bit_for_bit() {
    let mut ledger = TicketLedger::new(100);
    for number in 1..50 {
        ledger.submit(&ticket(
            number,
            &format!("r{number}"),
            0.1 + number as f64 / 3e7,
        ));
    }
    let json = serde_json::to_vec(&ledger).unwrap();
    let parsed: TicketLedger = serde_json::from_slice(&json).unwrap();
    assert_eq!(parsed, ledger);
    assert_eq!(serde_json::to_vec(&parsed).unwrap(), json);
}

#[test]
fn a_verdict_lists_at_most_the_maximum_number_of_faults() {
    let mut text = "number = 1\n".to_string();
    for block in 0..200 {
        text.push_str(&format!(
            "[block.\"10.0.{block}.0/24\"]\nzone = \"nowhere\"\n"
        ));
    }
    let ticket = ChangeTicket::try_from(RawTicket::from_toml(&text).unwrap()).unwrap();
    match TicketLedger::new(3).submit(&ticket) {
        TicketVerdict::Invalid { faults } => {
            assert_eq!(faults.len(), TicketLedger::MAX_FAULTS_PER_VERDICT)
        }
        other => panic!("{other}"),
    }
}
