//! Logger that writes text or JSON lines to standard error.

use std::time::SystemTime;

use log::{LevelFilter, Record};
use quick_error::quick_error;

/// Settings of the logger.
#[derive(Debug, Clone, Copy)]
pub struct LogSettings {
    /// Most verbose level that is written.
    pub level: LevelFilter,
    /// Whether each line is a JSON object instead of text.
    pub json: bool,
}

quick_error! {
    /// Reason why the logger could not be installed.
    #[derive(Debug)]
    pub enum LogError {
        /// The process has a logger already.
        AlreadyStarted(err: log::SetLoggerError) {
            from()
            source(err)
            display("a logger is installed already: {err}")
        }
    }
}

/// Network and runtime libraries, whose records are limited to warnings and errors.
const LIBRARIES: [&str; 7] = [
    "h2",
    "hyper",
    "tower",
    "tide",
    "async_io",
    "async_std",
    "polling",
];

/// Installs the logger of the process.
///
/// The target of a record names the part of the program that logs it, such as `quorum` or `feed`.
/// Records of the network and runtime libraries are limited to warnings and errors, and to the level
/// of the settings.
///
/// # Errors
///
/// Returns an error if the process has a logger already.
pub fn start(settings: LogSettings) -> Result<(), LogError> {
    let json = settings.json;
    let dispatch = fern::Dispatch::new().level(settings.level);
    let library_level = settings.level.min(LevelFilter::Warn);
    LIBRARIES
        .into_iter()
        .fold(dispatch, |dispatch, library| {
            dispatch.level_for(library, library_level)
        })
        .format(move |out, message, record| {
            if json {
                out.finish(format_args!("{}", json_line(&message.to_string(), record)));
                return;
            }
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            out.finish(format_args!(
                "{time} {:<5} {}: {message}",
                record.level(),
                record.target()
            ));
        })
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}

fn json_line(message: &str, record: &Record<'_>) -> String {
    let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    serde_json::json!({
        "time": time,
        "level": record.level().as_str(),
        "part": record.target(),
        "message": message,
    })
    .to_string()
}
