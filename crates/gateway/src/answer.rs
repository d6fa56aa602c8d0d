//! Answers of the host itself.

use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::Full;

/// Body of every answer: held whole, so that none is cut by a fault behind it.
pub type AnswerBody = Full<Bytes>;

/// Why the host answers by itself.
#[derive(Debug, Clone, PartialEq)]
pub enum OwnAnswer {
    /// No route takes the request.
    NoRoute,
    /// The body is larger than it may be.
    TooLarge,
    /// The request can't be read.
    Malformed(&'static str),
    /// The request has not run and will not; the caller may come back.
    NotRun {
        /// What was in the way.
        cause: String,
        /// When to come back.
        come_back: Duration,
    },
    /// The request was sent, and what became of it isn't known.
    Unknown(&'static str),
    /// The time is over, and what became of the request isn't known.
    TimedOut,
}

impl OwnAnswer {
    /// Returns the status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown(_) => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns what the caller reads.
    pub fn text(&self) -> String {
        match self {
            Self::NoRoute => "no route takes this host and path".to_string(),
            Self::TooLarge => "the body is too large".to_string(),
            Self::Malformed(what) => (*what).to_string(),
            Self::NotRun { cause, .. } => format!("not run: {cause}"),
            Self::Unknown(what) => format!("may have run: {what}"),
            Self::TimedOut => "may have run: no answer in time".to_string(),
        }
    }

    /// Returns the answer.
    pub fn to_response(&self) -> Response<AnswerBody> {
        let mut response = Response::new(Full::new(Bytes::from(self.text())));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Self::NotRun { come_back, .. } = self {
            let seconds = format!("{:.3}", come_back.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
