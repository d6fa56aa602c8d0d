//! The control endpoint, which injects faults and returns request counts.

use std::sync::Arc;

use async_std::task;
use bytes::Bytes;
use http::{header, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use model::fault::InputFault;
use tokio::net::TcpListener;

use crate::backend::fault::{FaultCommand, RawFault};
use crate::backend::request_counts::RequestCounts;
use crate::backend::server::StandinServer;

/// Maximum size of a fault command's body.
const MAX_COMMAND_BYTES: usize = 4096;

/// The control endpoint of a process of stand-in backend servers.
#[derive(Debug, Clone)]
pub struct ControlEndpoint {
    /// The servers of the process, ordered by index.
    pub servers: Arc<Vec<Arc<StandinServer>>>,
    /// Request counts of the servers.
    pub counts: Arc<RequestCounts>,
}

impl ControlEndpoint {
    /// Accepts connections until the listener fails.
    pub async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let endpoint = self.clone();
            task::spawn(async move {
                let service = service_fn(|request| {
                    let endpoint = endpoint.clone();
                    async move { endpoint.answer(request).await }
                });
                // Errors are ignored, as the peer sees the end of the connection itself.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, http::Error> {
        let method = request.method().clone();
        let path = request.uri().path().to_string();
        match (method, path.as_str()) {
            (Method::GET, "/health") => json_answer(StatusCode::OK, &serde_json::json!({})),
            (Method::GET, "/control/servers") => {
                let statuses: Vec<_> = self.servers.iter().map(|server| server.status()).collect();
                json_answer(StatusCode::OK, &statuses)
            }
            (Method::GET, "/control/runs") => json_answer(StatusCode::OK, &self.counts.runs()),
            (Method::GET, "/control/windows") => {
                json_answer(StatusCode::OK, &self.counts.windows())
            }
            (Method::POST, "/control/clear") => {
                self.counts.clear_windows();
                json_answer(StatusCode::OK, &serde_json::json!({}))
            }
            (Method::POST, "/control/cool") => {
                self.servers
                    .iter()
                    .for_each(|server| server.reset_warm_up());
                json_answer(StatusCode::OK, &serde_json::json!({}))
            }
            (Method::POST, "/control") => self.inject_fault(request).await,
            _ => json_answer(StatusCode::NOT_FOUND, &serde_json::json!({})),
        }
    }

    /// Applies a fault command to one server or to all servers.
    async fn inject_fault(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, http::Error> {
        let body = Limited::new(request.into_body(), MAX_COMMAND_BYTES)
            .collect()
            .await;
        let body = body.map(|body| body.to_bytes()).unwrap_or_default();
        let command = serde_json::from_slice::<RawFault>(&body)
            .map_err(|e| InputFault::new("order", e, "an order in JSON"))
            .and_then(FaultCommand::try_from)
            .and_then(|command| self.check_server(command));
        let command = match command {
            Ok(command) => command,
            Err(fault) => return json_answer(StatusCode::BAD_REQUEST, &[fault]),
        };
        for server in self.servers.iter() {
            if command.server.is_none_or(|index| index == server.index) {
                server.inject_fault(command.clone());
            }
        }
        json_answer(StatusCode::OK, &serde_json::json!({}))
    }

    /// Checks that the server that a command names exists.
    fn check_server(&self, command: FaultCommand) -> Result<FaultCommand, InputFault> {
        match command.server {
            Some(index) if index >= self.servers.len() => Err(InputFault::new(
                "server",
                index,
                format!("0 to {}", self.servers.len() - 1),
            )),
            _ => Ok(command),
        }
    }
}

fn json_answer<T: serde::Serialize + ?Sized>(
    status: StatusCode,
    value: &T,
) -> Result<Response<Full<Bytes>>, http::Error> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
}
