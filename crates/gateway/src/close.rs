//! Ends of client connections.
//!
//! A connection ends in one of two ways. Either the last answer announces the end, and what the client sent behind
//! it counts as not read. Or nothing of a further request has been read since the last answer, and the socket is closed
//! without reading on: a request that crosses the end is reset, so that its client knows at once that it may
//! send it again.

use std::time::{Duration, Instant};

use fleet::site::ClientLimits;
use http::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION};

use crate::server::ServerPhase;

/// Header that says for how many seconds a connection may be idle.
pub(crate) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Time for which an idle connection stays open beyond its limit: a request may be in transit, and the client may
/// already go by a configuration with a higher limit that hasn't reached this host.
const IDLE_MARGIN: Duration = Duration::from_secs(3);

/// Why a client connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CloseCause {
    /// The last answer announced the end.
    Announced,
    /// The head of a request didn't arrive in time; the answer says so and announces the end.
    LateHead,
    /// No request came for longer than the limit.
    Idle,
    /// The host stops, and no request is unanswered.
    Shutdown,
    /// The client disconnected.
    Disconnected,
}

impl CloseCause {
    /// Returns whether the last answer tells the client of the end.
    pub fn is_announced(self) -> bool {
        match self {
            Self::Announced | Self::LateHead => true,
            Self::Idle | Self::Shutdown | Self::Disconnected => false,
        }
    }
}

/// What a client connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// Nothing of a request has been read since the last answer.
    Idle {
        /// Time of the last answer, or of the start of the connection.
        since: Instant,
        /// Idle time that the last answer announced.
        announced: Duration,
    },
    /// A part of the head of a request has been read.
    Receiving {
        /// Time of the first part.
        since: Instant,
        /// Time for which the connection was idle before.
        idle: Duration,
    },
    /// Requests are being served.
    Serving,
}

impl ConnectionState {
    /// Returns when the connection ends unless its state changes, and for which cause; `None` while requests are
    /// served.
    pub fn end(&self, limits: &ClientLimits, phase: ServerPhase) -> Option<(Instant, CloseCause)> {
        match *self {
            Self::Idle { since, .. } if phase >= ServerPhase::ClosingIdle => {
                Some((since, CloseCause::Shutdown))
            }
            Self::Idle { since, announced } => {
                let limit = limits.idle_timeout.max(announced);
                Some((since + limit + IDLE_MARGIN, CloseCause::Idle))
            }
            Self::Receiving { since, .. } if phase >= ServerPhase::Finishing => {
                Some((since, CloseCause::LateHead))
            }
            Self::Receiving { since, .. } => {
                Some((since + limits.header_timeout, CloseCause::LateHead))
            }
            Self::Serving => None,
        }
    }
}

/// How a connection goes on after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Continuation {
    /// The connection ends.
    Close,
    /// The client may use the connection again within this time, in whole seconds.
    KeepAlive(Duration),
    /// The answer says nothing of it.
    Unstated,
}

impl Continuation {
    /// Sets the headers of an answer that announce it.
    pub fn announce(self, headers: &mut HeaderMap) {
        headers.remove(CONNECTION);
        match self {
            Self::Close => {
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Self::KeepAlive(timeout) => {
                if let Ok(value) = HeaderValue::try_from(format!("timeout={}", timeout.as_secs())) {
                    headers.insert(CONNECTION, HeaderValue::from_static("keep-alive"));
                    headers.insert(KEEP_ALIVE, value);
                }
            }
            Self::Unstated => {}
        }
    }
}
