//! The `wisteria` program, the command-line client for operators.

use std::io::{self, Write};
use std::process::ExitCode;

use cli::args::{ClientArgs, ClientCommand, ReportFormat};
use cli::error::ClientError;
use cli::exit::ExitStatus;
use cli::report::CommandReport;
use cli::{help, render, run};

fn main() -> ExitCode {
    let env = std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)));
    let args = match ClientArgs::parse(std::env::args_os().skip(1), env) {
        Ok(args) => args,
        Err(faults) => return print_error(&ClientError::Usage(faults)),
    };
    match args.command {
        ClientCommand::Help => return print_text(help::HELP, ExitStatus::Done),
        ClientCommand::Version => {
            let version = concat!("wisteria ", env!("CARGO_PKG_VERSION"), "\n");
            return print_text(version, ExitStatus::Done);
        }
        _ => (),
    }
    let format = args.format;
    match async_std::task::block_on(run::run(args)) {
        Ok(report) => print_report(&report, format),
        Err(e) => print_error(&e),
    }
}

fn print_report(report: &CommandReport, format: ReportFormat) -> ExitCode {
    print_text(&render::render(report, format), report.exit_status())
}

fn print_text(text: &str, status: ExitStatus) -> ExitCode {
    // A closed pipe, as with `wisteria tickets | head`, is no error.
    let _ = io::stdout().write_all(text.as_bytes());
    ExitCode::from(status as u8)
}

fn print_error(error: &ClientError) -> ExitCode {
    // A message that can't be written is dropped; the exit code still reports the error.
    let _ = writeln!(io::stderr(), "wisteria: {error}");
    ExitCode::from(error.exit_status() as u8)
}
