//! Request path of an entry host whose deployment finds itself.
//!
//! [`follower`] keeps the state from the control replicas, [`server`] serves the connections of
//! clients, and [`forwarder`] takes each request to a backend server, or refuses it. What is
//! decided about load stands in the `balance` crate.
//!
//! | module | holds |
//! |---|---|
//! | [`settings`] | addresses, times, names of headers |
//! | [`state`] | what the host knows: routes, backend servers, phase |
//! | [`follower`] | the way of the state from the control replicas |
//! | [`server`] | connections of clients and their planned stop |
//! | [`pipeline`] | connections on which several requests run side by side |
//! | [`stream`] | a client's socket, with notice of its end |
//! | [`request`] | a request as it is forwarded |
//! | [`forwarder`] | attempts, hedges, final answers |
//! | [`attempt`] | one sending to one backend server |
//! | [`pool`] | connections to backend servers |
//! | [`metrics`] | counters and histograms |
//! | [`answer`] | answers of the host itself |

pub mod answer;
pub mod attempt;
pub mod follower;
pub mod forwarder;
pub mod metrics;
pub mod pipeline;
pub mod pool;
pub mod request;
pub mod server;
pub mod settings;
pub mod state;
pub mod stream;
