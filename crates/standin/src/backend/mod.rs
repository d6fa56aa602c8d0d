//! Stand-in backend servers.
//!
//! One process hosts many [`server::StandinServer`]s, each on an address of its own. A
//! [`process`] starts them, announces them to entry hosts and ends them on SIGTERM.

pub mod announce;
pub mod control;
pub mod fault;
pub mod process;
pub mod run_log;
pub mod serve;
pub mod server;
pub mod settings;
pub mod stream;
pub mod work;
