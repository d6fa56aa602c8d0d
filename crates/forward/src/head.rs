//! Validation of request heads.

use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{request, Method, StatusCode, Version};
use model::outcome::{self, RefusalReason};
use model::{ids, outcome::RequestOutcome};

use crate::refusal::RequestRefusal;
use crate::settings::ForwardSettings;

/// Path prefix of the requests that are forwarded; the name of the service follows it.
pub const SERVICE_PREFIX: &str = "/s/";

/// Maximum length of an idempotency key or request id in bytes.
pub const MAX_TOKEN_BYTES: usize = 128;

/// Validated head of a request that is forwarded.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Service that the path names.
    pub service: ids::ServiceName,
    /// Whether the method is idempotent, so that the request may run more than once.
    pub idempotent: bool,
    /// Time from the arrival of the head to the deadline.
    pub timeout: Duration,
    /// Id of the request, generated if the caller sent none.
    pub request_id: HeaderValue,
    /// Key under which a non-idempotent request runs at most once. `None` for an idempotent
    /// request, or if the caller sent none.
    pub key: Option<String>,
    /// Size of the body in bytes; `None` if the body is chunked.
    pub body_bytes: Option<u64>,
}

impl RequestHead {
    /// Validates the head of a request.
    ///
    /// # Errors
    ///
    /// Refuses a malformed head, and a content length above the limit.
    pub fn parse(
        parts: &request::Parts,
        request_id: &HeaderValue,
        settings: &ForwardSettings,
    ) -> Result<Self, RequestRefusal> {
        check_version(parts.version)?;
        check_host(parts)?;
        let service = parse_service(parts.uri.path())?;
        let idempotent = is_idempotent(&parts.method)?;
        let timeout = parse_timeout(&parts.headers, settings)?;
        let body_bytes = parse_body_bytes(&parts.headers, settings)?;
        Ok(Self {
            service: service.to_string(),
            idempotent,
            timeout,
            request_id: request_id.clone(),
            key: parse_key(&parts.headers)?.filter(|_| !idempotent),
            body_bytes,
        })
    }
}

/// Returns the id of a request, which is generated if the request has none.
///
/// # Errors
///
/// Refuses an id that is empty, too long or has characters other than visible ASCII, and a
/// repeated header.
pub fn parse_request_id(headers: &HeaderMap) -> Result<HeaderValue, RequestRefusal> {
    let name = HeaderName::from_static(outcome::REQUEST_ID_HEADER);
    match single(headers, &name, "request-id stands more than once")? {
        None => Ok(generate_request_id()),
        Some(value) if is_token(value) => Ok(value.clone()),
        Some(_) => Err(RequestRefusal::malformed(
            "request-id is 1 to 128 visible ASCII characters",
        )),
    }
}

/// Generates a request id of 128 random bits.
pub fn generate_request_id() -> HeaderValue {
    let text = format!("{:032x}", rand::random::<u128>());
    HeaderValue::try_from(text).unwrap_or_else(|_| HeaderValue::from_static("none"))
}

/// Refuses HTTP/1.0, in which a truncated long response looks like a complete one.
fn check_version(version: Version) -> Result<(), RequestRefusal> {
    if version == Version::HTTP_11 {
        return Ok(());
    }
    Err(RequestRefusal::not_run(
        StatusCode::HTTP_VERSION_NOT_SUPPORTED,
        RefusalReason::BadRequest,
        "requests to services use HTTP/1.1",
    ))
}

fn check_host(parts: &request::Parts) -> Result<(), RequestRefusal> {
    let hosts = parts.headers.get_all(header::HOST).iter().count();
    match hosts {
        1 => Ok(()),
        0 if parts.uri.authority().is_some() => Ok(()),
        _ => Err(RequestRefusal::malformed("a request has one host header")),
    }
}

fn parse_service(path: &str) -> Result<&str, RequestRefusal> {
    let rest = path.strip_prefix(SERVICE_PREFIX).unwrap_or_default();
    let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
    if !ids::is_name(service) {
        return Err(RequestRefusal::malformed(
            "the path names no service: /s/{service}/...",
        ));
    }
    if rest.split('/').any(is_dot_segment) {
        return Err(RequestRefusal::malformed(
            "the path has a segment of dots only",
        ));
    }
    Ok(service)
}

fn is_dot_segment(segment: &str) -> bool {
    let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
    decoded == "." || decoded == ".."
}

fn is_idempotent(method: &Method) -> Result<bool, RequestRefusal> {
    match *method {
        Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS => Ok(true),
        Method::POST | Method::PATCH => Ok(false),
        _ => Err(RequestRefusal {
            status: StatusCode::METHOD_NOT_ALLOWED,
            outcome: RequestOutcome::NotRun,
            reason: RefusalReason::BadRequest,
            retry_after: None,
            message: "the method is not forwarded",
        }),
    }
}

fn parse_timeout(
    headers: &HeaderMap,
    settings: &ForwardSettings,
) -> Result<Duration, RequestRefusal> {
    let name = HeaderName::from_static(outcome::DEADLINE_HEADER);
    let Some(value) = single(headers, &name, "the deadline stands more than once")? else {
        return Ok(settings.default_deadline);
    };
    let ms = value.to_str().ok().and_then(|text| text.parse().ok());
    let Some(ms) = ms else {
        return Err(RequestRefusal::malformed(
            "the deadline is a whole number of milliseconds",
        ));
    };
    Ok(Duration::from_millis(ms).min(settings.max_deadline))
}

fn parse_key(headers: &HeaderMap) -> Result<Option<String>, RequestRefusal> {
    let name = HeaderName::from_static(outcome::KEY_HEADER);
    let Some(value) = single(headers, &name, "idempotency-key stands more than once")? else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if is_token(value) => Ok(Some(text.to_string())),
        _ => Err(RequestRefusal::malformed(
            "idempotency-key is 1 to 128 visible ASCII characters",
        )),
    }
}

fn parse_body_bytes(
    headers: &HeaderMap,
    settings: &ForwardSettings,
) -> Result<Option<u64>, RequestRefusal> {
    let length = headers.get(header::CONTENT_LENGTH);
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return match length {
            None => Ok(None),
            Some(_) => Err(RequestRefusal::malformed(
                "a request has content-length or transfer-encoding, not both",
            )),
        };
    }
    let Some(length) = length else {
        return Ok(Some(0));
    };
    let bytes = length.to_str().ok().and_then(|text| text.parse().ok());
    match bytes {
        Some(bytes) if bytes <= settings.max_body_bytes => Ok(Some(bytes)),
        Some(_) => Err(body_too_large()),
        None => Err(RequestRefusal::malformed("content-length is no number")),
    }
}

/// Creates the refusal of a request whose body exceeds the size limit.
pub(crate) fn body_too_large() -> RequestRefusal {
    RequestRefusal::not_run(
        StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::BadRequest,
        "the body is larger than this entry host takes",
    )
}

/// Returns the value of a header, or refuses the request with `message` if the header is repeated.
fn single<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
    message: &'static str,
) -> Result<Option<&'a HeaderValue>, RequestRefusal> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    match values.next() {
        None => Ok(first),
        Some(_) => Err(RequestRefusal::malformed(message)),
    }
}

fn is_token(value: &HeaderValue) -> bool {
    let bytes = value.as_bytes();
    (1..=MAX_TOKEN_BYTES).contains(&bytes.len()) && bytes.iter().all(u8::is_ascii_graphic)
}
