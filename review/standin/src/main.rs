//! Cases of the review. Usage: `review-case NAME RECORD`, from the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` in
//! the environment the disruption is left out.

mod cases;
mod client;
mod deployment;
mod endpoint;
mod http;
mod record;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;

/// Outcome of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, name, path] = arguments.as_slice() else {
        eprintln!("usage: review-case NAME RECORD");
        return ExitCode::from(2);
    };
    let record = Record::create(Path::new(path));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    deployment::start_watchdog(Duration::from_secs(117));
    record.line(&format!("case {name}, trouble {trouble}"));
    let outcome = match name.as_str() {
        "ready-answers" => cases::ready_answers::run(&record, trouble),
        "growing-core" => cases::growing_core::run(&record, trouble),
        "replaced-voter" => cases::replaced_voter::run(&record, trouble),
        "uploads" => cases::uploads::run(&record, trouble),
        _ => Outcome::NotRun("unknown case".to_string()),
    };
    match outcome {
        Outcome::Held => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Outcome::Broken => {
            record.line("THE RULE WAS BROKEN");
            ExitCode::from(1)
        }
        Outcome::NotRun(reason) => {
            record.line(&format!("the case couldn't run: {reason}"));
            ExitCode::from(2)
        }
    }
}
