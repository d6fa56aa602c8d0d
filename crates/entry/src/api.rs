//! HTTP API of an entry host: look-ups, announcements, state dumps, metrics and health.
//!
//! Requests for services don't come here; they are forwarded to backend servers.

use std::sync::Arc;

use bytes::Bytes;
use forward::hooks::{CallerAddress, FallbackHandler};
use futures_util::future::BoxFuture;
use http_types::{Body, Method, StatusCode, Url};
use model::backend::{BackendAnnouncement, RawAnnouncement};
use model::fault::InputFault;
use model::ids;
use registry::{AnnounceAnswer, RegistryError};
use serde::Serialize;
use serde_json::json;
use tide::{Request, Response};
use wire::token::{self, AccessToken};

use crate::context::EntryContext;
use crate::convert;
use crate::dump;
use crate::lookup;

/// Maximum size of an announcement in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 4_096;

/// Header that carries the caller's IP address inside the process; a value that the caller sends is
/// removed.
const CALLER_HEADER: &str = "wisteria-internal-caller";

type ApiRequest = Request<Arc<EntryContext>>;

/// HTTP API of an entry host.
pub struct EntryApi {
    app: tide::Server<Arc<EntryContext>>,
}

impl EntryApi {
    /// Creates the API of an entry host.
    pub fn new(context: Arc<EntryContext>) -> Self {
        let mut app = tide::with_state(context);
        app.at("/v1/entry-hosts").get(look_up);
        app.at("/v1/announcements").post(announce);
        app.at("/v1/dump").get(dump_state);
        app.at("/metrics").get(metrics);
        app.at("/health").get(health);
        app.at("/ready").get(ready);
        Self { app }
    }
}

impl FallbackHandler for EntryApi {
    fn handle(&self, request: http::Request<Bytes>) -> BoxFuture<'_, http::Response<Bytes>> {
        Box::pin(async move {
            let Some(request) = to_api_request(request) else {
                return text_response(http::StatusCode::BAD_REQUEST, "the request is malformed");
            };
            match self.app.respond::<_, http_types::Response>(request).await {
                Ok(response) => from_api_response(response).await,
                Err(e) => text_response(http::StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
            }
        })
    }
}

/// Answers a look-up with the entry hosts that the caller should use, in order of preference.
async fn look_up(request: ApiRequest) -> tide::Result {
    let context = request.state();
    let query: lookup::LookupQuery = match request.query() {
        Ok(query) => query,
        Err(e) => {
            let fault = InputFault::new("query", e, "zone=NAME and caller=ADDRESS, both optional");
            return input_error(StatusCode::BadRequest, &[fault]);
        }
    };
    let caller = request
        .header(CALLER_HEADER)
        .and_then(|value| value.as_str().parse().ok());
    let answer = match lookup::look_up(context, &query, caller) {
        Ok(answer) => answer,
        Err(fault) => return input_error(StatusCode::BadRequest, &[fault]),
    };
    if answer.hosts.is_empty() {
        let mut response = json_response(StatusCode::ServiceUnavailable, &answer)?;
        response.insert_header("Retry-After", "1");
        return Ok(response);
    }
    let mut response = json_response(StatusCode::Ok, &answer)?;
    let age = context.settings.answer_max_age.as_secs();
    response.insert_header("Cache-Control", format!("max-age={age}"));
    Ok(response)
}

/// Registers a backend server or renews its registration.
async fn announce(mut request: ApiRequest) -> tide::Result {
    let authorized = match &request.state().settings.announce_token {
        Some(token) => is_authorized(token, &request),
        None => true,
    };
    if !authorized {
        return unauthorized("WISTERIA_ANNOUNCE_TOKEN");
    }
    let payload = request.body_bytes().await?;
    if payload.len() > MAX_ANNOUNCEMENT_BYTES {
        let allowed = format!("at most {MAX_ANNOUNCEMENT_BYTES} bytes");
        let fault = InputFault::new("body", format!("{} bytes", payload.len()), allowed);
        return input_error(StatusCode::PayloadTooLarge, &[fault]);
    }
    let announcement = match parse_announcement(&payload) {
        Ok(announcement) => announcement,
        Err(faults) => return input_error(StatusCode::BadRequest, &faults),
    };
    let context = request.state();
    match context.registry.announce(context.now(), announcement) {
        Ok(AnnounceAnswer::Accepted { renew_within }) => {
            let renew_within_ms = convert::millis(renew_within);
            json_response(
                StatusCode::Ok,
                &json!({ "leaving": false, "renew_within_ms": renew_within_ms }),
            )
        }
        Ok(AnnounceAnswer::Leaving) => json_response(StatusCode::Ok, &json!({ "leaving": true })),
        Err(error) => announcement_error(&error),
    }
}

