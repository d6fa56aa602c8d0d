//! Checked types that every part of the system shares.
//!
//! A newcomer starts with [`ticket`]: an operator's change ticket, read from TOML or JSON into a
//! [`raw::RawTicket`] and checked into a [`ticket::ChangeTicket`]. Accepted tickets are applied in
//! order to a [`state::ForceState`], which is what is in force.
//!
//! | module | holds |
//! |---|---|
//! | [`ids`] | names and numbers of things |
//! | [`raw`] | a ticket as written, unchecked |
//! | [`ticket`] | a ticket after its checks |
//! | [`spec`] | regions, links, entry hosts, services and places |
//! | [`state`] | what is in force, its revision and digest |
//! | [`fault`] | faults found in input: field, value, what is allowed |
//! | [`backend`] | announced backend servers |
//! | [`outcome`] | what became of a caller's request, and its headers |

pub mod backend;
pub mod fault;
pub mod ids;
pub mod outcome;
pub mod raw;
pub mod spec;
pub mod state;
pub mod ticket;
