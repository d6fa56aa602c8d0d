//! What a deployment is made of: its routes, its backend servers and the zones that are evacuated.
//!
//! Control replicas apply [`command::FleetCommand`]s in log order to a [`state::FleetState`]; entry
//! hosts keep a copy of it from [`change::FleetChange`]s. Nothing here does input or output.
//!
//! | module | holds |
//! |---|---|
//! | [`ids`] | names and numbers |
//! | [`site`] | the checked configuration: hosts, routes, services, limits |
//! | [`server`] | a backend server as it announces itself |
//! | [`command`] | what changes the state, and how each command ended |
//! | [`state`] | the state that all replicas agree on |
//! | [`change`] | changes in the order in which they were made, for those that follow |

pub mod change;
pub mod command;
pub mod ids;
pub mod server;
pub mod site;
pub mod state;
