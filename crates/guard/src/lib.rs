//! Limits, deadlines and budgets that guard backend servers against overload.
//!
//! Every item is shared by many threads, holds its figures in atomics and takes the present
//! moment as an argument.
//!
//! | module | holds |
//! |---|---|
//! | [`class`] | the priority class of one request |
//! | [`shedder`] | refusal by class: bulk first, then reads, writes last |
//! | [`limit`] | adaptive concurrency limit of one backend server |
//! | [`deadline`] | the moment by which a request must be answered |
//! | [`budget`] | retry and hedge budgets as shares of requests |
//! | [`bucket`] | a rate limit in one atomic |
//! | [`window`] | a strict limit on units in every 100 ms window |
//! | [`waiting`] | a short and bounded wait for room |
//! | [`come_back`] | when a refused caller should come back |
//! | [`atomic`] | atomic floating-point figures and a monotonic time base |

pub mod atomic;
pub mod bucket;
pub mod budget;
pub mod class;
pub mod come_back;
pub mod deadline;
pub mod limit;
pub mod shedder;
pub mod waiting;
pub mod window;

pub use bucket::RateBucket;
pub use budget::{HedgeBudget, RetryBudget};
pub use class::RequestClass;
pub use come_back::come_back_after;
pub use deadline::RequestDeadline;
pub use limit::{AdaptiveLimit, LimitSample};
pub use shedder::ClassShedder;
pub use waiting::{RoomWait, WaitingRoom};
pub use window::WindowLimit;
