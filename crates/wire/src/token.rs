//! The token that a call between processes or from an operator needs.

use std::fmt;

use subtle::ConstantTimeEq;
use tonic::service::Interceptor;
use tonic::{Request, Status};

use crate::listen::ConnectionProof;

/// Metadata key and HTTP header of the token.
pub const TOKEN_HEADER: &str = "authorization";

/// A shared secret; its text is shown nowhere.
#[derive(Clone)]
pub struct AccessToken(String);

impl AccessToken {
    /// Least length of a token, in bytes.
    pub const MIN_BYTES: usize = 16;

    /// Wraps a token.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the value that a call carries.
    pub fn bearer(&self) -> String {
        format!("Bearer {}", self.0)
    }

    /// Tells whether a header value carries this token, in constant time for a given length.
    pub fn admits(&self, value: Option<&[u8]>) -> bool {
        let expected = self.bearer();
        value.is_some_and(|value| bool::from(value.ct_eq(expected.as_bytes())))
    }

    /// Returns an interceptor that adds the token to each call.
    pub fn sender(&self) -> TokenSender {
        TokenSender(self.clone())
    }

    /// Returns an interceptor that refuses calls without the token.
    pub fn checker(&self) -> TokenChecker {
        TokenChecker(self.clone())
    }
}

impl fmt::Debug for AccessToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AccessToken(…)")
    }
}

/// Adds the token to each call.
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

/// Refuses calls without the token.
#[derive(Clone, Debug)]
pub struct TokenChecker(AccessToken);

impl Interceptor for TokenChecker {
    fn call(&mut self, request: Request<()>) -> Result<Request<()>, Status> {
        let value = request.metadata().get(TOKEN_HEADER);
        if self.0.admits(value.map(|v| v.as_bytes())) {
            if let Some(proof) = request.extensions().get::<ConnectionProof>() {
                proof.give();
            }
            return Ok(request);
        }
        Err(Status::unauthenticated(
            "a valid token is needed: set WISTERIA_TOKEN or --token-file",
        ))
    }
}
