//! Limits, deadlines and budgets that protect backend servers against overload.
//!
//! The limiters are shared between threads and keep their state in atomics. Functions that depend
//! on time take the current time as an argument.
//!
//! | module | contents |
//! |---|---|
//! | [`class`] | priority class of a request |
//! | [`shedder`] | load shedding by class: bulk first, then reads, writes last |
//! | [`limit`] | adaptive concurrency limit of one backend server |
//! | [`deadline`] | deadline of a request |
//! | [`budget`] | retry and hedge budgets, proportional to the number of requests |
//! | [`bucket`] | lock-free rate limit |
//! | [`window`] | strict limit on the requests in every 100 ms window |
//! | [`wait`] | limit on the requests that wait for capacity, and on their waiting time |
//! | [`retry_after`] | `Retry-After` value of a refusal |
//! | [`atomic`] | atomic floating-point numbers and timestamps as integers |

pub mod atomic;
pub mod bucket;
pub mod budget;
pub mod class;
pub mod deadline;
pub mod limit;
pub mod retry_after;
pub mod shedder;
pub mod wait;
pub mod window;

pub use bucket::RateBucket;
pub use budget::{HedgeBudget, RetryBudget};
pub use class::RequestClass;
pub use deadline::RequestDeadline;
pub use limit::{AdaptiveLimit, LimitSample};
pub use retry_after::spread_retry_after;
pub use shedder::ClassShedder;
pub use wait::{WaitLimit, WaitPermit};
pub use window::WindowLimit;
