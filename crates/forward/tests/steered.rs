//! Requests go only to backend servers that the current state and the announcements allow.

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use forward::routes::RouteTable;
use forward::steered::{ServeMode, SteeredRoutes};
use model::backend::BackendAnnouncement;
use model::raw::RawTicket;
use model::state::ForceState;
use model::ticket::ChangeTicket;
use registry::BackendRegistry;
use rstest::rstest;
use support::{
    dead_address, get, ok, post, respond, wait_until, BackendAction, FakeBackend, TestServer,
};

const PLACES: &str = r#"
    [region.altiplano]
    zones = ["altiplano-a", "altiplano-b"]
    cap = 100000.0
    [host.entry-1]
    zone = "altiplano-a"
    callers = "127.0.0.1:1"
    peers = "127.0.0.1:2"
"#;

/// Running server whose routes follow tickets and announcements.
struct SteeredServer {
    server: TestServer,
    routes: Arc<SteeredRoutes>,
    state: ForceState,
}

impl SteeredServer {
    /// Starts a server for the service `svc` of a class, with the caps of its two places.
    fn start(class: &str, caps: [f64; 2], backends: &[(&FakeBackend, &str)]) -> Self {
        let routes = Arc::new(SteeredRoutes::new(Arc::new(BackendRegistry::new())));
        let server = TestServer::routed(RouteTable::Steered(routes.clone()), |_| {});
        let mut steered = Self {
            server,
            routes,
            state: ForceState::default(),
        };
        steered.submit(1, class, caps, "");
        for (backend, zone) in backends {
            steered.announce(backend.address, zone);
        }
        steered.routes.set_mode(ServeMode::Serving);
        steered
    }

    /// Replaces the places of the service by one behind a link of 8 Mbit/s.
    fn move_behind_link(&mut self) {
        let text = "number = 9\n\
            region.oriente = { zones = [\"oriente-a\"], cap = 1e6 }\n\
            link.\"altiplano/oriente\" = { mbits = 8.0 }\n\
            [service.svc]\nclass = \"write\"\nshift = 1e6\nplaces.oriente-a.cap = 1e5\n";
        self.apply(text);
    }

    /// Applies a ticket with the caps of the two places and the leaving backend servers.
    fn submit(&mut self, number: u64, class: &str, [a, b]: [f64; 2], leaving: &str) {
        let text = format!(
            "number = {number}\n{PLACES}\n[service.svc]\nclass = \"{class}\"\nshift = 1e6\n\
             leaving = [{leaving}]\nplaces.altiplano-a.cap = {a:.1}\n\
             places.altiplano-b.cap = {b:.1}\n"
        );
        self.apply(&text);
    }

    /// Applies a ticket to the state and rebuilds the routes.
    fn apply(&mut self, text: &str) {
        let ticket = ChangeTicket::try_from(RawTicket::from_toml(text).unwrap()).unwrap();
        self.state.apply(&ticket);
        let now = Instant::now();
        let past = now.checked_sub(Duration::from_secs(60)).unwrap();
        let table = steer::TableBuilder::new(&self.state, "entry-1", "altiplano-a").build(past);
        self.routes.registry().set_state(now, &self.state);
        self.routes.set_state(&self.state, Arc::new(table));
    }

    fn announce(&self, address: std::net::SocketAddr, zone: &str) {
        let announcement = BackendAnnouncement {
            service: "svc".into(),
            address,
            zone: zone.into(),
            slots: 3,
            incarnation: 1,
            ttl: Duration::from_secs(30),
        };
        self.routes
            .registry()
            .announce(Instant::now(), announcement)
            .unwrap();
    }
}

#[rstest]
#[case::starting(ServeMode::Starting)]
#[case::cut_off(ServeMode::CutOff)]
fn host_that_does_not_serve_runs_nothing(#[case] mode: ServeMode) {
    let backend = FakeBackend::start(vec![respond(&ok("x"))]);
    let steered = SteeredServer::start("read", [1e5, 1e5], &[(&backend, "altiplano-a")]);
    steered.routes.set_mode(mode);
    let refused = steered.server.ask(&post("/s/svc/a", "", "1"));
    assert_eq!(refused.summary(), "503 not-run not-ready");
    assert_eq!(refused.header("retry-after"), "1");
    assert_eq!(backend.runs(), 0);
}

