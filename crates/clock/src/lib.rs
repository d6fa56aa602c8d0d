//! Time source that tests can control.
//!
//! State machines and other decision code take the current time as an argument. Only the code that
//! does I/O reads a [`TimeSource`] and sleeps on it. A test replaces the runtime's clock by a
//! [`ManualClock`], whose time advances only when the test says so.

mod manual;
pub mod pause;
mod source;

pub use manual::ManualClock;
pub use source::TimeSource;
