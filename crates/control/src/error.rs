//! Errors that prevent the daemon from starting.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Reason why the daemon can't start.
    #[derive(Debug)]
    pub enum ControlError {
        /// The data folder can't be opened.
        Store(err: store::error::StoreError) {
            from()
            source(err)
            display("the data folder can't be opened: {err}")
        }
        /// The snapshot in the data folder can't be decoded.
        Snapshot(err: serde_json::Error) {
            from()
            source(err)
            display("the snapshot in the data folder can't be decoded: {err}")
        }
        /// A listening address can't be bound.
        Listen(address: SocketAddr, err: io::Error) {
            source(err)
            display("can't listen on {address}: {err}")
        }
        /// A thread or signal handler can't be started.
        Io(err: io::Error) {
            from()
            source(err)
            display("a thread or signal handler can't be started: {err}")
        }
        /// The logger can't be started.
        Log(err: telemetry::logs::LogError) {
            from()
            source(err)
            display("{err}")
        }
        /// The metrics can't be registered.
        Metric(err: telemetry::metrics::MetricError) {
            from()
            source(err)
            display("{err}")
        }
    }
}
