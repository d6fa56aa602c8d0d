//! Replicated state of a deployment: its routes, its backend servers and the evacuated zones.
//!
//! Control replicas apply [`command::FleetCommand`]s in log order to a [`state::FleetState`]; entry
//! hosts keep a copy that they update from [`change::FleetChange`]s. This crate does no input or
//! output.
//!
//! | module | holds |
//! |---|---|
//! | [`access`] | organisations, their keys, quotas and homes |
//! | [`hint`] | hints about backend servers |
//! | [`ids`] | names and numbers |
//! | [`limit`] | request rates that backend servers take |
//! | [`site`] | the validated configuration: virtual hosts, routes, services, limits |
//! | [`server`] | the record that a backend server announces |
//! | [`membership`] | which announcements and leave calls list, replace or remove a server |
//! | [`command`] | the commands that change the state, and their outcomes |
//! | [`suspect`] | evidence on requests during whose runs servers ended |
//! | [`delta`] | differences between configurations |
//! | [`history`] | the differences that led to the configuration in force |
//! | [`list`] | differences between lists |
//! | [`parts`] | a configuration in parts |
//! | [`state`] | the replicated state machine |
//! | [`change`] | the change log from which entry hosts update their copies |

pub mod access;
pub mod change;
pub mod command;
pub mod delta;
pub mod hint;
pub mod history;
pub mod ids;
pub mod limit;
pub mod list;
pub mod membership;
pub mod parts;
pub mod server;
pub mod site;
pub mod state;
pub mod suspect;
