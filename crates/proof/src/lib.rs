//! Starts the system's processes for tests on loopback.
//!
//! A test plans a [`cluster::ProofCluster`], starts it, and then kills, freezes and restarts its
//! [`process::ProofProcess`]es while it calls them through [`http::HttpCall`].
//!
//! | module | holds |
//! |---|---|
//! | [`cluster`] | control replicas, entry hosts and stand-in backend servers that belong together |
//! | [`process`] | one process: start, signals, exit code, restart, its log |
//! | [`http`] | calls with a time bound, and whole answers |
//! | [`wait`] | waiting for a condition within a bound |
//! | [`ports`] | free loopback addresses |
//! | [`error`] | why a step failed |

pub mod cluster;
pub mod error;
pub mod http;
pub mod ports;
pub mod process;
pub mod wait;
