//! Runs under an idempotency key.

use bytes::Bytes;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use model::ids;
use model::outcome::{RefusalReason, RequestOutcome};
use strum::IntoStaticStr;

use crate::attempt;
use crate::body::AnswerBody;
use crate::refusal::RequestRefusal;

/// Header that marks the kept answer of an earlier run.
pub const REPLAYED_HEADER: &str = "wisteria-replayed";

/// A key and the request that claims it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimRequest {
    /// Service that the request names; keys of different services never meet.
    pub service: ids::ServiceName,
    /// Key as the caller sent it.
    pub key: String,
    /// Digest of the method, the path and the body.
    pub digest: ids::Digest,
}

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimOutcome {
    /// The request may run, as the attempt of this number.
    Granted {
        /// Number of the attempt, to be named when it ends.
        attempt: u64,
    },
    /// The same request is running now.
    InProgress,
    /// The same request ran before, and its answer was kept.
    Answered(KeptAnswer),
    /// The same request ran before, and its answer is not known any more.
    AnswerLost,
    /// Another request used the key.
    Used,
    /// Too few keepers of keys are in reach.
    Unconfirmed,
}

/// How a granted run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEnd {
    /// With a whole answer, to be kept.
    Answered(KeptAnswer),
    /// Without a byte sent to a backend server; the key may be claimed again.
    NotRun,
    /// Without an answer that can be kept.
    AnswerLost,
}

/// A whole answer, kept for the same request sent again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// Status of the answer.
    pub status: u16,
    /// Headers, as names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Bytes,
}

impl KeptAnswer {
    /// Writes the answer, marked as replayed.
    pub(crate) fn to_response(&self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::Held(self.body.clone()));
        *response.status_mut() = StatusCode::from_u16(self.status).unwrap_or(StatusCode::OK);
        *response.headers_mut() = read_headers(&self.headers);
        let name = HeaderName::from_static(REPLAYED_HEADER);
        response
            .headers_mut()
            .insert(name, HeaderValue::from_static("true"));
        response
    }
}

fn read_headers(pairs: &[(String, Vec<u8>)]) -> HeaderMap {
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

impl ClaimEnd {
    /// Reads how a run ended off what its caller is told.
    pub(crate) fn of(
        result: &Result<Response<AnswerBody>, RequestRefusal>,
        kept_bytes: usize,
    ) -> Self {
        match result {
            Ok(response) => match response.body() {
                AnswerBody::Held(body) if body.len() <= kept_bytes => {
                    Self::Answered(keep(response, body))
                }
                AnswerBody::Held(_) | AnswerBody::Streamed(_) => Self::AnswerLost,
            },
            Err(refusal) => match refusal.outcome {
                RequestOutcome::NotRun => Self::NotRun,
                RequestOutcome::Unknown => Self::AnswerLost,
            },
        }
    }
}

fn keep(response: &Response<AnswerBody>, body: &Bytes) -> KeptAnswer {
    let headers = response.headers().iter();
    KeptAnswer {
        status: response.status().as_u16(),
        headers: headers
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect(),
        body: body.clone(),
    }
}

/// What a request does after its claim.
#[derive(Debug)]
pub(crate) enum ClaimStep {
    /// It runs, as the attempt of this number.
    Run {
        /// Number of the attempt.
        attempt: u64,
    },
    /// Its caller gets the kept answer.
    Replay(KeptAnswer),
    /// Its caller is refused.
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

/// Refuses a request whose key could not be settled: an earlier request with it may have run.
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
