//! The replicated log of the control replicas, as a state machine without input or output.
//!
//! A daemon feeds [`event::Event`]s with the present time into a [`machine::QuorumMachine`] and
//! carries out the [`event::Effect`]s that it returns, in order. The machine never reads a clock,
//! a disk or a network, so that tests can drive any schedule of faults.
//!
//! | module | holds |
//! |---|---|
//! | [`ids`] | terms, indexes and replica numbers |
//! | [`entry`] | log entries, durable state, snapshots |
//! | [`message`] | what replicas send to each other |
//! | [`event`] | what goes into the machine and what comes out |
//! | [`config`] | times and the identity of a replica |

pub mod config;
pub mod entry;
pub mod event;
pub mod ids;
pub mod message;
