//! Request rates that backend servers take from all entry hosts together.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::hint::ServerIncarnation;

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

/// What the answers of a backend server said of its limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The server.
    pub server: ServerIncarnation,
    /// Rate that the server takes from all entry hosts together; `None` where it names no limit any
    /// more.
    pub rate: Option<RequestRate>,
    /// Time since the answer.
    pub ago: Duration,
}

/// Effect of an observation on a [`LimitTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitUpdate {
    /// A later observation is known.
    Outdated,
    /// The observation confirms the limit that is known.
    Confirmed,
    /// The limit is new, has another rate, or has ended.
    Changed,
}

/// Latest observation of one incarnation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitEntry {
    /// Rate, or `None` after the end of the limit. The end is kept, so that a late notice of before
    /// doesn't bring the limit back.
    pub rate: Option<RequestRate>,
    /// Time of the observation.
    pub observed_at: Instant,
}

/// Limits by incarnation; of several observations the latest holds.
#[derive(Debug, Default)]
pub struct LimitTable {
    entries: HashMap<ServerIncarnation, LimitEntry>,
}

impl LimitTable {
    /// Records an observation.
    pub fn record(
        &mut self,
        server: &ServerIncarnation,
        rate: Option<RequestRate>,
        observed_at: Instant,
    ) -> LimitUpdate {
        let entry = LimitEntry { rate, observed_at };
        let Some(known) = self.entries.get_mut(server) else {
            self.entries.insert(server.clone(), entry);
            return LimitUpdate::Changed;
        };
        if observed_at <= known.observed_at {
            return LimitUpdate::Outdated;
        }
        let changed = known.rate != rate;
        *known = entry;
        if changed {
            LimitUpdate::Changed
        } else {
            LimitUpdate::Confirmed
        }
    }

    /// Returns the latest observation of an incarnation.
    pub fn entry(&self, server: &ServerIncarnation) -> Option<LimitEntry> {
        self.entries.get(server).copied()
    }

    /// Returns the rate that an incarnation takes, if it is limited.
    pub fn rate(&self, server: &ServerIncarnation) -> Option<RequestRate> {
        self.entry(server)?.rate
    }

    /// Returns the notice of an entry, as of `now`.
    pub fn notice(&self, now: Instant, server: &ServerIncarnation) -> Option<LimitNotice> {
        let entry = self.entry(server)?;
        Some(LimitNotice {
            server: server.clone(),
            rate: entry.rate,
            ago: now.saturating_duration_since(entry.observed_at),
        })
    }

    /// Removes the entries of incarnations for which `is_kept` returns `false`.
    pub fn retain(&mut self, mut is_kept: impl FnMut(&ServerIncarnation, &LimitEntry) -> bool) {
        self.entries.retain(|server, entry| is_kept(server, entry));
    }

    /// Returns whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
