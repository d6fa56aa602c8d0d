//! Domain types that all crates share: change tickets, the state in force and announcements.
//!
//! Start with [`ticket`]. An operator's change ticket is parsed from TOML or JSON into a
//! [`raw::RawTicket`] and validated into a [`ticket::ChangeTicket`]. Accepted tickets are applied
//! in order to a [`state::ForceState`], the configuration that is in force.
//!
//! | module | contents |
//! |---|---|
//! | [`ids`] | names and numbers that identify tickets, regions, zones, hosts and services |
//! | [`raw`] | a ticket as parsed, before validation |
//! | [`ticket`] | a validated ticket |
//! | [`spec`] | specifications of regions, links, entry hosts, services and address blocks |
//! | [`state`] | the configuration in force, its revision and digest |
//! | [`fault`] | validation errors: the field, its value and what is allowed |
//! | [`backend`] | announcements of backend servers |
//! | [`outcome`] | outcomes and refusal reasons of callers' requests, and the headers for them |

pub mod backend;
pub mod fault;
pub mod ids;
pub mod outcome;
pub mod raw;
pub mod spec;
pub mod state;
pub mod ticket;