/// Returns the error response to a rejected announcement.
fn announcement_error(error: &RegistryError) -> tide::Result {
    let status = match error {
        RegistryError::OldIncarnation { .. } => StatusCode::Conflict,
        RegistryError::TableFull => StatusCode::ServiceUnavailable,
    };
    let mut response = json_response(status, &json!({ "error": error.to_string() }))?;
    if status == StatusCode::ServiceUnavailable {
        response.insert_header("Retry-After", "1");
    }
    Ok(response)
}

fn parse_announcement(payload: &[u8]) -> Result<BackendAnnouncement, Vec<InputFault>> {
    let raw: RawAnnouncement = serde_json::from_slice(payload)
        .map_err(|e| vec![InputFault::new("body", e, "an announcement in JSON")])?;
    BackendAnnouncement::try_from(raw)
}

/// Returns the state dump to callers with the access token.
async fn dump_state(request: ApiRequest) -> tide::Result {
    let context = request.state();
    if !is_authorized(&context.settings.token, &request) {
        return unauthorized("WISTERIA_TOKEN");
    }
    json_response(StatusCode::Ok, &dump::state(context))
}

/// Returns the metrics in the Prometheus text format.
async fn metrics(request: ApiRequest) -> tide::Result {
    let text = request.state().metrics.text()?;
    Ok(Response::builder(StatusCode::Ok)
        .content_type("text/plain; version=0.0.4")
        .body(text)
        .build())
}

/// Returns 200 while the process runs, whatever its status.
async fn health(_: ApiRequest) -> tide::Result {
    json_response(StatusCode::Ok, &json!({ "healthy": true }))
}

/// Returns 200 if callers may be sent to this host, else 503; both with its status and the revision
/// that its tables are built from.
async fn ready(request: ApiRequest) -> tide::Result {
    let context = request.state();
    let standing = context.standing();
    let revision: ids::Revision = context.steering.lookups().revision();
    let status = match standing.is_open() && context.steering.is_open() {
        true => StatusCode::Ok,
        false => StatusCode::ServiceUnavailable,
    };
    json_response(
        status,
        &json!({ "standing": standing, "revision": revision }),
    )
}

/// Returns whether the `Authorization` header of a request carries a token.
fn is_authorized(token: &AccessToken, request: &ApiRequest) -> bool {
    let value = request.header(token::TOKEN_HEADER);
    token.admits(value.map(|value| value.as_str().as_bytes()))
}

/// Returns the error response to a missing or wrong token; `variable` is the setting of the token.
fn unauthorized(variable: &str) -> tide::Result {
    let text = format!("a valid token is needed: Authorization: Bearer with {variable}");
    let mut response = json_response(StatusCode::Unauthorized, &json!({ "error": text }))?;
    response.insert_header("WWW-Authenticate", "Bearer");
    Ok(response)
}

/// Returns the error response to invalid input.
fn input_error(status: StatusCode, faults: &[InputFault]) -> tide::Result {
    json_response(
        status,
        &json!({ "error": "the input is not allowed", "faults": faults }),
    )
}

fn json_response(status: StatusCode, value: &impl Serialize) -> tide::Result {
    Ok(Response::builder(status)
        .body(Body::from_json(value)?)
        .build())
}

/// Converts a request of the HTTP server into one of the API, or `None` if it is malformed.
fn to_api_request(request: http::Request<Bytes>) -> Option<http_types::Request> {
    let (parts, body) = request.into_parts();
    let method: Method = parts.method.as_str().parse().ok()?;
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let url = Url::parse("http://entry-host/").ok()?.join(target).ok()?;
    let mut api_request = http_types::Request::new(method, url);
    for (name, value) in &parts.headers {
        let value = value.to_str().ok()?;
        api_request.insert_header(name.as_str(), value);
    }
    api_request.remove_header(CALLER_HEADER);
    if let Some(CallerAddress(address)) = parts.extensions.get() {
        api_request.insert_header(CALLER_HEADER, address.ip().to_string());
    }
    api_request.set_body(body.to_vec());
    Some(api_request)
}

/// Converts a response of the API into one of the HTTP server.
async fn from_api_response(mut response: http_types::Response) -> http::Response<Bytes> {
    let Ok(body) = response.body_bytes().await else {
        return text_response(
            http::StatusCode::INTERNAL_SERVER_ERROR,
            "the answer was cut",
        );
    };
    let mut builder = http::Response::builder().status(u16::from(response.status()));
    for (name, values) in &response {
        for value in values {
            builder = builder.header(name.as_str(), value.as_str());
        }
    }
    builder.body(Bytes::from(body)).unwrap_or_default()
}

fn text_response(status: http::StatusCode, text: &str) -> http::Response<Bytes> {
    let mut response = http::Response::new(Bytes::copy_from_slice(text.as_bytes()));
    *response.status_mut() = status;
    response
}
