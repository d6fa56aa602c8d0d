//! Answers that the host generates itself.

use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{Response, StatusCode};
use http_body_util::Full;

/// Challenge of an answer to a request without a valid key, which HTTP requires.
const KEY_CHALLENGE: &str = "Key";

/// Body of an answer to a client. It is buffered completely, so that a backend server that fails
/// halfway can't truncate the client's answer.
pub type AnswerBody = Full<Bytes>;

/// An answer that the host generates itself instead of passing on that of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub enum HostAnswer {
    /// No route matches the request.
    NoRoute,
    /// The request has no key that an organisation holds.
    UnknownKey,
    /// The organisation's quota over all hosts is used up; the request didn't run and won't.
    OverQuota {
        /// Time after which the quota has room for the request.
        retry_after: Duration,
    },
    /// The request's body exceeds the size limit.
    TooLarge,
    /// The request is invalid, for the given reason.
    Malformed(&'static str),
    /// The request didn't run and won't; the client may retry it.
    NotRun {
        /// Cause, for the client.
        cause: String,
        /// Time after which the client may retry.
        retry_after: Duration,
    },
    /// The head of the request didn't arrive in time, so the request didn't run and won't.
    LateHead,
    /// The request was sent to a backend server and may have run; the reason says why there is no
    /// answer.
    Unknown(&'static str),
    /// The deadline passed, and the request may have run.
    TimedOut,
}

impl HostAnswer {
    /// Returns the status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverQuota { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::LateHead => StatusCode::REQUEST_TIMEOUT,
            Self::Unknown(_) => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the body of the answer.
    pub fn text(&self) -> String {
        match self {
            Self::NoRoute => "no route takes this host and path".to_string(),
            Self::UnknownKey => "the request has no valid key".to_string(),
            Self::OverQuota { .. } => "not run: the organisation's quota is used up".to_string(),
            Self::TooLarge => "the body is too large".to_string(),
            Self::Malformed(reason) => (*reason).to_string(),
            Self::NotRun { cause, .. } => format!("not run: {cause}"),
            Self::LateHead => "not run: the head of the request didn't arrive in time".to_string(),
            Self::Unknown(reason) => format!("may have run: {reason}"),
            Self::TimedOut => "may have run: no answer in time".to_string(),
        }
    }

    /// Returns the time after which the client may retry, if the answer names one.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotRun { retry_after, .. } | Self::OverQuota { retry_after } => {
                Some(*retry_after)
            }
            Self::NoRoute
            | Self::UnknownKey
            | Self::TooLarge
            | Self::Malformed(_)
            | Self::LateHead
            | Self::Unknown(_)
            | Self::TimedOut => None,
        }
    }

    /// Converts the answer to an HTTP response.
    pub fn to_response(&self) -> Response<AnswerBody> {
        let mut response = Response::new(Full::new(Bytes::from(self.text())));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if *self == Self::UnknownKey {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static(KEY_CHALLENGE));
        }
        if let Some(retry_after) = self.retry_after() {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
