//! State of a request that is being forwarded, and its refusals.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{request, StatusCode, Uri};
use model::ids;
use model::outcome::{self, RefusalReason};
use xxhash_rust::xxh3::{self, Xxh3};

use crate::attempt::{self, AttemptPlan, SentCount};
use crate::body::{RequestBody, UploadState};
use crate::buffer::BufferPermit;
use crate::head::{self, RequestHead};
use crate::headers;
use crate::idempotency::ClaimRequest;
use crate::refusal::RequestRefusal;
use crate::routes::RouteQuery;

/// Retry-after time of a request that did not run before its deadline.
const DEADLINE_RETRY_AFTER: Duration = Duration::from_millis(200);

/// State of a request that is being forwarded.
pub(crate) struct ForwardRun {
    /// Validated head of the request.
    pub(crate) head: RequestHead,
    /// Values that all attempts share.
    pub(crate) plan: AttemptPlan,
    /// Body for the next attempt; `None` once a streamed body was sent.
    body: Option<RequestBody>,
    /// Progress of a streamed body; `None` for a buffered one.
    upload: Option<Arc<UploadState>>,
    _buffer: Option<BufferPermit>,
    /// Reason for which the last attempt got no answer.
    pub(crate) reason: RefusalReason,
}

impl ForwardRun {
    /// Prepares a request for its attempts.
    ///
    /// # Errors
    ///
    /// Refuses a malformed path.
    pub(crate) fn new(
        parts: request::Parts,
        head: RequestHead,
        body: RequestBody,
        deadline: Instant,
        buffer: Option<BufferPermit>,
    ) -> Result<Self, RequestRefusal> {
        let upload = match &body {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(upload) => Some(upload.state()),
        };
        let plan = AttemptPlan {
            target: forwarded_target(&parts.uri)?,
            headers: forwarded_headers(parts.headers, &parts.uri, &head),
            method: parts.method,
            request_id: head.request_id.clone(),
            deadline,
            sent: SentCount::default(),
        };
        Ok(Self {
            head,
            plan,
            body: Some(body),
            upload,
            _buffer: buffer,
            reason: RefusalReason::BackendFailed,
        })
    }

    /// Returns the body for an attempt: a copy of a buffered body, or a streamed body itself, which
    /// is `None` for later attempts.
    pub(crate) fn take_body(&mut self) -> Option<RequestBody> {
        match &self.body {
            Some(RequestBody::Buffered(bytes)) => Some(RequestBody::Buffered(bytes.clone())),
            _ => self.body.take(),
        }
    }

    /// Returns whether the body is buffered, so that it can be sent again.
    pub(crate) fn is_replayable(&self) -> bool {
        matches!(self.body, Some(RequestBody::Buffered(_)))
    }

    /// Puts back the body of an attempt that did not send it, and records why.
    pub(crate) fn restore_body(&mut self, body: RequestBody, reason: RefusalReason) {
        self.body = Some(body);
        self.reason = reason;
    }

    /// Returns the properties that decide which backend server is selected.
    pub(crate) fn query(&self) -> RouteQuery {
        RouteQuery {
            service: self.head.service.clone(),
            deadline: self.plan.deadline,
            body_bytes: self.head.body_bytes.unwrap_or(0),
            idempotent: self.head.idempotent,
            seed: xxh3::xxh3_64(self.head.request_id.as_bytes()),
        }
    }

    /// Creates the refusal of a request whose attempts all failed.
    pub(crate) fn failure_refusal(&self) -> RequestRefusal {
        if self
            .upload
            .as_ref()
            .is_some_and(|upload| upload.is_too_large())
        {
            return head::body_too_large().unknown_if(self.plan.sent.may_have_run());
        }
        if self.plan.sent.may_have_run() {
            return RequestRefusal::unknown(
                StatusCode::BAD_GATEWAY,
                RefusalReason::BackendFailed,
                "the backend server's answer was cut, malformed or never came",
            );
        }
        let message = match self.reason {
            RefusalReason::Overloaded => "backend servers are at their limits",
            _ => "no backend server could be reached",
        };
        RequestRefusal::unavailable(self.reason, attempt::RETRY_AFTER, message)
    }

    /// Creates the refusal of a request whose deadline has passed.
    pub(crate) fn deadline_refusal(&self) -> RequestRefusal {
        deadline_refusal(&self.plan.sent)
    }

    /// Returns the claim of the request's idempotency key, or `None` if it needs no claim.
    pub(crate) fn claim(&self) -> Option<ClaimRequest> {
        Some(ClaimRequest {
            service: self.head.service.clone(),
            key: self.head.key.clone()?,
            digest: self.digest(),
        })
    }

    /// Returns the digest of the method, the path with its query, and the body; a streamed body
    /// counts with its length only.
    fn digest(&self) -> ids::Digest {
        let mut hash = Xxh3::new();
        let target = self.plan.target.to_string();
        hash.update(self.plan.method.as_str().as_bytes());
        hash.update(&target.len().to_be_bytes());
        hash.update(target.as_bytes());
        match &self.body {
            Some(RequestBody::Buffered(bytes)) => hash.update(bytes),
            _ => hash.update(&self.head.body_bytes.unwrap_or(u64::MAX).to_be_bytes()),
        }
        hash.digest()
    }
}

/// Creates the refusal of a request whose deadline has passed.
pub(crate) fn deadline_refusal(sent: &SentCount) -> RequestRefusal {
    let message = "the request can't be answered before its deadline";
    if sent.may_have_run() {
        let status = StatusCode::GATEWAY_TIMEOUT;
        return RequestRefusal::unknown(status, RefusalReason::DeadlineExceeded, message);
    }
    RequestRefusal::unavailable(
        RefusalReason::DeadlineExceeded,
        DEADLINE_RETRY_AFTER,
        message,
    )
}

/// Returns the path and query of a request's URI.
fn forwarded_target(uri: &Uri) -> Result<Uri, RequestRefusal> {
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    Uri::try_from(target).map_err(|_| RequestRefusal::malformed("the path is malformed"))
}

/// Returns the headers that are sent to the backend server. The authority of an absolute URI
/// replaces the `Host` header.
fn forwarded_headers(mut headers: HeaderMap, uri: &Uri, head: &RequestHead) -> HeaderMap {
    headers::remove_hop_by_hop(&mut headers);
    headers::remove_reserved(&mut headers);
    headers.remove(header::EXPECT);
    if let Some(authority) = uri.authority() {
        if let Ok(host) = HeaderValue::from_str(authority.as_str()) {
            headers.insert(header::HOST, host);
        }
    }
    let id = HeaderName::from_static(outcome::REQUEST_ID_HEADER);
    headers.insert(id, head.request_id.clone());
    headers
}
