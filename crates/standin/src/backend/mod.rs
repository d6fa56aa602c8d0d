//! Stand-in backend servers.
//!
//! One process hosts many [`server::StandinServer`]s, each on its own address. The module
//! [`process`] starts them, announces them to the entry hosts and drains them on SIGTERM.

pub mod announce;
pub mod control;
pub mod fault;
pub mod process;
pub mod request_counts;
pub mod serve;
pub mod server;
pub mod settings;
pub mod stream;
pub mod work;
