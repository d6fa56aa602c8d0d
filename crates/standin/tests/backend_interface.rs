//! A stand-in backend server follows the backend interface, and shows the faults that a command
//! injects.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use proof::error::ProofError;
use proof::http::{HttpAnswer, HttpCall};
use proof::ports;
use proof::process::{ProcessPlan, ProofProcess};
use proof::wait;
use rstest::rstest;
use serde_json::json;
use standin::digest;

struct Backend {
    process: ProofProcess,
    control: SocketAddr,
    address: SocketAddr,
    _folder: tempfile::TempDir,
}

/// Starts one backend server with one slot and the given flags.
fn start(flags: &[(&str, &str)]) -> Backend {
    let folder = tempfile::tempdir().unwrap();
    let control = ports::free_address().unwrap();
    let mut plan = ProcessPlan::new("wisteria-standin", "s1")
        .arg("backend")
        .flag("service", "ascent-lookup")
        .flag("zones", "altiplano-a")
        .flag("control", control)
        .flag("slots", 1);
    for (name, value) in flags {
        plan = plan.flag(name, value);
    }
    let process = plan.start(folder.path()).unwrap();
    let servers = || HttpCall::get(control, "/control/servers").send();
    wait::wait_until("the start of the stand-in", Duration::from_secs(10), || {
        servers().is_ok()
    })
    .unwrap();
    let statuses = servers().unwrap().json().unwrap();
    let address = statuses[0]["address"].as_str().unwrap().parse().unwrap();
    Backend {
        process,
        control,
        address,
        _folder: folder,
    }
}

impl Backend {
    /// Sends a fault command and returns the status code of the answer.
    fn inject_fault(&self, command: &serde_json::Value) -> u16 {
        let call = HttpCall::post(self.control, "/control").body(command.to_string());
        call.send().unwrap().status
    }

    /// Returns how many times the server ran requests with an idempotency key.
    fn runs(&self, key: &str) -> u64 {
        let runs = HttpCall::get(self.control, "/control/runs").send().unwrap();
        runs.json().unwrap()[key].as_u64().unwrap_or(0)
    }

    /// Returns a write request with an idempotency key.
    fn write_call(&self, key: &str) -> HttpCall {
        HttpCall::post(self.address, "/s/ascent-lookup/entry/1")
            .header("idempotency-key", key)
            .header("request-id", key)
            .body("ascent")
            .bound(Duration::from_secs(3))
    }
}

/// Returns whether an answer is the complete answer to [`Backend::write_call`].
fn is_complete(answer: &HttpAnswer) -> bool {
    let digest = digest::request_digest("POST", "/s/ascent-lookup/entry/1", b"ascent");
    answer.status == 200
        && answer.header(digest::DIGEST_HEADER) == format!("{digest:016x}")
        && answer.body == digest::answer_body(digest, answer.body.len())
}

#[rstest]
#[case::none("none", true, 1)]
#[case::die_before_answer("die-before-answer", false, 1)]
#[case::die_mid_request("die-mid-request", false, 0)]
#[case::die_mid_answer("die-mid-answer", false, 1)]
#[case::short("short", false, 1)]
#[case::late("late", true, 1)]
#[case::extra("extra", true, 1)]
#[case::shed("shed", false, 0)]
#[case::plain_error("plain-error", false, 1)]
fn fault_affects_one_request(#[case] fault: &str, #[case] complete: bool, #[case] runs: u64) {
    let backend = start(&[]);
    if fault != "none" {
        let command = json!({"fault": fault, "count": 1, "ms": 300});
        assert_eq!(backend.inject_fault(&command), 200);
    }
    let start = Instant::now();
    let answer = backend.write_call("k1").send();
    assert_eq!(
        answer.as_ref().is_ok_and(is_complete),
        complete,
        "{answer:?}"
    );
    assert_eq!(backend.runs("k1"), runs);
    if fault == "late" {
        assert!(start.elapsed() >= Duration::from_millis(300));
    }
    if fault == "shed" {
        assert_eq!(answer.unwrap().header("wisteria-shed"), "not-run");
    }
    assert!(is_complete(&backend.write_call("k2").send().unwrap()));
}

#[test]
fn unknown_fault_or_server_is_rejected() {
    let backend = start(&[]);
    assert_eq!(backend.inject_fault(&json!({"fault": "explode"})), 400);
    assert_eq!(
        backend.inject_fault(&json!({"fault": "shed", "server": 7})),
        400
    );
}

