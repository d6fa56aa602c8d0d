//! HTTP client for control replicas and entry hosts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_std::{future, task};
use http_types::{headers, Method, Request, StatusCode, Url};
use ledger::verdict::TicketVerdict;
use model::fault::InputFault;
use model::ticket::ChangeTicket;
use serde::de::DeserializeOwned;

use crate::args::AccessToken;
use crate::error::ClientError;

/// Time limit of one call to one process.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before the next round of retries, after every replica was asked without success.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum length of the response text that an error repeats, in characters.
const MAX_REASON_CHARS: usize = 500;

/// A complete HTTP response.
#[derive(Debug)]
struct HttpResponse {
    status: StatusCode,
    body: Vec<u8>,
}

impl HttpResponse {
    /// Returns the start of the body as text, without surrounding white space.
    fn reason(&self) -> String {
        let text = String::from_utf8_lossy(&self.body);
        text.trim().chars().take(MAX_REASON_CHARS).collect()
    }
}

/// A verdict, the replica that returned it and the number of attempts.
#[derive(Debug)]
pub struct VerdictAnswer {
    /// Verdict on the ticket.
    pub verdict: TicketVerdict,
    /// Address of the replica that returned the verdict.
    pub replica: SocketAddr,
    /// Number of times that the ticket was sent.
    pub sends: u32,
}

/// Calls control replicas and entry hosts, with one deadline for the whole command.
#[derive(Debug)]
pub struct ControlClient {
    controls: Vec<SocketAddr>,
    token: AccessToken,
    deadline: Instant,
}

impl ControlClient {
    /// Creates a client whose calls all end within the timeout.
    pub fn new(controls: Vec<SocketAddr>, token: AccessToken, timeout: Duration) -> Self {
        Self {
            controls,
            token,
            deadline: Instant::now() + timeout,
        }
    }

    /// Returns the operator addresses of the replicas.
    pub fn controls(&self) -> &[SocketAddr] {
        &self.controls
    }

    /// Returns whether the deadline has passed.
    pub fn is_expired(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// Submits a ticket to the replicas in turn until one returns its verdict.
    ///
    /// Retries are safe, as a ticket that is submitted again gets its first verdict.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::Refused`] if a replica refuses the request without a verdict, and
    /// [`ClientError::Unknown`] if no replica returns a verdict before the deadline.
    pub async fn submit(&self, ticket: &ChangeTicket) -> Result<VerdictAnswer, ClientError> {
        let path = format!("/v1/tickets/{}", ticket.number);
        let (mut sends, mut reason) = (0, "no answer".to_string());
        while !self.is_expired() {
            for replica in &self.controls {
                sends += 1;
                let call = self.call(*replica, Method::Put, &path, ticket.to_json());
                match call.await.and_then(|response| parse_verdict(&response)) {
                    Ok(verdict) => {
                        return Ok(VerdictAnswer {
                            verdict,
                            replica: *replica,
                            sends,
                        })
                    }
                    Err(ClientError::Unknown(text)) => reason = format!("{replica}: {text}"),
                    Err(e) => return Err(e),
                }
            }
            task::sleep(RETRY_DELAY).await;
        }
        Err(ClientError::Unknown(format!(
            "{reason}; send the same ticket again"
        )))
    }

    /// Sends a query to the replicas in turn, with retries, until one answers.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::Refused`] if a replica refuses the query, and
    /// [`ClientError::Unknown`] if none answers before the deadline.
    pub async fn query<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        loop {
            match self.query_once(path).await {
                Err(ClientError::Unknown(_)) if !self.is_expired() => (),
                result => return result,
            }
            task::sleep(RETRY_DELAY).await;
        }
    }

