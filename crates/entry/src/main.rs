//! The `wisteria-entry` program, which runs an entry host.

use std::process::ExitCode;
use std::sync::Arc;

use async_std::task;
use clock::TimeSource;
use entry::context::EntryContext;
use entry::host::EntryHost;
use entry::settings::{EntrySettings, HELP};
use settings::program;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use telemetry::metrics::MetricRegistry;

fn main() -> ExitCode {
    let version = env!("CARGO_PKG_VERSION");
    let settings = program::read_settings(&HELP, version, EntrySettings::try_from);
    match settings.map(run) {
        Ok(Ok(true)) => ExitCode::SUCCESS,
        Ok(Ok(false)) => ExitCode::FAILURE,
        Ok(Err(e)) => {
            eprintln!("{}: {e}", HELP.program);
            ExitCode::FAILURE
        }
        Err(code) => code,
    }
}

/// Runs the host until SIGTERM or SIGINT, then shuts it down like [`EntryHost::stop`].
///
/// Returns whether all requests finished in time.
fn run(settings: EntrySettings) -> Result<bool, Box<dyn std::error::Error>> {
    telemetry::logs::start(settings.logs)?;
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let metrics = MetricRegistry::new()?;
    let context = Arc::new(EntryContext::new(settings, TimeSource::Runtime, metrics));
    let host = task::block_on(EntryHost::start(context))?;
    signals.forever().next();
    Ok(task::block_on(host.stop()))
}
