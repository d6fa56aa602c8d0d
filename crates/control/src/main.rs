//! The `wisteria-control` program.

use std::process::ExitCode;

use control::daemon;
use control::error::ControlError;
use control::settings::{ControlSettings, RawSettings, HELP};
use settings::reader::SettingReader;

/// Exit code where a setting is wrong.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let mut reader = SettingReader::from_process();
    if reader.flag("help") {
        println!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if reader.flag("version") {
        println!("{} {}", HELP.program, env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match ControlSettings::try_from(RawSettings::read(reader)) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{}: {fault}", HELP.program);
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match start(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{}: {e}", HELP.program);
            ExitCode::FAILURE
        }
    }
}

fn start(settings: ControlSettings) -> Result<(), ControlError> {
    telemetry::logs::start(settings.log)?;
    async_std::task::block_on(async_std::task::spawn(daemon::run(settings)))
}