    /// Sends a query to each replica in turn, at most once, until one answers.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::Refused`] if a replica refuses the query, and
    /// [`ClientError::Unknown`] if none answers.
    pub async fn query_once<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let mut reason = "no answer".to_string();
        for replica in &self.controls {
            match self.query_at(*replica, path).await {
                Err(ClientError::Unknown(text)) => reason = format!("{replica}: {text}"),
                result => return result,
            }
        }
        Err(ClientError::Unknown(reason))
    }

    /// Sends a query to the process at the given address.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::NotFound`], [`ClientError::TooOld`] or [`ClientError::Refused`] if the
    /// process refuses the query, and [`ClientError::Unknown`] if it doesn't answer.
    pub async fn query_at<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, ClientError> {
        let response = self.call(address, Method::Get, path, Vec::new()).await?;
        if response.status == StatusCode::NotFound {
            return Err(ClientError::NotFound(path.to_string()));
        }
        if response.status != StatusCode::Ok {
            return Err(response_error(&response));
        }
        parse_body(address, &response)
    }

    /// Queries the readiness of an entry host.
    ///
    /// The response is read whatever its status, as a host that isn't ready reports its condition
    /// too.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::Unknown`] if the host doesn't answer.
    pub async fn readiness<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
    ) -> Result<T, ClientError> {
        let call = self.call(address, Method::Get, "/ready", Vec::new());
        parse_body(address, &call.await?)
    }

    /// Sends a request and waits for the response, up to [`CALL_TIMEOUT`] and the deadline.
    async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<HttpResponse, ClientError> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let request = self.send_request(address, method, path, body);
        match future::timeout(remaining.min(CALL_TIMEOUT), request).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(e)) => Err(ClientError::Unknown(e.to_string())),
            Err(_) => Err(ClientError::Unknown("no answer in time".to_string())),
        }
    }

    /// Opens a connection, sends a request and reads the response.
    async fn send_request(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<HttpResponse, http_types::Error> {
        let url = Url::parse(&format!("http://{address}{path}"))?;
        let mut request = Request::new(method, url);
        let token = &self.token.0;
        request.insert_header(headers::AUTHORIZATION, format!("Bearer {token}"));
        if !body.is_empty() {
            request.set_body(body);
            request.set_content_type("application/json".parse()?);
        }
        let stream = TcpStream::connect(address).await?;
        let mut response = async_h1::connect(stream, request).await?;
        let declared: Option<usize> = response
            .header(headers::CONTENT_LENGTH)
            .and_then(|value| value.as_str().parse().ok());
        let body = response.body_bytes().await?;
        // async-h1 reports no error if the connection closes before the end of the body.
        if declared.is_some_and(|length| length != body.len()) {
            return Err(http_types::Error::from_str(
                StatusCode::BadGateway,
                "the response body was truncated",
            ));
        }
        Ok(HttpResponse {
            status: response.status(),
            body,
        })
    }
}

/// Parses the body of a response as JSON.
fn parse_body<T: DeserializeOwned>(
    address: SocketAddr,
    response: &HttpResponse,
) -> Result<T, ClientError> {
    serde_json::from_slice(&response.body).map_err(|e| {
        ClientError::Unknown(format!("the response of {address} can't be parsed: {e}"))
    })
}

/// Parses the verdict of a response; a response without a verdict is an error.
fn parse_verdict(response: &HttpResponse) -> Result<TicketVerdict, ClientError> {
    match response.status {
        StatusCode::Ok
        | StatusCode::Conflict
        | StatusCode::Gone
        | StatusCode::UnprocessableEntity => serde_json::from_slice(&response.body)
            .map_err(|e| ClientError::Unknown(format!("the verdict can't be parsed: {e}"))),
        _ => Err(response_error(response)),
    }
}

/// Converts an unsuccessful response into an error.
///
/// Server errors and status 429 may be temporary and become [`ClientError::Unknown`]; every other
/// status becomes [`ClientError::Refused`].
fn response_error(response: &HttpResponse) -> ClientError {
    if response.status.is_server_error() || response.status == StatusCode::TooManyRequests {
        return ClientError::Unknown(response.reason());
    }
    if let Ok(TicketVerdict::TooOld { lowest }) = serde_json::from_slice(&response.body) {
        return ClientError::TooOld(lowest);
    }
    if response.status == StatusCode::Unauthorized {
        return ClientError::Refused("the access token is wrong".to_string());
    }
    match serde_json::from_slice::<Vec<InputFault>>(&response.body) {
        Ok(faults) => {
            let lines: Vec<_> = faults.iter().map(InputFault::to_string).collect();
            ClientError::Refused(lines.join("\n"))
        }
        Err(_) => ClientError::Refused(format!("{}: {}", response.status, response.reason())),
    }
}
