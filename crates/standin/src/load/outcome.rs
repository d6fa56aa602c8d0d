//! Outcomes of requests.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use model::outcome;

use crate::client::{CallError, CompleteAnswer};
use crate::digest;

/// The outcome of one request, as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The complete answer to the request arrived.
    Answered,
    /// The request was refused and has not run; the value is the reason.
    NotRun(String),
    /// The request may or may not have run; the value is the reason.
    Unknown(String),
    /// The connection broke within the answer.
    Broken,
    /// No answer arrived.
    Failed,
    /// The answer looks complete to the HTTP client but is truncated or corrupt.
    Cut,
    /// The answer belongs to another request.
    Crossed,
}

/// The properties that identify the answer to a request.
#[derive(Debug, Clone)]
pub struct ExpectedAnswer {
    /// Id of the request.
    pub request_id: String,
    /// Digest of the request's content.
    pub digest: u64,
}

impl ExpectedAnswer {
    /// Classifies the result of a call.
    pub fn classify(&self, result: Result<&CompleteAnswer, &CallError>) -> LoadOutcome {
        match result {
            Ok(answer) if answer.head.status == StatusCode::OK => self.classify_answer(answer),
            Ok(answer) => classify_refusal(answer),
            Err(CallError::Truncated(_)) => LoadOutcome::Broken,
            Err(_) => LoadOutcome::Failed,
        }
    }

    fn classify_answer(&self, answer: &CompleteAnswer) -> LoadOutcome {
        let is_own = answer.header(outcome::REQUEST_ID_HEADER) == self.request_id
            && answer.header(digest::DIGEST_HEADER) == format!("{:016x}", self.digest);
        if !is_own {
            return LoadOutcome::Crossed;
        }
        let length = answer.header(digest::LENGTH_HEADER).parse().ok();
        let expected_body: Option<Bytes> =
            length.map(|length| digest::answer_body(self.digest, length));
        if expected_body.as_ref() != Some(&answer.body) {
            return LoadOutcome::Cut;
        }
        LoadOutcome::Answered
    }
}

fn classify_refusal(answer: &CompleteAnswer) -> LoadOutcome {
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

/// The record of a completed request.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Index of the service in the deployment.
    pub service: usize,
    /// Idempotency key or mark under which executions are counted; empty if they are not counted.
    pub key: String,
    /// Whether the request must run at most once.
    pub at_most_once: bool,
    /// Time from the scheduled start of the request to its outcome.
    pub latency: Duration,
    /// Outcome of the request.
    pub outcome: LoadOutcome,
    /// Whether the request was retried at another entry host.
    pub resent: bool,
}
