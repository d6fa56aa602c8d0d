//! Answers made here, with their outcome and reason.

use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use http::StatusCode;
use model::outcome;
use model::outcome::{RefusalReason, RequestOutcome};

/// Header with the exact time after which to come back, in milliseconds.
pub const RETRY_AFTER_MS_HEADER: &str = "wisteria-retry-after-ms";

/// A request that got no answer from a backend server, and what its caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Status of the answer.
    pub status: StatusCode,
    /// Whether it is certain that nothing ran.
    pub outcome: RequestOutcome,
    /// Why.
    pub reason: RefusalReason,
    /// When coming back helps.
    pub retry_after: Option<Duration>,
    /// One sentence for a reader.
    pub message: &'static str,
}

impl RequestRefusal {
    /// Creates a refusal of a request that no backend server saw.
    pub fn not_run(status: StatusCode, reason: RefusalReason, message: &'static str) -> Self {
        Self {
            status,
            outcome: RequestOutcome::NotRun,
            reason,
            retry_after: None,
            message,
        }
    }

    /// Creates a failure of a request that may have run.
    pub fn unknown(status: StatusCode, reason: RefusalReason, message: &'static str) -> Self {
        Self {
            outcome: RequestOutcome::Unknown,
            ..Self::not_run(status, reason, message)
        }
    }

    /// Creates a refusal of a malformed request.
    pub fn malformed(message: &'static str) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, RefusalReason::BadRequest, message)
    }

    /// Creates a refusal for want of room, with the time to come back.
    pub fn no_room(reason: RefusalReason, retry_after: Duration, message: &'static str) -> Self {
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, message).retry_after(retry_after)
    }

    /// Says when to come back.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Turns the outcome into unknown where this request, or an earlier one with its key, may have
    /// run.
    #[must_use]
    pub fn may_have_run(mut self, possible: bool) -> Self {
        if possible {
            self.outcome = RequestOutcome::Unknown;
        }
        self
    }

    /// Writes the answer.
    pub fn to_response(&self) -> http::Response<Bytes> {
        let wait_ms = self.retry_after.map(|wait| wait.as_millis() as u64);
        let text = serde_json::json!({
            "outcome": self.outcome.to_string(),
            "reason": self.reason.to_string(),
            "message": self.message,
            "retry_after_ms": wait_ms,
        });
        let mut response = http::Response::new(Bytes::from(text.to_string()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let outcome: &'static str = self.outcome.into();
        headers.insert(outcome::OUTCOME_HEADER, HeaderValue::from_static(outcome));
        let reason: &'static str = self.reason.into();
        headers.insert(outcome::REASON_HEADER, HeaderValue::from_static(reason));
        if let Some(wait) = wait_ms {
            headers.insert(RETRY_AFTER, HeaderValue::from(wait.div_ceil(1000).max(1)));
            headers.insert(RETRY_AFTER_MS_HEADER, HeaderValue::from(wait));
        }
        response
    }
}
