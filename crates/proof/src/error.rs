//! The error type of the test library.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use quick_error::quick_error;

quick_error! {
    /// An error of a test's process, call or wait.
    #[derive(Debug)]
    pub enum ProofError {
        /// The program does not exist in the target folder of the running test.
        NotBuilt(path: PathBuf) {
            display("{} is not built; run `cargo build --workspace --bins` first", path.display())
        }
        /// A file, socket or process operation failed.
        Io(err: io::Error) {
            from()
            source(err)
            display("file, socket or process operation failed: {err}")
        }
        /// An HTTP exchange failed, or its answer is truncated.
        Http(err: hyper::Error) {
            from()
            source(err)
            display("HTTP exchange failed: {err}")
        }
        /// A call has no valid form as an HTTP request.
        Request(err: http::Error) {
            from()
            source(err)
            display("cannot build the HTTP request: {err}")
        }
        /// The body of an answer is not valid JSON.
        Json(err: serde_json::Error) {
            from()
            source(err)
            display("cannot parse the answer as JSON: {err}")
        }
        /// A call or a wait reached its timeout.
        Timeout(what: String, timeout: Duration) {
            display("{what} took longer than {timeout:?}")
        }
        /// The control replicas rejected a ticket.
        Refused(reason: String) {
            display("the ticket was rejected: {reason}")
        }
        /// No port is free.
        NoPort {
            display("no port is free")
        }
        /// A process ended, or didn't answer, while its start was awaited.
        NotStarted(name: String, ended: bool, log: String) {
            display("{name} {}; its log: {log}", if *ended { "ended" } else { "does not answer" })
        }
        /// The process is not running.
        NotRunning(name: String) {
            display("{name} is not running")
        }
        /// Sending a signal to a process failed.
        Signal(err: rustix::io::Errno) {
            from()
            display("cannot send the signal: {err}")
        }
    }
}
