//! Request rates that backend servers take from all entry hosts together.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Number of requests a second; finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

quick_error! {
    /// Error for a number or text that is no rate.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RateError {
        /// The text isn't a decimal number.
        NotANumber {
            display("a rate is a decimal number of requests a second")
        }
        /// The number is negative or not finite.
        OutOfRange {
            display("a rate is a finite number of requests a second, 0 or more")
        }
    }
}

impl RequestRate {
    /// Returns the number of requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RateError;

    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(RateError::OutOfRange);
        }
        Ok(Self(per_second))
    }
}

impl TryFrom<&str> for RequestRate {
    type Error = RateError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let per_second: f64 = text.trim().parse().map_err(|_| RateError::NotANumber)?;
        Self::try_from(per_second)
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.per_second()
    }
}
