//! Reading of the settings at the start of a program.

use std::process::ExitCode;

use model::fault::InputFault;

use crate::help::ProgramHelp;
use crate::reader::SettingReader;

/// Exit code of a program whose settings are invalid.
pub const EXIT_INVALID_SETTINGS: u8 = 2;

/// Reads the settings of this process with `read`.
///
/// With the flag `--help` or `--version`, prints the help text or the version instead. Prints all
/// validation errors to standard error.
///
/// # Errors
///
/// Returns the code with which the process must exit: success after `--help` or `--version`,
/// [`EXIT_INVALID_SETTINGS`] if a setting is invalid.
pub fn read_settings<T>(
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
        ExitCode::from(EXIT_INVALID_SETTINGS)
    })
}
