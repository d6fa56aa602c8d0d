//! Logs: lines of text or JSON on standard error, with the part's prefix.

use std::time::SystemTime;

use log::{LevelFilter, Record};
use quick_error::quick_error;

/// How a process logs.
#[derive(Debug, Clone, Copy)]
pub struct LogSettings {
    /// Lowest level that is shown.
    pub level: LevelFilter,
    /// One JSON object a line in place of text.
    pub json: bool,
}

quick_error! {
    /// Why logging could not start.
    #[derive(Debug)]
    pub enum LogError {
        /// A logger is there already.
        Started(err: log::SetLoggerError) {
            from()
            source(err)
            display("logs are started already: {err}")
        }
    }
}

/// Starts logging for the process.
///
/// The target of a record is its part, such as `quorum` or `feed`.
///
/// # Errors
///
/// Fails where the process has a logger already.
pub fn start(settings: LogSettings) -> Result<(), LogError> {
    let json = settings.json;
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level(settings.level)
        .level_for("h2", LevelFilter::Warn)
        .level_for("hyper", LevelFilter::Warn)
        .level_for("tower", LevelFilter::Warn)
        .level_for("tide", LevelFilter::Warn)
        .level_for("async_io", LevelFilter::Warn)
        .level_for("async_std", LevelFilter::Warn)
        .level_for("polling", LevelFilter::Warn)
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
