//! Bodies of clients' requests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::buffer::{BufferBudget, BufferError};

/// Most bytes of an unread body that are read so that the connection can stay open.
const MAX_DRAINED_BYTES: u64 = 64 << 10;

/// Longest time for which an answer waits for the rest of such a body.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// Body of a client's request, which remembers how far it was read.
#[derive(Debug)]
pub(crate) struct ClientBody {
    incoming: Incoming,
    state: BodyState,
    /// Whether the client waits for permission to send the body.
    expects_continue: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyState {
    /// A part may be left.
    Open,
    /// The body was read to its end.
    Complete,
    /// The end can't be found.
    Broken,
}

impl ClientBody {
    /// Wraps a body of which nothing was read.
    pub(crate) fn new(incoming: Incoming, expects_continue: bool) -> Self {
        let state = if incoming.is_end_stream() {
            BodyState::Complete
        } else {
            BodyState::Open
        };
        Self {
            incoming,
            state,
            expects_continue,
        }
    }

    /// Reads the body, of at most `max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large or broken, or if there is no room for it.
    pub(crate) async fn collect(
        &mut self,
        buffers: &BufferBudget,
        max_bytes: usize,
    ) -> Result<Bytes, BufferError> {
        let result = buffers.collect(&mut self.incoming, max_bytes).await;
        self.state = match &result {
            Ok(_) => BodyState::Complete,
            Err(BufferError::Truncated(_)) => BodyState::Broken,
            Err(BufferError::TooLarge | BufferError::NoRoom) => BodyState::Open,
        };
        result
    }

    /// Reads and discards the rest of the body, and returns whether its end was reached. Otherwise what follows
    /// on the connection can't be told from the body.
    pub(crate) async fn drain(&mut self) -> bool {
        match self.state {
            BodyState::Complete => return true,
            BodyState::Broken => return false,
            BodyState::Open => {}
        }
        // A client that waits for permission to send the body gets an answer instead.
        if self.expects_continue || self.incoming.size_hint().lower() > MAX_DRAINED_BYTES {
            return false;
        }
        let reading = async {
            let mut drained = 0;
            while let Some(frame) = self.incoming.frame().await {
                let Ok(frame) = frame else {
                    return false;
                };
                drained += frame.data_ref().map_or(0, |data| data.len() as u64);
                if drained > MAX_DRAINED_BYTES {
                    return false;
                }
            }
            true
        };
        tokio::time::timeout(DRAIN_TIMEOUT, reading)
            .await
            .unwrap_or(false)
    }
}
