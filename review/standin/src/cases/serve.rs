use crate::deployment::{self, Deployment, Route, Terms};
use crate::{client, endpoint, record::Record, Outcome};
pub fn run(record: &Record) -> Outcome {
    let mut d = Deployment::new(Terms::default(), "serve");
    d.start_all(2);
    let r = |prefix, kind| Route { prefix, kind, service: "print-desk", timeout_ms: 60_000, target_ms: 20_000 };
    let c = deployment::configuration(1, 0, &["print-desk"], &[r("/page/", "safe"), r("/book/", "unsafe")]);
    record.line(&format!("config {:?}", d.submit("config.replace", "", &c)));
    let _e = endpoint::start_endpoints(&d, "print-desk", 3, record);
    client::wait_served(d.front_address(0), "/page/0/10");
    record.line(&format!("front {} {} pid {:?} {:?}", d.front_address(0), d.front_address(1), d.entry_pid(0), d.entry_pid(1)));
    for n in 0..3 { record.line(&format!("control {} directory {} pid {}", d.control_address(n), d.directory_address(n), d.controls[n as usize].as_ref().unwrap().id())); }
    let until = std::env::var("SECS").ok().and_then(|s| s.parse().ok()).unwrap_or(60);
    std::thread::sleep(std::time::Duration::from_secs(until));
    d.stop(record);
    Outcome::Held
}
