//! Errors of commands.

use std::io;

use ledger::verdict::TicketVerdict;
use model::fault::InputFault;
use model::ids;
use quick_error::quick_error;

use crate::exit::ExitStatus;

quick_error! {
    /// An error that prevents a command from returning a report.
    #[derive(Debug)]
    pub enum ClientError {
        /// The arguments or settings are invalid.
        Usage(faults: Vec<InputFault>) {
            display("{}", join_lines(faults))
        }
        /// A file can't be read.
        File(path: String, err: io::Error) {
            source(err)
            display("{path}: {err}")
        }
        /// A process refused the ticket or request.
        Refused(reason: String) {
            display("refused: {reason}")
        }
        /// The process knows nothing under the path.
        NotFound(path: String) {
            display("refused: {path}: not found")
        }
        /// The number is below those of the kept verdicts.
        TooOld(lowest: ids::TicketNumber) {
            display("{}", TicketVerdict::TooOld { lowest: *lowest })
        }
        /// No process gave a usable answer in time, so the result is unknown.
        Unknown(reason: String) {
            display("unknown: {reason}")
        }
    }
}

impl ClientError {
    /// Returns the exit code for this error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) | Self::File(..) => ExitStatus::Usage,
            Self::Refused(_) | Self::NotFound(_) | Self::TooOld(_) => ExitStatus::Refused,
            Self::Unknown(_) => ExitStatus::Unknown,
        }
    }
}

fn join_lines(faults: &[InputFault]) -> String {
    let lines: Vec<_> = faults.iter().map(InputFault::to_string).collect();
    lines.join("\n")
}
