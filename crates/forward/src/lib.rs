//! Request path from callers to backend servers.
//!
//! A newcomer starts with [`server::CallerServer`], which an entry host runs on its listener for
//! callers. It gives each request below `/s/{service}/` to a [`forwarder::RequestForwarder`] and
//! every other one to [`edges::OtherRoutes`].
//!
//! | module | holds |
//! |---|---|
//! | [`settings`] | bounds and times of the request path |
//! | [`server`] | connections of callers, planned stop |
//! | [`facts`] | what a request's head says, checked |
//! | [`forwarder`] | one request from its first attempt to its answer |
//! | [`routes`] | which backend server takes the next attempt |
//! | [`steered`] | that choice by what is in force and who announced themselves |
//! | [`fixed`] | that choice from a list, for contract tests and measurements |
//! | [`lease`] | room on a backend server for one attempt |
//! | [`edges`] | what the process around this crate provides |
//! | [`claimed`] | runs under an idempotency key |
//! | [`refusal`] | answers made here, with their outcome and reason |
//! | [`body`] | bodies that count and never pass on a part as a whole |
//! | [`metrics`] | counters of the request path |
//! | [`headers`] | headers that belong to one connection only |

pub mod body;
pub mod claimed;
pub mod edges;
pub mod facts;
pub mod fixed;
pub mod forwarder;
pub mod headers;
pub mod lease;
pub mod metrics;
pub mod refusal;
pub mod routes;
pub mod server;
pub mod settings;
pub mod steered;

mod attempt;
mod connection;
mod hold;
mod pool;
mod run;
mod tap;
