//! gRPC messages and connections between the processes of the system, and HTTP connections to
//! backend servers and from clients.
//!
//! The messages and services are defined in `proto/wisteria.proto`. `cargo run -p codegen`
//! generates the code in [`v1`] from that file. The code is committed, so that a build runs no
//! generator.
//!
//! | module | contents |
//! |---|---|
//! | [`v1`] | generated messages, clients and servers |
//! | [`backlog`] | closing of a listener under load |
//! | [`dial`] | outgoing gRPC connections, and limits on message sizes |
//! | [`listen`] | limits on incoming gRPC connections |
//! | [`token`] | the access token of a call, and interceptors that add and check it |
//! | [`http`] | HTTP/1 connections to backend servers |
//! | [`served`] | accepted HTTP/1 connections, and how they end |
//! | [`status`] | which statuses end an exchange |
//! | [`metered`] | a stream with limited reads |

pub mod backlog;
pub mod dial;
pub mod http;
pub mod listen;
pub mod metered;
pub mod served;
pub mod status;
pub mod token;

mod activity;

/// Generated messages, clients and servers.
#[allow(
    missing_docs,
    rust_2018_idioms,
    unreachable_pub,
    clippy::all,
    clippy::ignored_unit_patterns,
    clippy::expect_used,
    clippy::unwrap_used
)]
#[rustfmt::skip]
pub mod v1 {
    include!("generated/wisteria.v1.rs");
}
