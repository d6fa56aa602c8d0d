//! Which path does what.

use std::sync::Arc;

use feed::holder::StateHolder;
use telemetry::metrics::MetricRegistry;
use tide::http::headers::AUTHORIZATION;
use tide::utils::async_trait;
use tide::{Middleware, Next, Request, Server, StatusCode};
use wire::token::AccessToken;

use crate::call::CoreHandle;
use crate::metrics::ControlMetrics;
use crate::operator::{answers, tickets, views};
use crate::peers::PeerLinks;
use crate::submitter::LeaderCaller;

/// Paths that need no token.
const OPEN_PATHS: [&str; 3] = ["/health", "/ready", "/metrics"];

/// What the routes work with.
#[derive(Debug, Clone)]
pub struct OperatorContext {
    /// Asks the core.
    pub core: CoreHandle,
    /// Asks the leader.
    pub caller: LeaderCaller,
    /// Links to the other replicas.
    pub peers: PeerLinks,
    /// What is in force.
    pub holder: Arc<StateHolder>,
    /// Token of operators.
    pub token: AccessToken,
    /// Metrics to show.
    pub registry: MetricRegistry,
    /// Metrics to count in.
    pub metrics: ControlMetrics,
}

/// The operators' application.
#[derive(Debug, Clone)]
pub struct OperatorApp {
    server: Server<OperatorContext>,
}

impl OperatorApp {
    /// Creates the application with all of its routes.
    pub fn new(context: OperatorContext) -> Self {
        let mut server = tide::with_state(context);
        server.with(AccessGate);
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
    /// Fails where a route does.
    pub async fn answer(
        &self,
        request: tide::http::Request,
    ) -> http_types::Result<tide::http::Response> {
        self.server.respond(request).await
    }
}

/// Refuses requests without the token, and finishes every answer.
struct AccessGate;

#[async_trait]
impl Middleware<OperatorContext> for AccessGate {
    async fn handle(
        &self,
        request: Request<OperatorContext>,
        next: Next<'_, OperatorContext>,
    ) -> tide::Result {
        let metrics = request.state().metrics.clone();
        let mut answer = if is_admitted(&request) {
            next.run(request).await
        } else {
            let reason = "a valid token is needed: set WISTERIA_TOKEN or --token-file";
            answers::refusal(StatusCode::Unauthorized, reason)
        };
        if answer.is_empty() == Some(true) {
            answer = answers::refusal(answer.status(), bare_reason(answer.status()));
        }
        answer.insert_header("connection", "close");
        metrics.count_answer(answer.status().into());
        Ok(answer)
    }
}

fn is_admitted(request: &Request<OperatorContext>) -> bool {
    if OPEN_PATHS.contains(&request.url().path()) {
        return true;
    }
    let value = request.header(AUTHORIZATION).map(|values| values.as_str());
    request.state().token.admits(value.map(str::as_bytes))
}

/// Returns the reason of an answer that the library gave without one.
fn bare_reason(status: StatusCode) -> &'static str {
    match status {
        StatusCode::NotFound => "no such path",
        StatusCode::MethodNotAllowed => "this path takes another method",
        _ => status.canonical_reason(),
    }
}
