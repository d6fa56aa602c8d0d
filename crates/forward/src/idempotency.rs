//! Requests that run under an idempotency key.

use bytes::Bytes;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use model::ids;
use model::outcome::{RefusalReason, RequestOutcome};
use strum::IntoStaticStr;

use crate::attempt;
use crate::body::AnswerBody;
use crate::refusal::RequestRefusal;

/// Header that marks a response as the kept answer of an earlier request with the same key.
pub const REPLAYED_HEADER: &str = "wisteria-replayed";

/// Claim of an idempotency key by a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimRequest {
    /// Service that the request names. The same key under two services is two different keys.
    pub service: ids::ServiceName,
    /// Key as the caller sent it.
    pub key: String,
    /// Digest of the request's method, path, query and body, or of the body's length if the body is
    /// streamed. It distinguishes a repetition of the request from another request with the
    /// same key.
    pub digest: ids::Digest,
}

/// Outcome of a claim.
#[derive(Debug, Clone, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimOutcome {
    /// The request may run.
    Granted {
        /// Number of the granted run, which is passed on when the run is completed.
        attempt: u64,
    },
    /// The same request is running.
    InProgress,
    /// The same request ran before and its answer was kept.
    Answered(KeptAnswer),
    /// The same request ran before, or may have run, and its answer is not available.
    AnswerLost,
    /// Another request used the key.
    Used,
    /// Too few keepers of the key, which are the entry hosts that store its claims, could be reached
    /// to decide.
    Unconfirmed,
}

/// How a granted run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimCompletion {
    /// The run got a complete answer, which is to be kept.
    Answered(KeptAnswer),
    /// The request certainly did not run; the key may be claimed again.
    NotRun,
    /// The request ran or may have run, and there is no answer that can be kept.
    AnswerLost,
}

/// Complete answer that is kept under a key and replayed when the same request arrives again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// Status code of the answer.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body of the answer.
    pub body: Bytes,
}

impl KeptAnswer {
    /// Builds the response that replays the answer, marked with [`REPLAYED_HEADER`].
    pub(crate) fn to_response(&self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::Buffered(self.body.clone()));
        *response.status_mut() = StatusCode::from_u16(self.status).unwrap_or(StatusCode::OK);
        *response.headers_mut() = to_header_map(&self.headers);
        let name = HeaderName::from_static(REPLAYED_HEADER);
        response
            .headers_mut()
            .insert(name, HeaderValue::from_static("true"));
        response
    }
}

fn to_header_map(pairs: &[(String, Vec<u8>)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name = HeaderName::try_from(name.as_str());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}

impl ClaimCompletion {
    /// Derives the completion of a run from its result. Only a buffered answer with a body of up
    /// to `max_kept_bytes` is kept.
    pub(crate) fn from_result(
        result: &Result<Response<AnswerBody>, RequestRefusal>,
        max_kept_bytes: usize,
    ) -> Self {
        match result {
            Ok(response) => match response.body() {
                AnswerBody::Buffered(body) if body.len() <= max_kept_bytes => {
                    Self::Answered(to_kept_answer(response, body))
                }
                AnswerBody::Buffered(_) | AnswerBody::Streamed(_) => Self::AnswerLost,
            },
            Err(refusal) => match refusal.outcome {
                RequestOutcome::NotRun => Self::NotRun,
                RequestOutcome::Unknown => Self::AnswerLost,
            },
        }
    }
}

fn to_kept_answer(response: &Response<AnswerBody>, body: &Bytes) -> KeptAnswer {
    let headers = response.headers().iter();
    KeptAnswer {
        status: response.status().as_u16(),
        headers: headers
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect(),
        body: body.clone(),
    }
}

/// What the forwarder does with a request after its claim.
#[derive(Debug)]
pub(crate) enum ClaimStep {
    /// Run the request.
    Run {
        /// Number of the granted run.
        attempt: u64,
    },
    /// Return the kept answer.
    Replay(KeptAnswer),
    /// Refuse the request.
    Refuse(RequestRefusal),
}

impl From<ClaimOutcome> for ClaimStep {
    fn from(outcome: ClaimOutcome) -> Self {
        match outcome {
            ClaimOutcome::Granted { attempt } => Self::Run { attempt },
            ClaimOutcome::Answered(answer) => Self::Replay(answer),
            ClaimOutcome::InProgress => Self::Refuse(in_progress()),
            ClaimOutcome::AnswerLost => Self::Refuse(RequestRefusal::unknown(
                StatusCode::CONFLICT,
                RefusalReason::KeyUsed,
                "the first request with this key may have run and its answer is not kept; it \
                 won't run again, so look up its effect",
            )),
            ClaimOutcome::Used => Self::Refuse(RequestRefusal::not_run(
                StatusCode::UNPROCESSABLE_ENTITY,
                RefusalReason::KeyUsed,
                "another request used this key; this one did not run and needs its own key",
            )),
            ClaimOutcome::Unconfirmed => Self::Refuse(unconfirmed()),
        }
    }
}

/// Creates the refusal of a request whose claim could not be decided. Its outcome is unknown
/// because an earlier request with the key may have run.
fn unconfirmed() -> RequestRefusal {
    RequestRefusal::unknown(
        StatusCode::SERVICE_UNAVAILABLE,
        RefusalReason::KeyUnconfirmed,
        "too few keepers of idempotency keys are in reach to tell whether a request with this key \
         ran before; send the same request again after Retry-After",
    )
    .retry_after(attempt::RETRY_AFTER)
}

fn in_progress() -> RequestRefusal {
    RequestRefusal::unknown(
        StatusCode::CONFLICT,
        RefusalReason::KeyInProgress,
        "the first request with this key is running; send the same request again after \
         Retry-After for its answer",
    )
    .retry_after(attempt::RETRY_AFTER)
}
