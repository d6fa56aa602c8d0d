//! The program `wisteria-standin`.

use std::ffi::OsString;
use std::fs;
use std::io::{self, Write};
use std::process::ExitCode;

use async_std::task;
use log::LevelFilter;
use settings::reader::SettingReader;
use standin::backend::process;
use standin::backend::settings as backend_settings;
use standin::caller;
use standin::error::StandinError;
use standin::load::run;
use standin::load::settings as load_settings;
use telemetry::logs::{self, LogSettings};

const HELP: &str = "\
Stand-in backend servers and a load tool, for tests only

Usage: wisteria-standin COMMAND [FLAGS]

Commands:
  backend    hosts stand-in backend servers
  load       sends a seeded sequence of requests and measures their outcomes
  caller     sends one request of each kind and prints the outcomes
  ports      prints COUNT free loopback addresses

Each command has its own --help.
";

fn main() -> ExitCode {
    let mut args: Vec<OsString> = std::env::args_os().skip(1).collect();
    let command = match args.first().map(|arg| arg.to_string_lossy().into_owned()) {
        Some(command) => {
            args.remove(0);
            command
        }
        None => String::new(),
    };
    let help = args.iter().any(|arg| arg == "--help");
    match (command.as_str(), help) {
        ("backend", true) => print(&format!("{}\n", backend_settings::HELP)),
        ("load", true) => print(&format!("{}\n", load_settings::HELP)),
        ("backend", false) => exit_code(run_backend(args)),
        ("load", false) => exit_code(run_load(args)),
        ("caller", true) => print(&format!("{}\n", caller::HELP)),
        ("caller", false) => exit_code(run_caller(args)),
        ("ports", false) => exit_code(print_ports(&args)),
        ("--help", _) => print(HELP),
        ("--version", _) => print(concat!(
            "wisteria-standin ",
            env!("CARGO_PKG_VERSION"),
            "\n"
        )),
        _ => {
            // Errors are ignored, as there is no reader left to report them to.
            let _ = io::stderr().write_all(HELP.as_bytes());
            ExitCode::from(2)
        }
    }
}

fn run_backend(args: Vec<OsString>) -> Result<ExitCode, StandinError> {
    let settings = backend_settings::BackendSettings::try_from(setting_reader(args))?;
    start_logs()?;
    task::block_on(task::spawn(process::run(settings)))?;
    Ok(ExitCode::SUCCESS)
}

/// Runs the load tool; the exit code is 1 if a guarantee was violated.
fn run_load(args: Vec<OsString>) -> Result<ExitCode, StandinError> {
    let settings = load_settings::LoadSettings::try_from(setting_reader(args))?;
    start_logs()?;
    let scenario = run::read_scenario(&settings)?;
    let json = settings.json.clone();
    let report = task::block_on(task::spawn(
        async move { run::run(settings, &scenario).await },
    ))?;
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&report).unwrap_or_default();
        fs::write(path, text)?;
    }
    print(&report.tables());
    if report.is_clean() {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::FAILURE)
}

/// Runs the caller; the exit code is 1 if a request got no complete answer.
fn run_caller(args: Vec<OsString>) -> Result<ExitCode, StandinError> {
    let settings = caller::CallerSettings::try_from(setting_reader(args))?;
    let results = task::block_on(task::spawn(caller::run(settings)))?;
    let lines: String = results.iter().map(|result| format!("{result}\n")).collect();
    print(&lines);
    if results.iter().all(caller::CallerResult::is_answered) {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::FAILURE)
}

fn print_ports(args: &[OsString]) -> Result<ExitCode, StandinError> {
    let count = args.first().and_then(|arg| arg.to_str()?.parse().ok());
    for _ in 0..count.unwrap_or(1) {
        print(&format!("{}\n", proof::ports::free_address()?));
    }
    Ok(ExitCode::SUCCESS)
}

fn setting_reader(args: Vec<OsString>) -> SettingReader {
    let env = std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)));
    SettingReader::new(args, env)
}

fn start_logs() -> Result<(), StandinError> {
    logs::start(LogSettings {
        level: LevelFilter::Info,
        json: false,
    })?;
    Ok(())
}

fn print(text: &str) -> ExitCode {
    // Errors are ignored, as there is no reader left to report them to.
    let _ = io::stdout().write_all(text.as_bytes());
    ExitCode::SUCCESS
}

/// Returns the exit code of a command, and prints its error; the exit code of an error is 2.
fn exit_code(result: Result<ExitCode, StandinError>) -> ExitCode {
    match result {
        Ok(code) => code,
        Err(e) => {
            // Errors are ignored, as there is no reader left to report them to.
            let _ = writeln!(io::stderr(), "wisteria-standin: {e}");
            ExitCode::from(2)
        }
    }
}
