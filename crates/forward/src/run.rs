//! A request that is being forwarded, and what becomes of it without an answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{request, StatusCode, Uri};
use model::ids;
use model::outcome::{self, RefusalReason};
use xxhash_rust::xxh3::{self, Xxh3};

use crate::attempt::{self, AttemptPlan, SentCount};
use crate::body::{RequestBody, UploadState};
use crate::claimed::ClaimRequest;
use crate::facts::{self, RequestFacts};
use crate::headers;
use crate::hold::HoldPermit;
use crate::refusal::RequestRefusal;
use crate::routes::RouteQuery;

/// A request that is being forwarded.
pub(crate) struct ForwardRun {
    /// What its head says.
    pub(crate) facts: RequestFacts,
    /// What every attempt has in common.
    pub(crate) plan: AttemptPlan,
    body: Option<RequestBody>,
    upload: Option<Arc<UploadState>>,
    _hold: Option<HoldPermit>,
    /// Why the last attempt brought no answer.
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
        facts: RequestFacts,
        body: RequestBody,
        due: Instant,
        hold: Option<HoldPermit>,
    ) -> Result<Self, RequestRefusal> {
        let upload = match &body {
            RequestBody::Held(_) => None,
            RequestBody::Streamed(upload) => Some(upload.state()),
        };
        let plan = AttemptPlan {
            target: target_of(&parts.uri)?,
            headers: headers_to_pass_on(parts.headers, &parts.uri, &facts),
            method: parts.method,
            request_id: facts.request_id.clone(),
            due,
            sent: SentCount::default(),
        };
        Ok(Self {
            facts,
            plan,
            body: Some(body),
            upload,
            _hold: hold,
            reason: RefusalReason::BackendFailed,
        })
    }

    /// Gives the body for an attempt; one that is passed on while it arrives goes only once.
    pub(crate) fn take_body(&mut self) -> Option<RequestBody> {
        match &self.body {
            Some(RequestBody::Held(bytes)) => Some(RequestBody::Held(bytes.clone())),
            _ => self.body.take(),
        }
    }

    /// Tells whether the body can be sent again.
    pub(crate) fn is_held(&self) -> bool {
        matches!(self.body, Some(RequestBody::Held(_)))
    }

    /// Takes back a body that was not sent, and why.
    pub(crate) fn give_back(&mut self, body: RequestBody, reason: RefusalReason) {
        self.body = Some(body);
        self.reason = reason;
    }

    /// Returns what it needs of a backend server.
    pub(crate) fn query(&self) -> RouteQuery {
        RouteQuery {
            service: self.facts.service.clone(),
            due: self.plan.due,
            body_bytes: self.facts.body_bytes.unwrap_or(0),
            idempotent: self.facts.idempotent,
            seed: xxh3::xxh3_64(self.facts.request_id.as_bytes()),
        }
    }

    /// Says that no attempt brought a whole answer.
    pub(crate) fn failure(&self) -> RequestRefusal {
        if self
            .upload
            .as_ref()
            .is_some_and(|upload| upload.is_too_large())
        {
            return facts::too_large().may_have_run(self.plan.sent.is_sent());
        }
        if self.plan.sent.is_sent() {
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
        RequestRefusal::no_room(self.reason, attempt::RETRY_AFTER, message)
    }

    /// Says that the deadline passed.
    pub(crate) fn late(&self) -> RequestRefusal {
        late(&self.plan.sent)
    }

    /// Returns the claim of its key, where it has one and must not run twice.
    pub(crate) fn claim(&self) -> Option<ClaimRequest> {
        Some(ClaimRequest {
            service: self.facts.service.clone(),
            key: self.facts.key.clone()?,
            digest: self.digest(),
        })
    }

    /// Digests the method, the path and the body, or its length where it is not held.
    fn digest(&self) -> ids::Digest {
        let mut hash = Xxh3::new();
        let target = self.plan.target.to_string();
        hash.update(self.plan.method.as_str().as_bytes());
        hash.update(&target.len().to_be_bytes());
        hash.update(target.as_bytes());
        match &self.body {
            Some(RequestBody::Held(bytes)) => hash.update(bytes),
            _ => hash.update(&self.facts.body_bytes.unwrap_or(u64::MAX).to_be_bytes()),
        }
        hash.digest()
    }
}

/// Says that the deadline of a request passed.
pub(crate) fn late(sent: &SentCount) -> RequestRefusal {
    let message = "the request can't be answered before its deadline";
    if sent.is_sent() {
        let status = StatusCode::GATEWAY_TIMEOUT;
        return RequestRefusal::unknown(status, RefusalReason::DeadlineExceeded, message);
    }
    RequestRefusal::no_room(RefusalReason::DeadlineExceeded, LATE_RETRY_AFTER, message)
}

/// Time after which to come back with a longer deadline.
const LATE_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Returns the path and query of a request's target.
fn target_of(uri: &Uri) -> Result<Uri, RequestRefusal> {
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    Uri::try_from(target).map_err(|_| RequestRefusal::malformed("the path is malformed"))
}

/// Returns the headers of a request that are passed on.
fn headers_to_pass_on(mut headers: HeaderMap, uri: &Uri, facts: &RequestFacts) -> HeaderMap {
    headers::remove_hop_by_hop(&mut headers);
    headers::remove_system_only(&mut headers);
    headers.remove(header::EXPECT);
    if let Some(authority) = uri.authority() {
        if let Ok(host) = HeaderValue::from_str(authority.as_str()) {
            headers.insert(header::HOST, host);
        }
    }
    let id = HeaderName::from_static(outcome::REQUEST_ID_HEADER);
    headers.insert(id, facts.request_id.clone());
    headers
}
