//! What is known of an idempotency key.

use std::time::Duration;

use model::ids;

/// A service's name with a caller's key.
pub type ClaimKey = String;

/// Digest of the request that a key was sent with.
pub type RequestDigest = u64;

/// Random number of an attempt, so that it differs from those before a restart of its host.
pub type AttemptNumber = u64;

/// One attempt to run a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Entry host that would run it.
    pub host: ids::HostName,
    /// Number of the attempt.
    pub number: AttemptNumber,
}

/// A whole answer, kept for the same request sent again.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KeptAnswer {
    /// Status of the answer.
    pub status: u16,
    /// Headers, as names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
}

impl KeptAnswer {
    /// Returns the bytes that it takes.
    pub fn bytes(&self) -> usize {
        let headers = self.headers.iter();
        let head: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        head + self.body.len()
    }
}

/// How a claimed key stands.
#[derive(Debug, Clone, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimState {
    /// The request runs, or how it ended is not known yet.
    Claimed,
    /// It ran, and its answer is kept.
    Answered(KeptAnswer),
    /// It may have run, and no answer is known.
    Unknown,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// With a whole answer, to be kept.
    Answered(KeptAnswer),
    /// Without a byte sent to a backend server; the key is free again.
    NotRun,
    /// It may have run, and no answer is known.
    Unknown,
}

/// A keeper's record of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRecord {
    /// The key.
    pub key: ClaimKey,
    /// Request that it was claimed for.
    pub request: RequestDigest,
    /// Attempts that may hold it: one, but for records that a restarted keeper got from others.
    pub holders: Vec<AttemptId>,
    /// How it stands.
    pub state: ClaimState,
    /// Time since the claim or the end of its run.
    pub age: Duration,
}

/// What a keeper says to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The key was free and is now held by the attempt.
    Granted,
    /// The key is held or was used.
    Held(ClaimRecord),
    /// The keeper restarted and doesn't know yet what it held.
    Recovering,
    /// The keeper's table is full.
    Full,
}
