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
//! | [`machine`] | the machine, and where each event goes |
//! | [`report`] | its state for a dump |
//!
//! Within the crate, `formation` is the first set-up, `election` the way to a leader,
//! `replication` the leader's part and `follower` the other side, `reads` confirmed reads,
//! `transfer` the planned stop, and `writes` the order of disk and messages.

pub mod config;
mod election;
pub mod entry;
pub mod event;
#[doc(hidden)]
pub mod fault;
mod follower;
mod formation;
pub mod ids;
mod leadership;
mod log;
pub mod machine;
pub mod message;
mod progress;
mod reads;
mod replication;
pub mod report;
mod rounds;
mod transfer;
mod writes;
