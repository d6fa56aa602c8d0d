//! Calls to control replicas and entry hosts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_std::{future, task};
use http_types::{headers, Method, Request, StatusCode, Url};
use ledger::verdict::TicketVerdict;
use model::fault::InputFault;
use model::ticket::ChangeTicket;
use serde::de::DeserializeOwned;

use crate::args::TokenText;
use crate::error::ClientError;

/// Longest time that one process may take for its answer.
const CALL_BOUND: Duration = Duration::from_secs(3);

/// Pause after each replica has been asked once without a verdict.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Greatest length of a refusal's text that is repeated, in bytes.
const MAX_REASON_BYTES: usize = 500;

/// A whole answer.
#[derive(Debug)]
struct CallAnswer {
    status: StatusCode,
    body: Vec<u8>,
}

impl CallAnswer {
    /// Returns the start of the body as text.
    fn reason(&self) -> String {
        let text = String::from_utf8_lossy(&self.body);
        text.trim().chars().take(MAX_REASON_BYTES).collect()
    }
}

/// A verdict and how it was got.
#[derive(Debug)]
pub struct VerdictAnswer {
    /// The verdict.
    pub verdict: TicketVerdict,
    /// Replica that gave it.
    pub replica: SocketAddr,
    /// Times that the ticket was sent.
    pub sends: u32,
}

/// Calls the replicas in turn, within a bound on the whole command.
#[derive(Debug)]
pub struct ControlClient {
    controls: Vec<SocketAddr>,
    token: TokenText,
    deadline: Instant,
}

impl ControlClient {
    /// Creates a client whose calls all end within the bound.
    pub fn new(controls: Vec<SocketAddr>, token: TokenText, bound: Duration) -> Self {
        Self {
            controls,
            token,
            deadline: Instant::now() + bound,
        }
    }

    /// Returns the operator addresses of the replicas.
    pub fn controls(&self) -> &[SocketAddr] {
        &self.controls
    }

    /// Tells whether the bound has passed.
    pub fn is_late(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// Sends a ticket to the replicas in turn until one knows its verdict.
    ///
    /// A resend is safe: the same ticket gets its first verdict.
    ///
    /// # Errors
    ///
    /// Gives [`ClientError::Refused`] for a refusal other than a verdict, and
    /// [`ClientError::Unknown`] where the bound passes.
    pub async fn submit(&self, ticket: &ChangeTicket) -> Result<VerdictAnswer, ClientError> {
        let path = format!("/v1/tickets/{}", ticket.number);
        let (mut sends, mut why) = (0, "no answer".to_string());
        while !self.is_late() {
            for replica in &self.controls {
                sends += 1;
                let answer = self.call(*replica, Method::Put, &path, ticket.to_json());
                match answer.await.and_then(|answer| read_verdict(&answer)) {
                    Ok(verdict) => {
                        return Ok(VerdictAnswer {
                            verdict,
                            replica: *replica,
                            sends,
                        })
                    }
                    Err(ClientError::Unknown(text)) => why = format!("{replica}: {text}"),
                    Err(e) => return Err(e),
                }
            }
            task::sleep(ROUND_PAUSE).await;
        }
        Err(ClientError::Unknown(format!(
            "{why}; send the same ticket again"
        )))
    }

    /// Asks the replicas in turn until one answers.
    ///
    /// # Errors
    ///
    /// Gives [`ClientError::Refused`] where a replica refuses, and [`ClientError::Unknown`] where
    /// the bound passes.
    pub async fn query<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        loop {
            match self.query_once(path).await {
                Err(ClientError::Unknown(_)) if !self.is_late() => (),
                answer => return answer,
            }
            task::sleep(ROUND_PAUSE).await;
        }
    }

