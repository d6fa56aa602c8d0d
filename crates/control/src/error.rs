//! Why the daemon can't start or run.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Why the daemon can't start or run.
    #[derive(Debug)]
    pub enum ControlError {
        /// The data folder can't be used.
        Store(err: store::error::StoreError) {
            from()
            source(err)
            display("the data folder can't be used: {err}")
        }
        /// The snapshot in the data folder has another form.
        Snapshot(err: serde_json::Error) {
            from()
            source(err)
            display("the snapshot can't be read: {err}")
        }
        /// An address can't be listened on.
        Listen(address: SocketAddr, err: io::Error) {
            source(err)
            display("can't listen on {address}: {err}")
        }
        /// A thread or signal handler can't be set up.
        Io(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// Logs can't be started.
        Log(err: telemetry::logs::LogError) {
            from()
            source(err)
            display("{err}")
        }
        /// Metrics can't be set up.
        Metric(err: telemetry::metrics::MetricError) {
            from()
            source(err)
            display("{err}")
        }
    }
}
