//! What an answer of a backend server says of the server's limit.

use fleet::limit::{RateError, RequestRate};
use http::header::{HeaderMap, HeaderValue};
use http::StatusCode;

use crate::settings::HeaderNames;

/// What an answer says of the limit of its backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitReading {
    /// The server takes this rate from all entry hosts together.
    Named(RequestRate),
    /// The server names no limit any more.
    Absent,
    /// Nothing: the answer is another server's or another request's, or a failure or rejection, which a
    /// server may write without what it says otherwise.
    Unknown,
}

impl LimitReading {
    /// Reads the head of an answer to the request `request_id`.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer names a limit that is no rate.
    pub fn read(
        names: &HeaderNames,
        request_id: &str,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<Self, RateError> {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Ok(Self::Unknown);
        }
        if let Some(value) = headers.get(&names.limit) {
            let rate = RequestRate::try_from(value.to_str().unwrap_or_default())?;
            return Ok(Self::Named(rate));
        }
        let id = headers.get(&names.request_id).map(HeaderValue::as_bytes);
        let is_answer = id == Some(request_id.as_bytes()) && status.is_success();
        Ok(if is_answer {
            Self::Absent
        } else {
            Self::Unknown
        })
    }

    /// Returns the rate that the answer names.
    pub fn rate(self) -> Option<RequestRate> {
        match self {
            Self::Named(rate) => Some(rate),
            Self::Absent | Self::Unknown => None,
        }
    }
}
