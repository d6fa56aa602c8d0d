//! Control replica daemon.
//!
//! One task owns the [`core::ReplicaCore`], which holds the replicated log, the ledger of tickets
//! and the cap shares, and makes every decision. All other tasks send it [`call::CoreCall`]s. A
//! separate thread writes to the disk. Start reading at [`daemon::run`], which connects the parts.
//!
//! | module | holds |
//! |---|---|
//! | [`settings`] | checked flags and environment variables |
//! | [`daemon`] | start, run loop and planned stop |
//! | [`core`] | decisions of the replica, without I/O |
//! | [`call`] | calls to the core and their outcomes |
//! | [`reopener`] | opening of the data folder, also after the disk failed |
//! | [`shares`] | cap shares that the leader grants to entry hosts |
//! | [`peers`] | links to the other replicas |
//! | [`leader_client`] | submits tickets and confirms reads at the leader, with retries |
//! | [`replica_service`] | gRPC service for the other replicas |
//! | [`shares_service`] | gRPC service that grants cap shares to entry hosts |
//! | [`operator`] | HTTP interface for operators |
//! | [`metrics`] | counters, gauges and histograms |
//! | [`error`] | errors that prevent the daemon from starting |

pub mod call;
pub mod core;
pub mod daemon;
pub mod error;
pub mod leader_client;
pub mod metrics;
pub mod operator;
pub mod peers;
pub mod reopener;
pub mod replica_service;
pub mod settings;
pub mod shares;
pub mod shares_service;
