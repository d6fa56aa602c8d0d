//! Deadline of a request.

use std::time::{Duration, Instant};

use quick_error::quick_error;

quick_error! {
    /// Errors of a deadline header.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DeadlineError {
        /// The value isn't a whole number of milliseconds within the allowed range.
        Malformed {
            display("the deadline is no whole number of milliseconds from 1 to 600000")
        }
    }
}

/// The time by which a request must be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestDeadline {
    at: Instant,
}

impl RequestDeadline {
    /// Time limit of a request without a deadline header.
    pub const DEFAULT: Duration = Duration::from_secs(10);
    /// Longest time limit that a caller may set.
    pub const MAX: Duration = Duration::from_secs(600);

    /// Creates a deadline at `now + time`.
    pub fn after(now: Instant, time: Duration) -> Self {
        Self { at: now + time }
    }

    /// Parses the deadline header, in milliseconds from now. Without a header the time limit is
    /// [`RequestDeadline::DEFAULT`].
    ///
    /// # Errors
    ///
    /// Returns [`DeadlineError::Malformed`] for anything but a whole number from 1 to 600000.
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

    /// Returns the deadline as a timestamp.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// Returns the time that remains until the deadline, zero once it has passed.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.at.saturating_duration_since(now)
    }

    /// Returns whether the deadline has passed.
    pub fn has_passed(&self, now: Instant) -> bool {
        now >= self.at
    }

    /// Returns whether work of an expected duration that starts now would end before the deadline.
    pub fn allows(&self, now: Instant, expected: Duration) -> bool {
        expected < self.remaining(now)
    }

    /// Returns the deadline header for a forwarded request: the remaining time in milliseconds.
    pub fn header_value(&self, now: Instant) -> String {
        self.remaining(now).as_millis().to_string()
    }
}
