//! Starts the system's processes for tests on loopback.
//!
//! A test makes a [`plan::ClusterPlan`], starts a [`cluster::ProofCluster`] by it, and then kills,
//! freezes and restarts its [`process::ProofProcess`]es while it calls them through
//! [`http::HttpCall`].
//!
//! | module | holds |
//! |---|---|
//! | [`plan`] | what a cluster consists of, and its start |
//! | [`cluster`] | a running cluster: tickets, and what is in force where |
//! | [`members`] | its control replicas, entry hosts and stand-in backend servers |
//! | [`process`] | one process: start, signals, exit code, restart, its log |
//! | [`http`] | calls with a time bound, and whole answers |
//! | [`wait`] | waiting for a condition within a bound |
//! | [`ports`] | free loopback addresses |
//! | [`error`] | why a step failed |

pub mod cluster;
pub mod error;
pub mod http;
pub mod members;
pub mod plan;
pub mod ports;
pub mod process;
pub mod wait;
