//! The digest that tells whether two attempts of clients are the same request.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use gateway::request;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, Uri};
use support::names;

fn digest(host: &str, target: &'static str, headers: &[(&'static str, &str)], body: &str) -> u128 {
    let target = Uri::from_static(target);
    let headers: HeaderMap = headers
        .iter()
        .map(|(name, value)| {
            let value = HeaderValue::from_str(value).unwrap();
            (HeaderName::from_static(name), value)
        })
        .collect();
    request::request_digest(
        &names(),
        &Method::GET,
        host,
        &target,
        &headers,
        body.as_bytes(),
    )
}

#[test]
fn a_request_that_comes_again_has_the_same_digest() {
    let first = digest("a", "/p?q=1", &[("id", "1"), ("deadline", "900")], "body");
    let again = digest("a", "/p?q=1", &[("id", "2"), ("deadline", "1200")], "body");
    assert_eq!(first, again);
    // A target may also be given with its host.
    let absolute = digest("a", "http://a/p?q=1", &[], "body");
    assert_eq!(first, absolute);
}

#[test]
fn requests_that_differ_in_host_target_caller_or_body_have_different_digests() {
    let digests = [
        digest("a", "/p", &[], ""),
        digest("b", "/p", &[], ""),
        digest("a", "/p?", &[], ""),
        digest("a", "/pq", &[], ""),
        digest("ap", "/", &[], ""),
        digest("a", "/p", &[("object", "1")], ""),
        digest("a", "/p", &[("authorization", "1")], ""),
        digest("a", "/p", &[("cookie", "1")], ""),
        digest("a", "/p", &[], "1"),
    ];
    for (index, digest) in digests.iter().enumerate() {
        assert!(!digests[index + 1..].contains(digest), "{index}");
    }
}
