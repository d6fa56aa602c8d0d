//! Which configurations are refused, and which route takes a path.
#![allow(missing_docs, clippy::unwrap_used)]

use std::time::Duration;

use fleet::site::{RawRoute, RawSite, ServiceSpec, SiteConfig, SiteFault};
use rstest::rstest;

fn route(prefix: &str) -> RawRoute {
    RawRoute {
        name: "r1".to_string(),
        path_prefix: prefix.to_string(),
        kind: "safe".to_string(),
        timeout: Duration::from_secs(1),
        split: vec![("reads".to_string(), 1)],
        ..RawRoute::default()
    }
}

fn site(routes: Vec<RawRoute>) -> RawSite {
    RawSite {
        services: vec![ServiceSpec {
            name: "reads".to_string(),
            health_path: "/health".to_string(),
            max_connections: 10,
            cold_period: Duration::ZERO,
            cold_rate: 0.0,
        }],
        hosts: vec![("Shop.Example".to_string(), routes)],
        ..RawSite::default()
    }
}

#[rstest]
#[case::service(RawRoute { split: vec![("gone".into(), 1)], ..route("/") }, "service: there is no service gone")]
#[case::weight(RawRoute { split: vec![("reads".into(), -1)], ..route("/") }, "weight: -1 is below 0")]
#[case::no_time(RawRoute { timeout: Duration::ZERO, ..route("/") }, "timeout: 0 leaves no time")]
#[case::long(RawRoute { timeout: Duration::from_secs(601), ..route("/") }, "timeout: 601s is over 600s")]
#[case::prefix(route("a/"), "path prefix: \"a/\" doesn't begin with a slash")]
#[case::kind(RawRoute { kind: "maybe".into(), ..route("/") }, "kind: \"maybe\" is neither safe nor unsafe")]
#[case::nowhere(RawRoute { split: vec![], ..route("/") }, "service: the route names none")]
fn a_fault_names_route_field_and_value(#[case] faulty: RawRoute, #[case] text: &str) {
    let fault = SiteConfig::try_from(site(vec![route("/ok/"), faulty])).unwrap_err();
    assert_eq!(fault.to_string(), format!("route r1: {text}"));
}

#[test]
fn a_timeout_of_ten_minutes_is_the_longest() {
    let longest = RawRoute {
        timeout: Duration::from_secs(600),
        ..route("/")
    };
    assert!(SiteConfig::try_from(site(vec![longest])).is_ok());
}

#[rstest]
#[case("shop.example", "/a/b/c", Some("/a/b/"))]
#[case("shop.example", "/a/c", Some("/a/"))]
#[case("shop.example", "/a", None)]
#[case("other.example", "/a/b/c", None)]
fn the_longest_prefix_takes_a_path(
    #[case] host: &str,
    #[case] path: &str,
    #[case] prefix: Option<&str>,
) {
    let site = SiteConfig::try_from(site(vec![route("/a/"), route("/a/b/")])).unwrap();
    let taken = site
        .route(host, path)
        .map(|route| route.path_prefix.as_str());
    assert_eq!(taken, prefix);
}

#[test]
fn no_fault_is_found_in_a_site_without_routes() {
    let empty: Result<SiteConfig, SiteFault> = RawSite::default().try_into();
    assert!(empty.is_ok());
}
