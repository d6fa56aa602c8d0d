//! What became of one request.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use model::outcome;

use crate::client::{CallError, WholeAnswer};
use crate::digest;

/// What became of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The whole own answer came.
    Answered,
    /// It was refused as not run, for the reason.
    NotRun(String),
    /// It may have run, for the reason.
    Unknown(String),
    /// The answer visibly broke off.
    Broken,
    /// No answer came.
    Failed,
    /// The answer passed as whole and is not.
    Cut,
    /// The answer belongs to another request.
    Crossed,
}

/// What a caller expects of its answer.
#[derive(Debug, Clone)]
pub struct ExpectedAnswer {
    /// Identity of the request.
    pub request_id: String,
    /// Digest of the request.
    pub digest: u64,
}

impl ExpectedAnswer {
    /// Judges what came back.
    pub fn judge(&self, result: Result<&WholeAnswer, &CallError>) -> LoadOutcome {
        match result {
            Ok(answer) if answer.head.status == StatusCode::OK => self.judge_answer(answer),
            Ok(answer) => judge_refusal(answer),
            Err(CallError::Cut(_)) => LoadOutcome::Broken,
            Err(_) => LoadOutcome::Failed,
        }
    }

    fn judge_answer(&self, answer: &WholeAnswer) -> LoadOutcome {
        let own = answer.header(outcome::REQUEST_ID_HEADER) == self.request_id
            && answer.header(digest::DIGEST_HEADER) == format!("{:016x}", self.digest);
        if !own {
            return LoadOutcome::Crossed;
        }
        let length = answer.header(digest::LENGTH_HEADER).parse().ok();
        let whole: Option<Bytes> = length.map(|length| digest::answer_body(self.digest, length));
        if whole.as_ref() != Some(&answer.body) {
            return LoadOutcome::Cut;
        }
        LoadOutcome::Answered
    }
}

fn judge_refusal(answer: &WholeAnswer) -> LoadOutcome {
    let reason = match answer.header(outcome::REASON_HEADER) {
        "" => answer.head.status.as_str().to_string(),
        reason => reason.to_string(),
    };
    let shed = answer.header(outcome::SHED_HEADER) == "not-run";
    match answer.header(outcome::OUTCOME_HEADER) {
        "not-run" => LoadOutcome::NotRun(reason),
        _ if shed => LoadOutcome::NotRun("shed".to_string()),
        _ => LoadOutcome::Unknown(reason),
    }
}

/// A request that has ended.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Index of the service.
    pub service: usize,
    /// Key or mark under which its runs are counted; empty where they aren't.
    pub key: String,
    /// It must run at most once.
    pub once: bool,
    /// Time from when it was to be sent to its end.
    pub latency: Duration,
    /// What became of it.
    pub outcome: LoadOutcome,
    /// It was sent again to another entry host.
    pub resent: bool,
}
