//! The moment by which a request must be answered.

use std::time::{Duration, Instant};

use quick_error::quick_error;

quick_error! {
    /// Faults of a deadline header.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DeadlineError {
        /// The value is no whole number of milliseconds within the allowed range.
        Malformed {
            display("the deadline is no whole number of milliseconds from 1 to 600000")
        }
    }
}

/// The moment by which a request must be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestDeadline {
    at: Instant,
}

impl RequestDeadline {
    /// Time that a request without a deadline header gets.
    pub const DEFAULT: Duration = Duration::from_secs(10);
    /// Longest time that a caller may ask for.
    pub const MAX: Duration = Duration::from_secs(600);

    /// Creates a deadline some time from now.
    pub fn after(now: Instant, time: Duration) -> Self {
        Self { at: now + time }
    }

    /// Reads the deadline header, in milliseconds; no header gives [`RequestDeadline::DEFAULT`].
    ///
    /// # Errors
    ///
    /// Returns [`DeadlineError::Malformed`] for anything but 1 to 600000.
    pub fn from_header(now: Instant, header: Option<&str>) -> Result<Self, DeadlineError> {
        let Some(text) = header else {
            return Ok(Self::after(now, Self::DEFAULT));
        };
        let millis: u64 = text.trim().parse().map_err(|_| DeadlineError::Malformed)?;
        let time = Duration::from_millis(millis);
        if time.is_zero() || time > Self::MAX {
            return Err(DeadlineError::Malformed);
        }
        Ok(Self::after(now, time))
    }

    /// Returns the moment of the deadline.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// Returns the time left, zero once it has passed.
    pub fn left(&self, now: Instant) -> Duration {
        self.at.saturating_duration_since(now)
    }

    /// Tells whether the deadline has passed.
    pub fn has_passed(&self, now: Instant) -> bool {
        now >= self.at
    }

    /// Tells whether work of an expected length would end in time.
    pub fn allows(&self, now: Instant, expected: Duration) -> bool {
        expected < self.left(now)
    }

    /// Returns the header value to pass on, in milliseconds.
    pub fn header_value(&self, now: Instant) -> String {
        self.left(now).as_millis().to_string()
    }
}
