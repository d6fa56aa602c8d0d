//! Validation of tickets, their canonical form and their digests.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use expect_test::{expect, Expect};
use model::raw::RawTicket;
use model::state::ForceState;
use model::ticket::ChangeTicket;

const VALID_TICKET: &str = r#"
number = 7
remove = ["service/old", "link/oriente/altiplano"]

[region.altiplano]
zones = ["altiplano-a", "altiplano-b"]
cap = 900.0

[host.e1]
zone = "altiplano-a"
callers = "10.0.0.1:8001"
peers = "10.0.0.1:9001"

[service.ascent-lookup]
class = "read"
shift = 50.0
leaving = ["10.1.0.9:7000"]
places.altiplano-a = { cap = 200.0 }
places.altiplano-b = { cap = 100.0 }

[block."10.7.3.1/16"]
zone = "altiplano-a"
"#;

/// Parses and validates a ticket; an error has one line per validation error.
fn parse_ticket(text: &str) -> Result<ChangeTicket, String> {
    let raw = RawTicket::from_toml(text).map_err(|fault| fault.to_string())?;
    ChangeTicket::try_from(raw).map_err(|faults| {
        let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })
}

/// Asserts the validation errors of a ticket.
fn assert_faults(text: &str, expected: &Expect) {
    expected.assert_eq(&parse_ticket(text).unwrap_err());
}

