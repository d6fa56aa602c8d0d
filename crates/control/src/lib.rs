//! Control replica daemon.
//!
//! One task owns the [`core::ReplicaCore`], which makes every decision: the replicated log, the
//! verdicts on tickets, the cap shares. All other tasks send it [`call::CoreCall`]s; a thread
//! writes to the disk. A newcomer starts with [`daemon::run`], which puts the parts together.
//!
//! | module | holds |
//! |---|---|
//! | [`settings`] | flags and environment variables, checked |
//! | [`daemon`] | start, run, planned stop |
//! | [`core`] | the decisions |
//! | [`call`] | what tasks ask of the core |
//! | [`shares`] | cap shares of entry hosts |
//! | [`peers`] | links to the other replicas |
//! | [`submitter`] | brings tickets and reads to the leader |
//! | [`replica_service`] | serves the other replicas |
//! | [`shares_service`] | serves cap shares to entry hosts |
//! | [`operator`] | the operators' interface over HTTP |
//! | [`metrics`] | counters, gauges, histograms |
//! | [`error`] | why the daemon can't start |

pub mod call;
pub mod core;
pub mod daemon;
pub mod error;
pub mod metrics;
pub mod operator;
pub mod peers;
pub mod replica_service;
pub mod settings;
pub mod shares;
pub mod shares_service;
pub mod submitter;
