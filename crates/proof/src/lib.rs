//! Test library that starts the system's processes on loopback addresses.
//!
//! A test describes a cluster in a [`plan::ClusterPlan`] and starts it as a
//! [`cluster::ProofCluster`]. It then kills, freezes and restarts the cluster's
//! [`process::ProofProcess`]es while it sends requests to them with [`http::HttpCall`].
//!
//! | module | contents |
//! |---|---|
//! | [`plan`] | the description of a cluster, and its start |
//! | [`cluster`] | a running cluster: submits tickets and waits until they are in force |
//! | [`members`] | control replicas, entry hosts and stand-in backend servers of a cluster |
//! | [`process`] | one child process: start, signals, exit code, restart and log |
//! | [`http`] | HTTP calls with a timeout that return complete answers |
//! | [`wait`] | polling of a condition with a timeout |
//! | [`ports`] | unused loopback addresses |
//! | [`error`] | the error type |

pub mod cluster;
pub mod error;
pub mod http;
pub mod members;
pub mod plan;
pub mod ports;
pub mod process;
pub mod wait;
