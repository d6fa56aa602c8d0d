//! How a program takes its settings at start.

use std::process::ExitCode;

use model::fault::InputFault;

use crate::list::ProgramHelp;
use crate::reader::SettingReader;

/// Exit code where a setting is wrong.
pub const EXIT_SETTINGS: u8 = 2;

/// Takes the settings of this process: shows the help text or the version where asked, and every
/// fault where there is one.
///
/// # Errors
///
/// Gives the code with which the process exits at once.
pub fn take_settings<T>(
    help: &ProgramHelp,
    version: &str,
    read: impl FnOnce(SettingReader) -> Result<T, Vec<InputFault>>,
) -> Result<T, ExitCode> {
    let mut reader = SettingReader::from_process();
    if reader.flag("help") {
        println!("{help}");
        return Err(ExitCode::SUCCESS);
    }
    if reader.flag("version") {
        println!("{} {version}", help.program);
        return Err(ExitCode::SUCCESS);
    }
    read(reader).map_err(|faults| {
        for fault in faults {
            eprintln!("{}: {fault}", help.program);
        }
        ExitCode::from(EXIT_SETTINGS)
    })
}
