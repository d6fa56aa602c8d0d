//! Routes of the HTTP interface and the check of the access token.

use std::sync::Arc;

use feed::holder::StateHolder;
use telemetry::metrics::MetricRegistry;
use tide::http::headers::AUTHORIZATION;
use tide::utils::async_trait;
use tide::{Middleware, Next, Request, Server, StatusCode};
use wire::token::AccessToken;

use crate::call::CoreHandle;
use crate::leader_client::LeaderClient;
use crate::metrics::ControlMetrics;
use crate::operator::{answers, tickets, views};
use crate::peers::PeerLinks;

/// Paths that are served without a token.
const PUBLIC_PATHS: [&str; 3] = ["/health", "/ready", "/metrics"];

/// Shared state of the routes.
#[derive(Debug, Clone)]
pub struct OperatorContext {
    /// Calls to the core of this replica.
    pub core: CoreHandle,
    /// Client of the leader.
    pub leader_client: LeaderClient,
    /// Links to the other replicas.
    pub peers: PeerLinks,
    /// Current state, as applied by this replica.
    pub holder: Arc<StateHolder>,
    /// Access token that operators must present.
    pub token: AccessToken,
    /// Registry of the metrics that `/metrics` returns.
    pub registry: MetricRegistry,
    /// Metrics that count the answers.
    pub metrics: ControlMetrics,
}

/// The HTTP application for operators.
#[derive(Debug, Clone)]
pub struct OperatorApp {
    server: Server<OperatorContext>,
}

impl OperatorApp {
    /// Creates the application with all of its routes.
    pub fn new(context: OperatorContext) -> Self {
        let mut server = tide::with_state(context);
        server.with(TokenMiddleware);
        server.at("/v1/tickets").get(tickets::list);
        server
            .at("/v1/tickets/:number")
            .put(tickets::submit)
            .get(tickets::show);
        server.at("/v1/state").get(views::state);
        server.at("/v1/status").get(views::status);
        server.at("/v1/dump").get(views::dump);
        server.at("/metrics").get(views::metrics);
        server.at("/health").get(views::health);
        server.at("/ready").get(views::ready);
        Self { server }
    }

    /// Answers a request.
    ///
    /// # Errors
    ///
    /// Fails where the handler of the route fails.
    pub async fn answer(
        &self,
        request: tide::http::Request,
    ) -> http_types::Result<tide::http::Response> {
        self.server.respond(request).await
    }
}

/// Rejects requests without a valid token. Gives every answer a body and `connection: close`, and
/// counts it.
struct TokenMiddleware;

#[async_trait]
impl Middleware<OperatorContext> for TokenMiddleware {
    async fn handle(
        &self,
        request: Request<OperatorContext>,
        next: Next<'_, OperatorContext>,
    ) -> tide::Result {
        let metrics = request.state().metrics.clone();
        let mut answer = if is_authorized(&request) {
            next.run(request).await
        } else {
            let reason = "a valid token is needed: set WISTERIA_TOKEN or --token-file";
            answers::error_answer(StatusCode::Unauthorized, reason)
        };
        if answer.is_empty() == Some(true) {
            answer = answers::error_answer(answer.status(), default_reason(answer.status()));
        }
        answer.insert_header("connection", "close");
        metrics.count_answer(answer.status().into());
        Ok(answer)
    }
}

/// Returns whether the path is public or the request has a valid token.
fn is_authorized(request: &Request<OperatorContext>) -> bool {
    if PUBLIC_PATHS.contains(&request.url().path()) {
        return true;
    }
    let value = request.header(AUTHORIZATION).map(|values| values.as_str());
    request.state().token.admits(value.map(str::as_bytes))
}

/// Returns the reason for an answer that the HTTP library created without a body.
fn default_reason(status: StatusCode) -> &'static str {
    match status {
        StatusCode::NotFound => "no such path",
        StatusCode::MethodNotAllowed => "this path takes another method",
        _ => status.canonical_reason(),
    }
}
