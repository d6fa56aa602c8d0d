//! Claim records of idempotency keys, and the messages between claimant and keeper.

use std::time::Duration;

use model::ids;

/// An idempotency key qualified by its service: `{service}/{key}`.
pub type ClaimKey = String;

/// Digest of the request that was sent with a key.
pub type RequestDigest = u64;

/// Random number of an attempt.
///
/// A counter would restart with its host and repeat the numbers of earlier attempts.
pub type AttemptNumber = u64;

/// Identifies one attempt to claim a key and run its request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Entry host that makes the attempt and runs the request.
    pub host: ids::HostName,
    /// Number of the attempt, unique per host.
    pub number: AttemptNumber,
}

/// A complete answer, kept for replay when the same request is sent again.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KeptAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl KeptAnswer {
    /// Returns the size in bytes of headers and body.
    pub fn bytes(&self) -> usize {
        let headers = self.headers.iter();
        let head: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        head + self.body.len()
    }
}

/// State of a claimed key.
#[derive(Debug, Clone, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimState {
    /// The request is running, or its outcome has not been reported yet.
    Claimed,
    /// The request ran, and its answer is kept.
    Answered(KeptAnswer),
    /// The request may have run, and no answer is kept.
    Unknown,
}

/// Outcome of running a request whose key was claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The request was answered completely; the answer is kept.
    Answered(KeptAnswer),
    /// No byte of the request was sent to a backend server; the key is released.
    NotRun,
    /// The request may have run, and no answer is known.
    Unknown,
}

/// A keeper's record of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRecord {
    /// The key.
    pub key: ClaimKey,
    /// Digest of the request that the key was claimed for.
    pub request: RequestDigest,
    /// Attempts that may hold the key.
    ///
    /// Records merged during the recovery of a restarted keeper may have several.
    pub holders: Vec<AttemptId>,
    /// State of the key.
    pub state: ClaimState,
    /// Time since the claim, or since its run ended.
    pub age: Duration,
}

/// A keeper's answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The key was free, and the attempt now holds it.
    Granted,
    /// An attempt holds the key, or the key's run has ended.
    Held(ClaimRecord),
    /// The keeper restarted and has not recovered its records yet.
    Recovering,
    /// The keeper's record table is full.
    Full,
}