#[test]
fn silent_connections_stay_silent_and_new_ones_work() {
    let backend = start(&[("read-time", "300ms")]);
    let address = backend.address;
    let read =
        move || HttpCall::get(address, "/s/ascent-lookup/read/1").bound(Duration::from_secs(2));
    let running = thread::spawn(move || read().send());
    thread::sleep(Duration::from_millis(100));
    assert_eq!(backend.inject_fault(&json!({"fault": "silent"})), 200);
    let answer = running.join().unwrap();
    assert!(matches!(answer, Err(ProofError::Timeout(..))), "{answer:?}");
    assert_eq!(read().send().unwrap().status, 200);
}

#[test]
fn requests_over_the_queue_limit_or_past_the_deadline_are_shed_as_not_run() {
    let backend = start(&[("write-time", "400ms"), ("queue", "1")]);
    let calls: Vec<_> = (0..4)
        .map(|index| {
            let call = backend.write_call(&format!("k{index}"));
            let call = if index == 1 {
                call.header("wisteria-deadline-ms", "100")
            } else {
                call
            };
            thread::sleep(Duration::from_millis(30));
            thread::spawn(move || call.send().unwrap())
        })
        .collect();
    let answers: Vec<_> = calls.into_iter().map(|call| call.join().unwrap()).collect();
    let statuses: Vec<_> = answers.iter().map(|answer| answer.status).collect();
    assert_eq!(
        statuses[..2],
        [200, 503],
        "the second request is queued past its deadline"
    );
    for (index, answer) in answers.iter().enumerate() {
        let ran = backend.runs(&format!("k{index}"));
        assert_eq!(ran, u64::from(answer.status == 200), "{index}");
        if answer.status != 200 {
            assert_eq!(answer.header("wisteria-shed"), "not-run");
            assert_eq!(answer.header("retry-after"), "1");
        }
    }
}

#[test]
fn caller_that_disconnects_frees_the_slot() {
    let backend = start(&[("write-time", "2s")]);
    let result = backend
        .write_call("k1")
        .bound(Duration::from_millis(100))
        .send();
    assert!(result.is_err());
    let is_idle = || {
        let load = HttpCall::get(backend.address, "/load").send().unwrap();
        load.json().unwrap()["in_flight"] == 0
    };
    wait::wait_until(
        "the cancellation of the request",
        Duration::from_secs(1),
        is_idle,
    )
    .unwrap();
}

#[rstest]
#[case::lie_idle("lie-idle", Some(0.0), Some(200))]
#[case::lie_sick("lie-sick", Some(1.0), Some(503))]
#[case::freeze("freeze-reports", Some(0.0), Some(200))]
#[case::no_reports("no-reports", None, None)]
fn faults_falsify_or_suppress_reports(
    #[case] fault: &str,
    #[case] utilisation: Option<f64>,
    #[case] health: Option<u16>,
) {
    let backend = start(&[("write-time", "1s")]);
    assert_eq!(backend.inject_fault(&json!({"fault": fault})), 200);
    let call = backend.write_call("k1");
    let running = thread::spawn(move || call.send());
    thread::sleep(Duration::from_millis(200));
    let load = HttpCall::get(backend.address, "/load").send().ok();
    let load = load.map(|answer| answer.json().unwrap()["utilisation"].as_f64().unwrap());
    assert_eq!(load, utilisation);
    let answer = HttpCall::get(backend.address, "/health").send().ok();
    assert_eq!(answer.map(|answer| answer.status), health);
    running.join().unwrap().unwrap();
}

#[test]
fn stop_completes_running_requests_and_sheds_new_ones() {
    let mut backend = start(&[("write-time", "500ms")]);
    let call = backend.write_call("k1");
    let running = thread::spawn(move || call.send().unwrap());
    thread::sleep(Duration::from_millis(100));
    backend.process.terminate().unwrap();
    thread::sleep(Duration::from_millis(100));
    let late = backend.write_call("k2").send().unwrap();
    assert_eq!((late.status, backend.runs("k2")), (503, 0));
    assert!(is_complete(&running.join().unwrap()));
    let exit = backend.process.wait_exit(Duration::from_secs(5)).unwrap();
    assert_eq!(exit, Some(0));
}
