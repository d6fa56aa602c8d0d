//! One number has one verdict for good, and a refused ticket applies nothing.
#![allow(missing_docs, clippy::unwrap_used)]

use ledger::book::TicketBook;
use ledger::verdict::TicketVerdict;
use model::raw::RawTicket;
use model::ticket::ChangeTicket;
use rstest::rstest;

fn ticket(number: u64, region: &str, cap: f64) -> ChangeTicket {
    let text =
        format!("number = {number}\n[region.{region}]\nzones = [\"{region}-a\"]\ncap = {cap:?}\n");
    ChangeTicket::try_from(RawTicket::from_toml(&text).unwrap()).unwrap()
}

fn name(verdict: &TicketVerdict) -> &'static str {
    match verdict {
        TicketVerdict::Accepted { .. } => "accepted",
        TicketVerdict::Conflict { .. } => "conflict",
        TicketVerdict::Superseded { .. } => "superseded",
        TicketVerdict::Invalid { .. } => "invalid",
        TicketVerdict::TooOld { .. } => "too old",
    }
}

/// Submits tickets `(number, region, cap)` to a book with a window of 3.
#[rstest]
#[case::resent(&[(1, "north", 1.0), (1, "north", 1.0)], "accepted", 1)]
#[case::other_content(&[(1, "north", 1.0), (1, "north", 2.0)], "conflict", 1)]
#[case::lower_number_same_object(&[(2, "north", 1.0), (1, "north", 2.0)], "superseded", 1)]
#[case::lower_number_other_object(&[(2, "north", 1.0), (1, "south", 2.0)], "accepted", 2)]
#[case::superseded_stays(&[(2, "north", 1.0), (1, "north", 2.0), (1, "north", 2.0)], "superseded", 1)]
#[case::refused_number_is_held(&[(2, "north", 1.0), (1, "north", 2.0), (1, "south", 2.0)], "conflict", 1)]
#[case::below_a_full_window(&[(4, "a", 1.0), (5, "b", 1.0), (6, "c", 1.0), (2, "d", 1.0)], "too old", 3)]
#[case::window_moved(&[(1, "a", 1.0), (2, "b", 1.0), (3, "c", 1.0), (4, "d", 1.0), (1, "a", 1.0)], "too old", 4)]
#[case::inside_a_full_window(&[(1, "a", 1.0), (3, "b", 1.0), (6, "c", 1.0), (2, "d", 1.0)], "accepted", 4)]
fn the_last_ticket_gets(
    #[case] tickets: &[(u64, &str, f64)],
    #[case] expected: &str,
    #[case] revision: u64,
) {
    let mut book = TicketBook::new(3);
    let mut last = None;
    for (number, region, cap) in tickets {
        let ticket = ticket(*number, region, *cap);
        let verdict = book.submit(&ticket);
        if verdict.is_accepted() {
            assert_eq!(
                book.submit(&ticket),
                verdict,
                "the resent ticket got another verdict"
            );
        }
        last = Some(verdict);
    }
    assert_eq!(name(&last.unwrap()), expected);
    assert_eq!(book.state().revision, revision);
}

#[test]
fn a_book_read_back_from_json_is_the_same_to_the_last_bit() {
    let mut book = TicketBook::new(100);
    for number in 1..50 {
        book.submit(&ticket(
            number,
            &format!("r{number}"),
            0.1 + number as f64 / 3e7,
        ));
    }
    let json = serde_json::to_vec(&book).unwrap();
    let back: TicketBook = serde_json::from_slice(&json).unwrap();
    assert_eq!(back, book);
    assert_eq!(serde_json::to_vec(&back).unwrap(), json);
}

#[test]
fn a_verdict_names_a_bounded_number_of_faults() {
    let mut text = "number = 1\n".to_string();
    for block in 0..200 {
        text.push_str(&format!(
            "[block.\"10.0.{block}.0/24\"]\nzone = \"nowhere\"\n"
        ));
    }
    let ticket = ChangeTicket::try_from(RawTicket::from_toml(&text).unwrap()).unwrap();
    match TicketBook::new(3).submit(&ticket) {
        TicketVerdict::Invalid { faults } => assert_eq!(faults.len(), TicketBook::MAX_FAULTS),
        other => panic!("{other}"),
    }
}
