//! Which answers tell that a backend server is limited, or no longer is.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use fleet::limit::RequestRate;
use gateway::limit::LimitReading;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::StatusCode;
use rstest::rstest;
use support::names;

fn read(status: u16, headers: &[(&'static str, &'static str)]) -> Option<LimitReading> {
    let headers: HeaderMap = headers
        .iter()
        .map(|(name, value)| {
            let value = HeaderValue::from_static(value);
            (HeaderName::from_static(name), value)
        })
        .collect();
    let status = StatusCode::from_u16(status).unwrap();
    LimitReading::read(&names(), "q1", status, &headers).ok()
}

#[rstest]
#[case::success(200)]
#[case::failure(500)]
#[case::rejection(503)]
fn each_answer_may_name_a_limit(#[case] status: u16) {
    let rate = RequestRate::try_from(7.5).unwrap();
    let reading = read(status, &[("id", "q1"), ("limit", " 7.5 ")]);
    assert_eq!(reading, Some(LimitReading::Named(rate)));
}

#[rstest]
#[case::success(200, "q1", LimitReading::Absent)]
#[case::answer_to_another_request(200, "q2", LimitReading::Unknown)]
#[case::failure(500, "q1", LimitReading::Unknown)]
#[case::rejection(503, "q1", LimitReading::Unknown)]
#[case::another_server_has_the_address(421, "q1", LimitReading::Unknown)]
fn only_a_success_tells_that_a_limit_has_ended(
    #[case] status: u16,
    #[case] id: &'static str,
    #[case] expected: LimitReading,
) {
    assert_eq!(read(status, &[("id", id)]), Some(expected));
}

#[test]
fn a_limit_that_is_no_rate_is_an_error() {
    assert_eq!(read(200, &[("id", "q1"), ("limit", "-3")]), None);
}

#[test]
fn the_limit_of_another_server_at_the_address_is_ignored() {
    let reading = read(421, &[("id", "q1"), ("limit", "3")]);
    assert_eq!(reading, Some(LimitReading::Unknown));
}
