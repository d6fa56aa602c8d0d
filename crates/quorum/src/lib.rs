//! Replicated log of the control replicas: a Raft implementation as a state machine without I/O.
//!
//! A daemon passes [`event::Event`]s with the current time to a [`machine::QuorumMachine`] and
//! executes the returned [`event::Effect`]s in order. The machine never accesses a clock, disk or
//! network, so tests can run any schedule of faults.
//!
//! | module | content |
//! |---|---|
//! | [`ids`] | replica ids, terms, indexes |
//! | [`entry`] | log entries, durable state, snapshots |
//! | [`message`] | messages between replicas |
//! | [`event`] | inputs and outputs of the state machine |
//! | [`config`] | configuration of a replica |
//! | [`machine`] | the state machine and its event dispatch |
//! | [`report`] | state of a replica for dumps |
//!
//! Private modules: `bootstrap` starts a new cluster, `membership` says who votes, `election` elects
//! leaders, `leadership` holds the leader's state, `replication` and `follower` are the two sides of
//! log replication with `progress` per peer, `rounds` tracks heartbeats for `reads` and the lease, `transfer` hands over
//! the leadership at a planned stop, `log` holds the entries in memory, and `writes` orders disk
//! writes and messages.

mod bootstrap;
pub mod config;
mod election;
pub mod entry;
pub mod event;
#[doc(hidden)]
pub mod fault;
mod follower;
pub mod ids;
mod leadership;
mod log;
pub mod machine;
mod membership;
pub mod message;
mod progress;
mod reads;
mod replication;
pub mod report;
mod rounds;
mod transfer;
mod writes;
