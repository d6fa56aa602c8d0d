//! Why a command gave no report.

use std::io;

use model::fault::InputFault;
use quick_error::quick_error;

use crate::exit::ExitStatus;

quick_error! {
    /// Why a command gave no report.
    #[derive(Debug)]
    pub enum ClientError {
        /// The arguments or settings are wrong.
        Usage(faults: Vec<InputFault>) {
            display("{}", lines(faults))
        }
        /// A file can't be read.
        File(path: String, err: io::Error) {
            source(err)
            display("{path}: {err}")
        }
        /// The ticket or request is refused.
        Refused(why: String) {
            display("refused: {why}")
        }
        /// Nobody gave an answer in time.
        Unknown(why: String) {
            display("unknown: {why}")
        }
    }
}

impl ClientError {
    /// Returns the exit code.
    pub fn exit(&self) -> ExitStatus {
        match self {
            Self::Usage(_) | Self::File(..) => ExitStatus::Usage,
            Self::Refused(_) => ExitStatus::Refused,
            Self::Unknown(_) => ExitStatus::Unknown,
        }
    }
}

fn lines(faults: &[InputFault]) -> String {
    let lines: Vec<_> = faults.iter().map(InputFault::to_string).collect();
    lines.join("\n")
}
