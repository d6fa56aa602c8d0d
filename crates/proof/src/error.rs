//! Why a step of a proof failed.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use quick_error::quick_error;

quick_error! {
    /// Why a step of a proof failed.
    #[derive(Debug)]
    pub enum ProofError {
        /// The program is not in the test's target folder.
        NotBuilt(path: PathBuf) {
            display("{} is not built; run `cargo build --workspace --bins` first", path.display())
        }
        /// A file, socket or process call failed.
        Io(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// An HTTP exchange failed or its answer was cut.
        Http(err: hyper::Error) {
            from()
            source(err)
            display("HTTP exchange failed: {err}")
        }
        /// A call can't be written as an HTTP request.
        Request(err: http::Error) {
            from()
            source(err)
            display("not an HTTP request: {err}")
        }
        /// An answer is not the JSON that was expected.
        Json(err: serde_json::Error) {
            from()
            source(err)
            display("not the JSON expected: {err}")
        }
        /// A bound passed.
        Timeout(what: String, bound: Duration) {
            display("{what} took longer than {bound:?}")
        }
        /// A ticket was refused.
        Refused(why: String) {
            display("the ticket was refused: {why}")
        }
        /// A process is not running.
        Ended(name: String) {
            display("{name} is not running")
        }
        /// A signal could not be sent.
        Signal(err: rustix::io::Errno) {
            from()
            display("signal failed: {err}")
        }
    }
}
