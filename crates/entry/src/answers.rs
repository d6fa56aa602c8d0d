//! What is answered besides forwarded requests: look-ups, announcements and the platform's paths.

use std::sync::Arc;

use bytes::Bytes;
use forward::edges::{CallerAddress, OtherRoutes};
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

/// Greatest size of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 4_096;

/// Name under which the caller's address goes with a request inside the process.
const CALLER_HEADER: &str = "wisteria-internal-caller";

type AppRequest = Request<Arc<EntryContext>>;

/// Answers look-ups, announcements and the platform's paths.
pub struct EntryAnswers {
    app: tide::Server<Arc<EntryContext>>,
}

impl EntryAnswers {
    /// Creates the answers of a process.
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

impl OtherRoutes for EntryAnswers {
    fn answer(&self, request: http::Request<Bytes>) -> BoxFuture<'_, http::Response<Bytes>> {
        Box::pin(async move {
            let Some(request) = into_app(request) else {
                return plain(http::StatusCode::BAD_REQUEST, "the request is malformed");
            };
            match self.app.respond::<_, http_types::Response>(request).await {
                Ok(response) => from_app(response).await,
                Err(e) => plain(http::StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
            }
        })
    }
}

/// Answers which entry hosts a caller should use, the first one first.
async fn look_up(request: AppRequest) -> tide::Result {
    let context = request.state();
    let query: lookup::LookupQuery = match request.query() {
        Ok(query) => query,
        Err(e) => {
            let fault = InputFault::new("query", e, "zone=NAME and caller=ADDRESS, both optional");
            return refuse(StatusCode::BadRequest, &[fault]);
        }
    };
    let caller = request
        .header(CALLER_HEADER)
        .and_then(|value| value.as_str().parse().ok());
    let answer = match lookup::answer(context, &query, caller) {
        Ok(answer) => answer,
        Err(fault) => return refuse(StatusCode::BadRequest, &[fault]),
    };
    if answer.hosts.is_empty() {
        let mut response = body(StatusCode::ServiceUnavailable, &answer)?;
        response.insert_header("Retry-After", "1");
        return Ok(response);
    }
    let mut response = body(StatusCode::Ok, &answer)?;
    let age = context.settings.answer_max_age.as_secs();
    response.insert_header("Cache-Control", format!("max-age={age}"));
    Ok(response)
}

/// Takes the announcement of a backend server.
async fn announce(mut request: AppRequest) -> tide::Result {
    let admitted = match &request.state().settings.announce_token {
        Some(token) => admits(token, &request),
        None => true,
    };
    if !admitted {
        return unauthorized("WISTERIA_ANNOUNCE_TOKEN");
    }
    let text = request.body_bytes().await?;
    if text.len() > MAX_ANNOUNCEMENT_BYTES {
        let allowed = format!("at most {MAX_ANNOUNCEMENT_BYTES} bytes");
        let fault = InputFault::new("body", format!("{} bytes", text.len()), allowed);
        return refuse(StatusCode::PayloadTooLarge, &[fault]);
    }
    let announcement = match read_announcement(&text) {
        Ok(announcement) => announcement,
        Err(faults) => return refuse(StatusCode::BadRequest, &faults),
    };
    let context = request.state();
    match context.registry.announce(context.now(), announcement) {
        Ok(AnnounceAnswer::Accepted { renew_within }) => {
            let renew_within_ms = convert::millis(renew_within);
            body(
                StatusCode::Ok,
                &json!({ "leaving": false, "renew_within_ms": renew_within_ms }),
            )
        }
        Ok(AnnounceAnswer::Leaving) => body(StatusCode::Ok, &json!({ "leaving": true })),
        Err(error) => refuse_announcement(&error),
    }
}

fn refuse_announcement(error: &RegistryError) -> tide::Result {
    let status = match error {
        RegistryError::OldIncarnation { .. } => StatusCode::Conflict,
        RegistryError::TableFull => StatusCode::ServiceUnavailable,
    };
    let mut response = body(status, &json!({ "error": error.to_string() }))?;
    if status == StatusCode::ServiceUnavailable {
        response.insert_header("Retry-After", "1");
    }
    Ok(response)
}

fn read_announcement(text: &[u8]) -> Result<BackendAnnouncement, Vec<InputFault>> {
    let raw: RawAnnouncement = serde_json::from_slice(text)
        .map_err(|e| vec![InputFault::new("body", e, "an announcement in JSON")])?;
    BackendAnnouncement::try_from(raw)
}

async fn dump_state(request: AppRequest) -> tide::Result {
    let context = request.state();
    if !admits(&context.settings.token, &request) {
        return unauthorized("WISTERIA_TOKEN");
    }
    body(StatusCode::Ok, &dump::state(context))
}

async fn metrics(request: AppRequest) -> tide::Result {
    let text = request.state().metrics.text()?;
    Ok(Response::builder(StatusCode::Ok)
        .content_type("text/plain; version=0.0.4")
        .body(text)
        .build())
}

async fn health(_: AppRequest) -> tide::Result {
    body(StatusCode::Ok, &json!({ "healthy": true }))
}

async fn ready(request: AppRequest) -> tide::Result {
    let context = request.state();
    let standing = context.standing();
    let revision: ids::Revision = context.holder.view().state.revision;
    let status = match standing.is_open() && context.steering.is_open() {
        true => StatusCode::Ok,
        false => StatusCode::ServiceUnavailable,
    };
    body(
        status,
        &json!({ "standing": standing, "revision": revision }),
    )
}

fn admits(token: &AccessToken, request: &AppRequest) -> bool {
    let value = request.header(token::TOKEN_HEADER);
    token.admits(value.map(|value| value.as_str().as_bytes()))
}

fn unauthorized(variable: &str) -> tide::Result {
    let text = format!("a valid token is needed: Authorization: Bearer with {variable}");
    let mut response = body(StatusCode::Unauthorized, &json!({ "error": text }))?;
    response.insert_header("WWW-Authenticate", "Bearer");
    Ok(response)
}

fn refuse(status: StatusCode, faults: &[InputFault]) -> tide::Result {
    body(
        status,
        &json!({ "error": "the input is not allowed", "faults": faults }),
    )
}

fn body(status: StatusCode, value: &impl Serialize) -> tide::Result {
    Ok(Response::builder(status)
        .body(Body::from_json(value)?)
        .build())
}

/// Turns a request of the HTTP server into one of the app.
fn into_app(request: http::Request<Bytes>) -> Option<http_types::Request> {
    let (parts, body) = request.into_parts();
    let method: Method = parts.method.as_str().parse().ok()?;
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let url = Url::parse("http://entry-host/").ok()?.join(target).ok()?;
    let mut app = http_types::Request::new(method, url);
    for (name, value) in &parts.headers {
        let value = value.to_str().ok()?;
        app.insert_header(name.as_str(), value);
    }
    app.remove_header(CALLER_HEADER);
    if let Some(CallerAddress(address)) = parts.extensions.get() {
        app.insert_header(CALLER_HEADER, address.ip().to_string());
    }
    app.set_body(body.to_vec());
    Some(app)
}

/// Turns an answer of the app into one of the HTTP server.
async fn from_app(mut response: http_types::Response) -> http::Response<Bytes> {
    let Ok(body) = response.body_bytes().await else {
        return plain(
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

fn plain(status: http::StatusCode, text: &str) -> http::Response<Bytes> {
    let mut response = http::Response::new(Bytes::copy_from_slice(text.as_bytes()));
    *response.status_mut() = status;
    response
}