#[test]
fn unknown_service_and_service_without_a_server_are_refused() {
    let steered = SteeredServer::start("read", [1e5, 1e5], &[]);
    assert_eq!(
        steered.server.ask(&get("/s/none/a")).summary(),
        "404 not-run unknown-service"
    );
    assert_eq!(
        steered.server.ask(&get("/s/svc/a")).summary(),
        "503 not-run no-backend"
    );
}

#[test]
fn leaving_server_gets_no_new_requests() {
    let leaving = FakeBackend::start(vec![respond(&ok("old"))]);
    let staying = FakeBackend::start(vec![respond(&ok("new"))]);
    let zone = "altiplano-a";
    let mut steered = SteeredServer::start("read", [1e5, 1e5], &[(&leaving, zone)]);
    assert_eq!(steered.server.ask(&get("/s/svc/a")).text(), "old");
    steered.announce(staying.address, zone);
    steered.submit(2, "read", [1e5, 1e5], &format!("\"{}\"", leaving.address));
    steered.announce(leaving.address, zone);
    for _ in 0..20 {
        assert_eq!(steered.server.ask(&get("/s/svc/a")).text(), "new");
    }
    assert_eq!(leaving.runs(), 1);
}

#[test]
fn request_above_the_caps_is_refused_at_once_with_a_retry_after_time() {
    let backend = FakeBackend::start(vec![respond(&ok("x"))]);
    let steered = SteeredServer::start("read", [20.0, 0.0], &[(&backend, "altiplano-a")]);
    let mut caller = steered.server.caller();
    let start = Instant::now();
    let answers: Vec<_> = (0..40)
        .map(|_| caller.ask(&get("/s/svc/a")).unwrap())
        .collect();
    let took = start.elapsed().as_secs_f64();
    let refused = answers.iter().find(|answer| answer.status != 200).unwrap();
    assert_eq!(refused.summary(), "503 not-run cap-reached");
    assert!(
        refused
            .header("wisteria-retry-after-ms")
            .parse::<u64>()
            .unwrap()
            > 0
    );
    let max_runs = 20.0 * (took + 0.1) + 1.0;
    assert!(
        backend.runs() as f64 <= max_runs,
        "{} runs, {max_runs} allowed",
        backend.runs()
    );
}

#[test]
fn server_that_sheds_or_is_unreachable_is_skipped() {
    let shed = "HTTP/1.1 503 No\r\nwisteria-shed: not-run\r\ncontent-length: 0\r\n\r\n";
    let shedding = FakeBackend::start(vec![respond(shed)]);
    let good = FakeBackend::start(vec![respond(&ok("good"))]);
    let places = [(&shedding, "altiplano-a"), (&good, "altiplano-b")];
    let steered = SteeredServer::start("write", [1e5, 1e5], &places);
    steered.announce(dead_address(), "altiplano-a");
    let answer = steered.server.ask(&post("/s/svc/a", "", "1"));
    assert_eq!(answer.text(), "good");
    assert_eq!(good.runs(), 1);
}

#[test]
fn full_place_spills_to_the_next_one() {
    let slow = FakeBackend::start(vec![BackendAction::RespondAfterMs(300, ok("slow"))]);
    let next = FakeBackend::start(vec![respond(&ok("next"))]);
    let places = [(&slow, "altiplano-a"), (&next, "altiplano-b")];
    let steered = SteeredServer::start("write", [1e5, 1e5], &places);
    let mut first = steered.server.caller();
    first.write(post("/s/svc/a", "", "1").as_bytes());
    assert!(wait_until(|| slow.runs() == 1));
    assert_eq!(
        steered.server.ask(&post("/s/svc/a", "", "1")).text(),
        "next"
    );
    assert_eq!(first.answer(false).unwrap().text(), "slow");
}

#[test]
fn retries_stay_within_their_budget() {
    let truncated =
        BackendAction::RespondAndClose("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nx".into());
    let actions: Vec<_> = (0..100)
        .flat_map(|_| [truncated.clone(), respond(&ok("x"))])
        .collect();
    let broken: Vec<_> = (0..3)
        .map(|_| FakeBackend::start(actions.clone()))
        .collect();
    let places: Vec<_> = broken
        .iter()
        .map(|backend| (backend, "altiplano-a"))
        .collect();
    let steered = SteeredServer::start("read", [1e5, 1e5], &places);
    let count = 60;
    for _ in 0..count {
        steered.server.ask(&get("/s/svc/a"));
    }
    let runs: usize = broken.iter().map(FakeBackend::runs).sum();
    let max_runs = count + count / 10 + 3;
    assert!(
        runs <= max_runs,
        "{runs} runs of {count} requests, {max_runs} allowed"
    );
}

