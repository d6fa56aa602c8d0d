//! The `wisteria-entry` program.

use std::process::ExitCode;
use std::sync::Arc;

use async_std::task;
use clock::TimeSource;
use entry::context::EntryContext;
use entry::host::EntryHost;
use entry::settings::{EntrySettings, HELP};
use settings::reader::SettingReader;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use telemetry::metrics::MetricRegistry;

/// Exit code of bad settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut reader = SettingReader::from_process();
    if reader.flag("help") {
        println!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if reader.flag("version") {
        println!("wisteria-entry {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match EntrySettings::try_from(reader) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("wisteria-entry: {fault}");
            }
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(settings) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("wisteria-entry: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs until a signal asks for a planned stop; tells whether it cut nothing.
fn run(settings: EntrySettings) -> Result<bool, Box<dyn std::error::Error>> {
    telemetry::logs::start(settings.logs)?;
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let metrics = MetricRegistry::new()?;
    let context = Arc::new(EntryContext::new(settings, TimeSource::Runtime, metrics));
    let host = task::block_on(EntryHost::start(context))?;
    signals.forever().next();
    Ok(task::block_on(host.stop()))
}
