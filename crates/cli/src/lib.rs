//! Command line client for operators.
//!
//! A run reads its arguments into [`args::ClientArgs`], carries them out in [`run`], and gets a
//! [`report::CommandReport`] of plain data, which [`render`] writes as a table or JSON.
//!
//! | module | holds |
//! |---|---|
//! | [`args`] | commands and settings, checked |
//! | [`help`] | the help text |
//! | [`schema`] | which fields a ticket file may have |
//! | [`check`] | every fault of a ticket file, without a network |
//! | [`client`] | calls to control replicas and entry hosts |
//! | [`preview`] | what would be said of a ticket |
//! | [`report`] | what a command found |
//! | [`run`] | carries a command out |
//! | [`render`] | reports as tables or JSON |
//! | [`exit`] | exit codes |
//! | [`error`] | why a command gave no report |

pub mod args;
pub mod check;
pub mod client;
pub mod error;
pub mod exit;
pub mod help;
pub mod preview;
pub mod render;
pub mod report;
pub mod run;
pub mod schema;
