//! Error responses of the entry host, with their outcome and reason.

use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use http::StatusCode;
use model::outcome;
use model::outcome::{RefusalReason, RequestOutcome};

/// Header with the retry-after time in milliseconds; `Retry-After` is rounded up to seconds.
pub const RETRY_AFTER_MS_HEADER: &str = "wisteria-retry-after-ms";

/// Error response to a request that got no answer from a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Status code of the response.
    pub status: StatusCode,
    /// Whether the request certainly did not run or may have run.
    pub outcome: RequestOutcome,
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which the caller may send the request again; `None` if that doesn't help.
    pub retry_after: Option<Duration>,
    /// Explanation for people, one sentence.
    pub message: &'static str,
}

impl RequestRefusal {
    /// Creates the refusal of a request that certainly did not run.
    pub fn not_run(status: StatusCode, reason: RefusalReason, message: &'static str) -> Self {
        Self {
            status,
            outcome: RequestOutcome::NotRun,
            reason,
            retry_after: None,
            message,
        }
    }

    /// Creates the error response to a request that may have run.
    pub fn unknown(status: StatusCode, reason: RefusalReason, message: &'static str) -> Self {
        Self {
            outcome: RequestOutcome::Unknown,
            ..Self::not_run(status, reason, message)
        }
    }

    /// Creates the refusal of a malformed request.
    pub fn malformed(message: &'static str) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, RefusalReason::BadRequest, message)
    }

    /// Creates the refusal, with status 503, of a request that did not run and may be sent again
    /// after `retry_after`.
    pub fn unavailable(
        reason: RefusalReason,
        retry_after: Duration,
        message: &'static str,
    ) -> Self {
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, message).retry_after(retry_after)
    }

    /// Sets the time after which the caller may send the request again.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Sets the outcome to unknown if `may_have_run` is true: this request, or an earlier one with
    /// the same idempotency key, may have run.
    #[must_use]
    pub fn unknown_if(mut self, may_have_run: bool) -> Self {
        if may_have_run {
            self.outcome = RequestOutcome::Unknown;
        }
        self
    }

    /// Builds the HTTP response, with the refusal as headers and as a JSON body.
    pub fn to_response(&self) -> http::Response<Bytes> {
        let retry_after_ms = self.retry_after.map(|wait| wait.as_millis() as u64);
        let text = serde_json::json!({
            "outcome": self.outcome.to_string(),
            "reason": self.reason.to_string(),
            "message": self.message,
            "retry_after_ms": retry_after_ms,
        });
        let mut response = http::Response::new(Bytes::from(text.to_string()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let outcome: &'static str = self.outcome.into();
        headers.insert(outcome::OUTCOME_HEADER, HeaderValue::from_static(outcome));
        let reason: &'static str = self.reason.into();
        headers.insert(outcome::REASON_HEADER, HeaderValue::from_static(reason));
        if let Some(ms) = retry_after_ms {
            headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000).max(1)));
            headers.insert(RETRY_AFTER_MS_HEADER, HeaderValue::from(ms));
        }
        response
    }
}
