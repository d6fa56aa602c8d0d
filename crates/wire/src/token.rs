//! The access token that authenticates calls between processes and calls of operators.

use std::fmt;

use subtle::ConstantTimeEq;
use tonic::service::Interceptor;
use tonic::{Request, Status};

use crate::listen::ConnectionAuth;

/// gRPC metadata key and HTTP header that carry the token.
pub const TOKEN_HEADER: &str = "authorization";

/// Secret that all processes and operators of a deployment share.
///
/// The `Debug` output doesn't contain it.
#[derive(Clone)]
pub struct AccessToken(String);

impl AccessToken {
    /// Minimum length of a token, in bytes.
    pub const MIN_BYTES: usize = 16;

    /// Creates a token from its text, without validating it.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the header value of a call: `Bearer` and the token.
    pub fn bearer(&self) -> String {
        format!("Bearer {}", self.0)
    }

    /// Returns whether a header value carries this token.
    ///
    /// The comparison takes constant time for values of the same length, so that its duration
    /// doesn't reveal the token.
    pub fn admits(&self, value: Option<&[u8]>) -> bool {
        let expected = self.bearer();
        value.is_some_and(|value| bool::from(value.ct_eq(expected.as_bytes())))
    }

    /// Returns an interceptor that adds the token to each call.
    pub fn sender(&self) -> TokenSender {
        TokenSender(self.clone())
    }

    /// Returns an interceptor that rejects calls without the token.
    pub fn checker(&self) -> TokenChecker {
        TokenChecker(self.clone())
    }
}

impl fmt::Debug for AccessToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AccessToken(…)")
    }
}

/// Interceptor that adds the token to each call.
#[derive(Clone, Debug)]
pub struct TokenSender(AccessToken);

impl Interceptor for TokenSender {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        let value = self
            .0
            .bearer()
            .parse()
            .map_err(|_| Status::internal("the token holds bytes that a header can't carry"))?;
        request.metadata_mut().insert(TOKEN_HEADER, value);
        Ok(request)
    }
}

/// Interceptor that rejects calls without the token.
///
/// A call with the token marks its connection as authenticated; see [`ConnectionAuth`].
#[derive(Clone, Debug)]
pub struct TokenChecker(AccessToken);

impl Interceptor for TokenChecker {
    fn call(&mut self, request: Request<()>) -> Result<Request<()>, Status> {
        let value = request.metadata().get(TOKEN_HEADER);
        if self.0.admits(value.map(|v| v.as_bytes())) {
            if let Some(auth) = request.extensions().get::<ConnectionAuth>() {
                auth.set_authenticated();
            }
            return Ok(request);
        }
        Err(Status::unauthenticated(
            "a valid token is needed: set WISTERIA_TOKEN or --token-file",
        ))
    }
}
