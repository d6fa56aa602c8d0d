//! The `wisteria` program.

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
    let args = match ClientArgs::read(std::env::args_os().skip(1), env) {
        Ok(args) => args,
        Err(faults) => return fail(&ClientError::Usage(faults)),
    };
    match args.command {
        ClientCommand::Help => return print(help::HELP, ExitStatus::Done),
        ClientCommand::Version => {
            let version = concat!("wisteria ", env!("CARGO_PKG_VERSION"), "\n");
            return print(version, ExitStatus::Done);
        }
        _ => (),
    }
    let format = args.format;
    match async_std::task::block_on(run::run(args)) {
        Ok(report) => show(&report, format),
        Err(e) => fail(&e),
    }
}

fn show(report: &CommandReport, format: ReportFormat) -> ExitCode {
    print(&render::render(report, format), report.exit())
}

fn print(text: &str, exit: ExitStatus) -> ExitCode {
    // A reader that has gone away needs no message.
    let _ = io::stdout().write_all(text.as_bytes());
    ExitCode::from(exit as u8)
}

fn fail(error: &ClientError) -> ExitCode {
    // A reader that has gone away needs no message.
    let _ = writeln!(io::stderr(), "wisteria: {error}");
    ExitCode::from(error.exit() as u8)
}
