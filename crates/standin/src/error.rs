//! The error type of the commands.

use std::io;

use model::fault::InputFault;
use quick_error::quick_error;

quick_error! {
    /// An error that ends a command.
    #[derive(Debug)]
    pub enum StandinError {
        /// The settings or the scenario are invalid.
        Settings(faults: Vec<InputFault>) {
            from()
            display("{}", fault_lines(faults))
        }
        /// A file, socket or signal operation failed.
        Io(err: io::Error) {
            from()
            source(err)
            display("file, socket or signal operation failed: {err}")
        }
        /// Initialising the log failed.
        Logs(err: telemetry::logs::LogError) {
            from()
            source(err)
            display("cannot initialise the log: {err}")
        }
        /// A call to a process of the cluster failed.
        Call(err: crate::client::CallError) {
            from()
            source(err)
            display("call to a process of the cluster failed: {err}")
        }
        /// Finding a free address failed.
        Ports(err: proof::error::ProofError) {
            from()
            source(err)
            display("cannot find a free address: {err}")
        }
        /// A step of a scenario failed.
        Scenario(text: String) {
            display("{text}")
        }
    }
}

fn fault_lines(faults: &[InputFault]) -> String {
    let lines: Vec<_> = faults.iter().map(InputFault::to_string).collect();
    lines.join("\n")
}
