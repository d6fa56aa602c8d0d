//! Logs and metrics of a process.
//!
//! | module | contents |
//! |---|---|
//! | [`logs`] | logger that writes text or JSON lines to standard error |
//! | [`lines`] | rate-limited logger that writes JSON lines to standard output |
//! | [`metrics`] | registry of the metrics that `/metrics` exposes |
//! | [`replica`] | metrics of a replica of a replicated log |

pub mod lines;
pub mod logs;
pub mod metrics;
pub mod replica;
