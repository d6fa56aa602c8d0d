//! Time source that tests pause and advance.
//!
//! Decisions take the present moment as an argument; only the edges of a process read a
//! [`TimeSource`] and wait on it.

mod manual;
mod source;

pub use manual::ManualClock;
pub use source::TimeSource;
