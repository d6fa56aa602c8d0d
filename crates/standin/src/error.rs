//! Why a command ended.

use std::io;

use model::fault::InputFault;
use quick_error::quick_error;

quick_error! {
    /// Why a command ended.
    #[derive(Debug)]
    pub enum StandinError {
        /// The settings are wrong.
        Settings(faults: Vec<InputFault>) {
            from()
            display("{}", lines(faults))
        }
        /// A file or socket failed.
        Io(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// Logging could not start.
        Logs(err: telemetry::logs::LogError) {
            from()
            source(err)
            display("{err}")
        }
        /// A call failed.
        Call(err: crate::client::CallError) {
            from()
            source(err)
            display("{err}")
        }
        /// No free address was found.
        Ports(err: proof::error::ProofError) {
            from()
            source(err)
            display("{err}")
        }
        /// A step of a scenario gave something else than it needs.
        Scenario(text: String) {
            display("{text}")
        }
    }
}

fn lines(faults: &[InputFault]) -> String {
    let lines: Vec<_> = faults.iter().map(InputFault::to_string).collect();
    lines.join("\n")
}
