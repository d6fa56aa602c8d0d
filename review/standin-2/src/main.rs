//! Runs a case of the review against the project's own programs: `review-case-2 NUMBER`, from the root of the
//! repository. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` the disruption is left out.

mod cases;
mod client;
mod deployment;
mod endpoint;
mod http;
mod record;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::record::RunRecord;

/// Time after which a run is given up.
const RUN_LIMIT: Duration = Duration::from_secs(110);

/// What a case found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CaseVerdict {
    Held,
    Broken,
}

/// What a case runs with.
pub struct CaseContext {
    pub deployment: Deployment,
    pub record: RunRecord,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

type CaseResult = std::io::Result<CaseVerdict>;

fn run(number: u8) -> CaseResult {
    let case = match number {
        7 => cases::forgotten_leave,
        8 => cases::late_leave,
        9 => cases::other_writer,
        10 => cases::held_address,
        _ => return Err(std::io::Error::other("there is no such case")),
    };
    let root = std::env::current_dir()?;
    let folder: PathBuf = root.join("review").join(number.to_string());
    let record = RunRecord::create(&folder)?;
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(format!("case {number}; trouble={trouble}"));
    let mut context = CaseContext {
        deployment: Deployment::start(&root)?,
        record: record.clone(),
        trouble,
    };
    let (sender, verdict) = std::sync::mpsc::channel();
    // The processes of the deployment end with the context, also when the case takes too long.
    let outcome = std::thread::scope(|scope| {
        let context = &mut context;
        let worker = scope.spawn(move || {
            let outcome = case(context);
            let _ = sender.send(());
            outcome
        });
        if verdict.recv_timeout(RUN_LIMIT).is_err() {
            record.note("given up, as it takes too long");
            return None;
        }
        worker.join().ok()
    });
    let outcome = outcome.unwrap_or_else(|| Err(std::io::Error::other("the case failed")))?;
    if let Some(process) = context.deployment.ended() {
        return Err(std::io::Error::other(format!(
            "process {process} has ended"
        )));
    }
    record.note(format!("verdict: {outcome:?}"));
    Ok(outcome)
}

fn main() -> ExitCode {
    let number = std::env::args().nth(1).and_then(|word| word.parse().ok());
    match run(number.unwrap_or(0)) {
        Ok(CaseVerdict::Held) => ExitCode::from(0),
        Ok(CaseVerdict::Broken) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case couldn't run: {e}");
            ExitCode::from(2)
        }
    }
}
