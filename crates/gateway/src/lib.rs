//! Request path of an entry host that learns routes and backend servers from the control replicas.
//!
//! [`follower`] keeps the state up to date with the control replicas, [`server`] serves client
//! connections, and [`forwarder`] forwards each request to a backend server or refuses it. The
//! `balance` crate chooses the backend server.
//!
//! | module | holds |
//! |---|---|
//! | `quotas` | quotas of organisations |
//! | [`settings`] | addresses, times, names of headers |
//! | [`state`] | routes, backend servers and readiness of the host |
//! | [`follower`] | state updates from the control replicas |
//! | [`proximity`] | control replicas nearby |
//! | [`server`] | client connections and graceful shutdown |
//! | [`pipeline`] | client connections with pipelined requests |
//! | [`close`] | when client connections end, and why |
//! | `sequential` | requests that hyper serves: those with a body, and odd heads |
//! | `tracker` | what a client connection is used for, and when it ends |
//! | [`stream`] | client socket that detects a disconnect |
//! | [`access`] | whose request it is, and where it may run |
//! | `intake` | checks of a request before it is forwarded |
//! | `refusal` | log lines of requests that get no backend server |
//! | [`request`] | request in the form in which it is forwarded |
//! | [`forwarder`] | attempts, hedges and the answer to the client |
//! | [`attempt`] | one attempt at one backend server |
//! | [`pool`] | connections to backend servers |
//! | `body` | bodies of clients' requests |
//! | [`buffer`] | memory for buffered bodies |
//! | [`limit`] | what an answer says of its server's limit |
//! | [`load`] | the load that a server reports in its answers |
//! | [`metrics`] | counters and histograms |
//! | [`answer`] | answers that the host generates itself |

pub mod access;
pub mod answer;
pub mod attempt;
mod body;
pub mod buffer;
pub mod close;
pub mod follower;
pub mod forwarder;
mod intake;
pub mod limit;
pub mod load;
pub mod metrics;
pub mod pipeline;
pub mod pool;
pub mod proximity;
mod quotas;
mod refusal;
pub mod request;
mod sequential;
pub mod server;
pub mod settings;
pub mod state;
pub mod stream;
mod tracker;
