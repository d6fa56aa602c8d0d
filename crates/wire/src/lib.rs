//! Messages and calls between the processes of the system, and connections to backend servers.
//!
//! The messages stand in `proto/wisteria.proto`; the code in [`v1`] is generated from them by
//! `cargo run -p codegen` and committed, so that a build needs no generator.

pub mod dial;
pub mod http;
pub mod listen;
pub mod token;

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
