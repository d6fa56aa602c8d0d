//! Memory for bodies of requests and answers, which are buffered as a whole.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use quick_error::quick_error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes of a body that draw on the room for small bodies; the rest draws on that for large ones. So
/// large bodies can't take the room of small ones.
const SMALL_BODY_BYTES: usize = 256 << 10;

/// Smallest buffer of a body without a length.
const MIN_CAPACITY: usize = 4 << 10;

/// Share of the memory of the process for the first bytes of all bodies.
const SMALL_SHARE: f64 = 0.125;

/// Share of the memory of the process for the rest of large bodies.
const LARGE_SHARE: f64 = 0.5;

quick_error! {
    /// Reason why a body isn't buffered.
    #[derive(Debug)]
    pub enum BufferError {
        /// The body exceeds its size limit.
        TooLarge {
            display("the body is larger than its limit")
        }
        /// The buffered bodies of all connections take all room.
        NoRoom {
            display("there is no room to buffer the body")
        }
        /// The connection failed before the body was complete.
        Truncated(err: hyper::Error) {
            from()
            source(err)
            display("the body was cut: {err}")
        }
    }
}

/// Limits the memory of the bodies that are buffered at the same time.
#[derive(Debug, Clone)]
pub struct BufferBudget {
    small: Arc<Semaphore>,
    large: Arc<Semaphore>,
}

/// A buffered body; its memory returns to the budget when it is dropped.
#[derive(Default)]
struct BufferedBody {
    bytes: Vec<u8>,
    /// Permits for the capacity of `bytes`.
    _permits: Vec<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for BufferedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BufferBudget {
    /// Creates the budget of a process that may use `memory` bytes.
    pub fn new(memory: usize) -> Self {
        let share = |share: f64| Arc::new(Semaphore::new((memory as f64 * share) as usize));
        Self {
            small: share(SMALL_SHARE),
            large: share(LARGE_SHARE),
        }
    }

    /// Buffers a body of at most `max_bytes` bytes. Its room is free again when the last clone of the
    /// returned bytes is dropped.
    ///
    /// A body with a length gets all its room before any of it is read, so that one for which there is no
    /// room is refused at once.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large, if there is no room for it, or if its connection fails.
    pub async fn collect(
        &self,
        body: &mut Incoming,
        max_bytes: usize,
    ) -> Result<Bytes, BufferError> {
        let announced = body.size_hint().lower();
        let announced = usize::try_from(announced).unwrap_or(usize::MAX);
        if announced > max_bytes {
            return Err(BufferError::TooLarge);
        }
        let mut buffered = BufferedBody::default();
        self.grow(&mut buffered, announced)?;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let length = buffered.bytes.len() + data.len();
            if length > max_bytes {
                return Err(BufferError::TooLarge);
            }
            if length > buffered.bytes.capacity() {
                let doubled = buffered.bytes.capacity().saturating_mul(2);
                let capacity = doubled.max(MIN_CAPACITY).min(max_bytes).max(length);
                self.grow(&mut buffered, capacity)?;
            }
            buffered.bytes.extend_from_slice(&data);
        }
        if buffered.bytes.is_empty() {
            return Ok(Bytes::new());
        }
        Ok(Bytes::from_owner(buffered))
    }

    /// Moves a body to a buffer of the given capacity. While it is copied, both buffers take room.
    fn grow(&self, body: &mut BufferedBody, capacity: usize) -> Result<(), BufferError> {
        let mut grown = BufferedBody {
            _permits: self.reserve(capacity)?,
            bytes: Vec::with_capacity(capacity),
        };
        grown.bytes.extend_from_slice(&body.bytes);
        *body = grown;
        Ok(())
    }

    /// Takes room for a buffer.
    fn reserve(&self, capacity: usize) -> Result<Vec<OwnedSemaphorePermit>, BufferError> {
        let small = capacity.min(SMALL_BODY_BYTES);
        let mut permits = Vec::new();
        for (room, part) in [(&self.small, small), (&self.large, capacity - small)] {
            if part == 0 {
                continue;
            }
            let part = u32::try_from(part).map_err(|_| BufferError::TooLarge)?;
            let permit = Arc::clone(room).try_acquire_many_owned(part);
            permits.push(permit.map_err(|_| BufferError::NoRoom)?);
        }
        Ok(permits)
    }
}