    /// Asks each replica at most once, until one answers.
    ///
    /// # Errors
    ///
    /// As [`ControlClient::query`].
    pub async fn query_once<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let mut why = "no answer".to_string();
        for replica in &self.controls {
            match self.query_at(*replica, path).await {
                Err(ClientError::Unknown(text)) => why = format!("{replica}: {text}"),
                answer => return answer,
            }
        }
        Err(ClientError::Unknown(why))
    }

    /// Asks one process.
    ///
    /// # Errors
    ///
    /// As [`ControlClient::query`].
    pub async fn query_at<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, ClientError> {
        let answer = self.call(address, Method::Get, path, Vec::new()).await?;
        if answer.status == StatusCode::NotFound {
            return Err(ClientError::Refused(format!("{path}: there is none")));
        }
        if answer.status != StatusCode::Ok {
            return Err(refusal(&answer));
        }
        read(address, &answer)
    }

    /// Asks an entry host how it is, whether it is ready or not.
    ///
    /// # Errors
    ///
    /// Gives [`ClientError::Unknown`] where it gives no answer.
    pub async fn readiness<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
    ) -> Result<T, ClientError> {
        let call = self.call(address, Method::Get, "/ready", Vec::new());
        read(address, &call.await?)
    }

    async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<CallAnswer, ClientError> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let exchange = self.exchange(address, method, path, body);
        match future::timeout(left.min(CALL_BOUND), exchange).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(e)) => Err(ClientError::Unknown(e.to_string())),
            Err(_) => Err(ClientError::Unknown("no answer in time".to_string())),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<CallAnswer, http_types::Error> {
        let url = Url::parse(&format!("http://{address}{path}"))?;
        let mut request = Request::new(method, url);
        let token = &self.token.0;
        request.insert_header(headers::AUTHORIZATION, format!("Bearer {token}"));
        if !body.is_empty() {
            request.set_body(body);
            request.set_content_type("application/json".parse()?);
        }
        let stream = TcpStream::connect(address).await?;
        let mut answer = async_h1::connect(stream, request).await?;
        let declared: Option<usize> = answer
            .header(headers::CONTENT_LENGTH)
            .and_then(|value| value.as_str().parse().ok());
        let body = answer.body_bytes().await?;
        // The library takes a body that ends early for a whole one.
        if declared.is_some_and(|length| length != body.len()) {
            return Err(http_types::Error::from_str(
                StatusCode::BadGateway,
                "the answer was cut",
            ));
        }
        Ok(CallAnswer {
            status: answer.status(),
            body,
        })
    }
}

fn read<T: DeserializeOwned>(address: SocketAddr, answer: &CallAnswer) -> Result<T, ClientError> {
    serde_json::from_slice(&answer.body)
        .map_err(|e| ClientError::Unknown(format!("{address} answered oddly: {e}")))
}

/// Reads a verdict; other refusals are errors.
fn read_verdict(answer: &CallAnswer) -> Result<TicketVerdict, ClientError> {
    match answer.status {
        StatusCode::Ok
        | StatusCode::Conflict
        | StatusCode::Gone
        | StatusCode::UnprocessableEntity => serde_json::from_slice(&answer.body)
            .map_err(|e| ClientError::Unknown(format!("the verdict can't be read: {e}"))),
        _ => Err(refusal(answer)),
    }
}

/// Turns an answer that is no success into an error.
fn refusal(answer: &CallAnswer) -> ClientError {
    if answer.status.is_server_error() || answer.status == StatusCode::TooManyRequests {
        return ClientError::Unknown(answer.reason());
    }
    if answer.status == StatusCode::Unauthorized {
        return ClientError::Refused("the access token is wrong".to_string());
    }
    match serde_json::from_slice::<Vec<InputFault>>(&answer.body) {
        Ok(faults) => {
            let lines: Vec<_> = faults.iter().map(InputFault::to_string).collect();
            ClientError::Refused(lines.join("\n"))
        }
        Err(_) => ClientError::Refused(format!("{}: {}", answer.status, answer.reason())),
    }
}
