//! The `wisteria-control` program.

use std::process::ExitCode;

use control::daemon;
use control::error::ControlError;
use control::settings::{ControlSettings, RawSettings, HELP};
use settings::program;

fn main() -> ExitCode {
    let version = env!("CARGO_PKG_VERSION");
    let settings = program::read_settings(&HELP, version, |reader| {
        ControlSettings::try_from(RawSettings::read(reader))
    });
    match settings.map(start) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(e)) => {
            eprintln!("{}: {e}", HELP.program);
            ExitCode::FAILURE
        }
        Err(code) => code,
    }
}

fn start(settings: ControlSettings) -> Result<(), ControlError> {
    telemetry::logs::start(settings.log)?;
    async_std::task::block_on(async_std::task::spawn(daemon::run(settings)))
}