#[rstest]
#[case::write_that_ends_at_its_deadline("POST", "wisteria-deadline-ms: 100\r\n", 504)]
#[case::read_overtaken_by_its_hedge("GET", "", 200)]
fn silent_server_counts_as_failed(#[case] method: &str, #[case] extra: &str, #[case] status: u16) {
    let silent = FakeBackend::start(vec![BackendAction::Hang]);
    let responsive = FakeBackend::start(vec![respond(&ok("b"))]);
    let steered = SteeredServer::start("read", [1e5, 1e5], &[(&silent, "altiplano-a")]);
    let mut caller = steered.server.caller();
    let request =
        format!("{method} /s/svc/a HTTP/1.1\r\nhost: e\r\ncontent-length: 0\r\n{extra}\r\n");
    if status == 200 {
        steered.announce(responsive.address, "altiplano-b");
    }
    assert_eq!(caller.ask(&request).unwrap().status, status);
    let snapshot = steered.routes.registry().snapshot();
    let silent = snapshot
        .entries()
        .find(|entry| entry.announcement.address == silent.address);
    let silent = silent.unwrap();
    assert!(
        wait_until(|| silent.gauge.failures() == 1),
        "{}",
        silent.gauge.failures()
    );
}

#[test]
fn request_that_would_miss_its_deadline_is_refused_at_once() {
    let slow = FakeBackend::start(vec![BackendAction::RespondAfterMs(150, ok("x"))]);
    let steered = SteeredServer::start("read", [1e5, 1e5], &[(&slow, "altiplano-a")]);
    let mut caller = steered.server.caller();
    for _ in 0..10 {
        assert_eq!(caller.ask(&post("/s/svc/a", "", "1")).unwrap().status, 200);
    }
    let urgent = post("/s/svc/a", "wisteria-deadline-ms: 50\r\n", "1");
    let start = Instant::now();
    let refused = caller.ask(&urgent).unwrap();
    assert_eq!(refused.summary(), "503 not-run deadline-exceeded");
    assert!(
        start.elapsed() < Duration::from_millis(50),
        "{:?}",
        start.elapsed()
    );
    assert_eq!(slow.runs(), 10);
    std::thread::sleep(Duration::from_millis(1100));
    let measured = caller.ask(&urgent).unwrap();
    assert_eq!(measured.summary(), "504 unknown deadline-exceeded");
    assert_eq!(slow.runs(), 11, "an old latency refuses no requests");
}

#[rstest]
#[case::upload(1_000_000, 1)]
#[case::long_answer(1, 1_000_000)]
fn bytes_over_a_link_do_not_exceed_its_rate(#[case] up: usize, #[case] down: usize) {
    let backend = FakeBackend::start(vec![BackendAction::Respond(ok(&"y".repeat(down)))]);
    let mut steered = SteeredServer::start("write", [1e5, 1e5], &[(&backend, "oriente-a")]);
    steered.move_behind_link();
    let start = Instant::now();
    let answer = steered.server.ask(&post("/s/svc/a", "", &"z".repeat(up)));
    let took = start.elapsed();
    assert!(answer.complete);
    assert_eq!(
        (answer.body.len(), backend.requests()[0].body.len()),
        (down, up)
    );
    // The first 256 KiB are buffered and not paced.
    assert!(
        took > Duration::from_millis(700),
        "1 MB over 8 Mbit/s took {took:?}"
    );
}

#[rstest]
#[case::read("read", 1)]
#[case::bulk("bulk", 0)]
fn bulk_requests_are_not_hedged(#[case] class: &str, #[case] hedges: usize) {
    let slow = FakeBackend::start(vec![BackendAction::RespondAfterMs(400, ok("slow"))]);
    let other = FakeBackend::start(vec![respond(&ok("other"))]);
    let places = [(&slow, "altiplano-a"), (&other, "altiplano-b")];
    let steered = SteeredServer::start(class, [1e5, 1e5], &places);
    assert_eq!(steered.server.ask(&get("/s/svc/a")).status, 200);
    assert_eq!(other.runs(), hedges);
}
