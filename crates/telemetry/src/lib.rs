//! Logs, metrics and state dumps of a process.
//!
//! | module | holds |
//! |---|---|
//! | [`logs`] | lines of text or JSON, with a prefix for each part |
//! | [`lines`] | JSON lines on standard output, a bounded number a second |
//! | [`metrics`] | counters and histograms, shown at `/metrics` |
//! | [`replica`] | metrics that each replica of a log has |

pub mod lines;
pub mod logs;
pub mod metrics;
pub mod replica;
