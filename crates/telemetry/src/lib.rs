//! Logs, metrics and state dumps of a process.
//!
//! | module | holds |
//! |---|---|
//! | [`logs`] | lines of text or JSON, with a prefix for each part |
//! | [`metrics`] | counters and histograms, shown at `/metrics` |

pub mod lines;
pub mod logs;
pub mod metrics;
