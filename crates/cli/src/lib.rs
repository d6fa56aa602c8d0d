//! Command-line client for operators.
//!
//! The program parses its arguments into [`args::ClientArgs`]. [`run`] executes the command and
//! returns its result as a [`report::CommandReport`], which [`render`] formats as a table or JSON.
//!
//! | module | contents |
//! |---|---|
//! | [`args`] | parsed commands and settings |
//! | [`help`] | the help text |
//! | [`schema`] | validation of the field names and types of a ticket file |
//! | [`check`] | offline validation of ticket files |
//! | [`client`] | HTTP client for control replicas and entry hosts |
//! | [`preview`] | the verdict that a ticket would get |
//! | [`logs`] | reading of the log lines of processes |
//! | [`explain`] | what became of a request, from the logs |
//! | [`report`] | results of commands |
//! | [`run`] | execution of commands |
//! | [`render`] | formatting of reports as tables or JSON |
//! | [`exit`] | exit codes |
//! | [`error`] | errors of commands |

pub mod args;
pub mod check;
pub mod client;
pub mod error;
pub mod exit;
pub mod explain;
pub mod help;
pub mod logs;
pub mod preview;
pub mod render;
pub mod report;
pub mod run;
pub mod schema;
