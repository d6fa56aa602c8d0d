//! The endpoint that sets faults and gives counts.

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

use crate::backend::fault::{FaultOrder, RawFault};
use crate::backend::run_log::RunLog;
use crate::backend::server::StandinServer;

/// Most bytes of an order.
const MAX_ORDER_BYTES: usize = 4096;

/// The servers of a process and their counts.
#[derive(Debug, Clone)]
pub struct ControlEndpoint {
    /// The servers by index.
    pub servers: Arc<Vec<Arc<StandinServer>>>,
    /// Their counts.
    pub log: Arc<RunLog>,
}

impl ControlEndpoint {
    /// Accepts connections for as long as the process runs.
    pub async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let endpoint = self.clone();
            task::spawn(async move {
                let service = service_fn(|request| {
                    let endpoint = endpoint.clone();
                    async move { endpoint.answer(request).await }
                });
                // The peer sees the end of the connection; there is nobody else to tell.
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
            (Method::GET, "/health") => json(StatusCode::OK, &serde_json::json!({})),
            (Method::GET, "/control/servers") => {
                let words: Vec<_> = self.servers.iter().map(|server| server.word()).collect();
                json(StatusCode::OK, &words)
            }
            (Method::GET, "/control/runs") => json(StatusCode::OK, &self.log.runs()),
            (Method::GET, "/control/windows") => json(StatusCode::OK, &self.log.windows()),
            (Method::POST, "/control/clear") => {
                self.log.clear_windows();
                json(StatusCode::OK, &serde_json::json!({}))
            }
            (Method::POST, "/control/cool") => {
                self.servers.iter().for_each(|server| server.cool());
                json(StatusCode::OK, &serde_json::json!({}))
            }
            (Method::POST, "/control") => self.order(request).await,
            _ => json(StatusCode::NOT_FOUND, &serde_json::json!({})),
        }
    }

    async fn order(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, http::Error> {
        let body = Limited::new(request.into_body(), MAX_ORDER_BYTES)
            .collect()
            .await;
        let body = body.map(|body| body.to_bytes()).unwrap_or_default();
        let order = serde_json::from_slice::<RawFault>(&body)
            .map_err(|e| InputFault::new("order", e, "an order in JSON"))
            .and_then(FaultOrder::try_from)
            .and_then(|order| self.check_server(order));
        let order = match order {
            Ok(order) => order,
            Err(fault) => return json(StatusCode::BAD_REQUEST, &[fault]),
        };
        for server in self.servers.iter() {
            if order.server.is_none_or(|index| index == server.index) {
                server.order(order.clone());
            }
        }
        json(StatusCode::OK, &serde_json::json!({}))
    }

    fn check_server(&self, order: FaultOrder) -> Result<FaultOrder, InputFault> {
        match order.server {
            Some(index) if index >= self.servers.len() => Err(InputFault::new(
                "server",
                index,
                format!("0 to {}", self.servers.len() - 1),
            )),
            _ => Ok(order),
        }
    }
}

fn json<T: serde::Serialize + ?Sized>(
    status: StatusCode,
    value: &T,
) -> Result<Response<Full<Bytes>>, http::Error> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
}