#[test]
fn object_names_are_brought_into_canonical_form() {
    let ticket = parse_ticket(VALID_TICKET).unwrap();
    let keys: Vec<_> = ticket.objects.keys().map(ToString::to_string).collect();
    expect![[r#"
        region/altiplano
        link/altiplano/oriente
        host/e1
        service/ascent-lookup
        service/old
        block/10.7.0.0/16"#]]
    .assert_eq(&keys.join("\n"));
}

#[test]
fn toml_and_json_of_the_same_content_have_the_same_digest() {
    let ticket = parse_ticket(VALID_TICKET).unwrap();
    let raw = RawTicket::from_json(&ticket.to_json()).unwrap();
    let parsed = ChangeTicket::try_from(raw).unwrap();
    assert_eq!(parsed, ticket);
    assert_eq!(parsed.digest(), ticket.digest());
    let other = parse_ticket(&VALID_TICKET.replace("900.0", "901.0")).unwrap();
    assert_ne!(other.digest(), ticket.digest());
}

#[test]
fn all_errors_are_reported_with_field_and_value() {
    assert_faults(
        r#"
number = 0
remove = ["shop/x", "service/Old"]
[region.Altiplano]
zones = ["a", "a"]
cap = -1.0
[link."altiplano/altiplano"]
mbits = 10.0
[host.e1]
zone = "altiplano-a"
callers = "entry.example:80"
peers = "0.0.0.0:9001"
[service.lookup]
class = "fast"
shift = 0.0
leaving = ["10.0.0.1"]
places = {}
[block."10.0.0.0/40"]
zone = "altiplano-a"
"#,
        &expect![[r#"
            number: "0" is not allowed: a whole number from 1 to 9223372036854775807
            region.Altiplano: "Altiplano" is not allowed: 1 to 64 of a-z, 0-9, - and ., starting with a letter or digit
            region.Altiplano.cap: "-1" is not allowed: a number of requests a second, 0 to 1000000000
            region.Altiplano.zones: "a" is not allowed: each availability zone once
            link.altiplano/altiplano: "altiplano/altiplano" is not allowed: the names of two different regions, such as altiplano/oriente
            host.e1.callers: "entry.example:80" is not allowed: IP number and port, such as 10.0.0.1:8080
            host.e1.peers: "0.0.0.0:9001" is not allowed: IP number and port, such as 10.0.0.1:8080
            service.lookup.shift: "0" is not allowed: requests a second each second, above 0
            service.lookup.class: "fast" is not allowed: bulk, read or write
            service.lookup.places: "{}" is not allowed: at least one place; remove the service to stop it
            service.lookup.leaving: "10.0.0.1" is not allowed: IP number and port, such as 10.0.0.1:8080
            block.10.0.0.0/40: "10.0.0.0/40" is not allowed: an address prefix, such as 10.1.0.0/16
            remove: "shop/x" is not allowed: kind/name with a kind of region, link, host, service or block
            remove: "service/Old" is not allowed: kind/name with a kind of region, link, host, service or block"#]],
    );
}

#[test]
fn malformed_tickets_are_rejected() {
    assert_faults(
        "number = 1\n[region.r]\nzones = [\"a\"]\ncap = 1.0\ncolour = \"red\"\n",
        &expect![[
            r#"ticket: "unknown field `colour`, expected `zones` or `cap`" is not allowed: a ticket in TOML, see docs/tickets.md (line 5)"#
        ]],
    );
    assert_faults(
        "number = 1\n",
        &expect![[r#"ticket: "{}" is not allowed: at least one object"#]],
    );
    for rate in ["nan", "inf", "1e10"] {
        let text = format!("number = 1\n[region.r]\nzones = [\"a\"]\ncap = {rate}\n");
        assert!(parse_ticket(&text).is_err(), "{rate}");
    }
}

#[test]
fn a_ticket_with_a_duplicate_object_is_rejected() {
    let text = format!("{VALID_TICKET}\n[block.\"10.7.9.9/16\"]\nzone = \"altiplano-a\"\n");
    assert_faults(
        &text,
        &expect![[
            r#"block/10.7.0.0/16: "block/10.7.0.0/16" is not allowed: each object once in a ticket"#
        ]],
    );
}

#[test]
fn a_ticket_is_checked_against_the_state_in_force() {
    let mut state = ForceState::default();
    let first = "number = 1\n[region.r]\nzones = [\"r-a\"]\ncap = 100.0\n";
    state.apply(&parse_ticket(first).unwrap());
    let cases = [
        (
            "[service.s]\nclass = \"read\"\nshift = 1.0\nplaces.r-a = { cap = 100.0 }",
            "",
        ),
        (
            "[service.s]\nclass = \"read\"\nshift = 1.0\nplaces.r-a = { cap = 101.0 }",
            "service.s.places.r-a.cap",
        ),
        (
            "[service.s]\nclass = \"read\"\nshift = 1.0\nplaces.r-a = { cap = 0.0 }",
            "service.s.places",
        ),
        (
            "[service.s]\nclass = \"read\"\nshift = 1.0\nplaces.q-a = { cap = 1.0 }",
            "service.s.places.q-a",
        ),
        ("[link.\"q/r\"]\nmbits = 1.0", "link.q/r"),
        ("[region.q]\nzones = [\"r-a\"]\ncap = 1.0", "region.r.zones"),
        (
            "[host.e]\nzone = \"q-a\"\ncallers = \"10.0.0.1:1\"\npeers = \"10.0.0.1:2\"",
            "host.e.zone",
        ),
        (
            "[block.\"10.0.0.0/8\"]\nzone = \"q-a\"",
            "block.10.0.0.0/8.zone",
        ),
    ];
    for (body, field) in cases {
        let ticket = parse_ticket(&format!("number = 2\n{body}\n")).unwrap();
        let fields: Vec<_> = state
            .faults_after(&ticket)
            .into_iter()
            .map(|fault| fault.field)
            .collect();
        assert_eq!(fields.join(","), field, "{body}");
    }
}

#[test]
fn the_state_digest_does_not_depend_on_the_order_of_tickets() {
    let region = |number: u64, name: &str| {
        parse_ticket(&format!(
            "number = {number}\n[region.{name}]\nzones = [\"{name}-a\"]\ncap = 1.0\n"
        ))
        .unwrap()
    };
    let mut in_order = ForceState::default();
    in_order.apply(&region(1, "r"));
    in_order.apply(&region(2, "q"));
    let mut reversed = ForceState::default();
    reversed.apply(&region(2, "q"));
    assert_ne!(in_order.digest, reversed.digest);
    reversed.apply(&region(1, "r"));
    assert_eq!(in_order, reversed);
}
