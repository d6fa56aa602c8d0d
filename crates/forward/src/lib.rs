//! Request path from callers to backend servers.
//!
//! An entry host runs a [`server::CallerServer`] on its listener for callers. The server passes
//! each request below `/s/{service}/` to a [`forwarder::RequestForwarder`] and every other request
//! to the [`hooks::FallbackHandler`] of the process.
//!
//! A request makes one or more *attempts*, each of which sends it to one backend server. A later
//! attempt is a *retry*, and an attempt that runs beside a slow one is a *hedge*. An *answer* is
//! the response of a backend server; a *refusal* is an error response that the entry host creates
//! itself. A refusal states whether the request certainly did not run or may have run.
//!
//! | module | content |
//! |---|---|
//! | [`settings`] | limits and timeouts of the request path |
//! | [`server`] | connections of callers, graceful shutdown |
//! | [`head`] | validation of request heads |
//! | [`forwarder`] | attempts, retries and hedges of a request |
//! | [`routes`] | selection of the backend server for each attempt |
//! | [`steered`] | selection by the current state and the announcements of backend servers |
//! | [`fixed`] | selection from a fixed list, for contract tests and measurements |
//! | [`permit`] | capacity of a backend server that is reserved for one attempt |
//! | [`hooks`] | traits that the process which embeds this crate implements |
//! | [`idempotency`] | requests that run under an idempotency key |
//! | [`refusal`] | error responses with their outcome and reason |
//! | [`body`] | bodies of requests and responses |
//! | [`metrics`] | metrics of the request path |
//! | [`headers`] | removal of headers that must not be forwarded |

pub mod body;
pub mod fixed;
pub mod forwarder;
pub mod head;
pub mod headers;
pub mod hooks;
pub mod idempotency;
pub mod metrics;
pub mod permit;
pub mod refusal;
pub mod routes;
pub mod server;
pub mod settings;
pub mod steered;

mod attempt;
mod buffer;
mod connection;
mod pool;
mod recorder;
mod run;
