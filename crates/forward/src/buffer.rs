//! Memory limit for request bodies that are buffered in full.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Memory budget for buffered request bodies, shared by all callers.
#[derive(Debug)]
pub(crate) struct BufferBudget {
    capacity_bytes: u64,
    free_bytes: Arc<AtomicU64>,
}

impl BufferBudget {
    /// Creates a budget of `capacity_bytes`.
    pub(crate) fn new(capacity_bytes: u64) -> Self {
        Self {
            capacity_bytes,
            free_bytes: Arc::new(AtomicU64::new(capacity_bytes)),
        }
    }

    /// Returns the number of reserved bytes.
    pub(crate) fn reserved_bytes(&self) -> u64 {
        self.capacity_bytes
            .saturating_sub(self.free_bytes.load(Ordering::Relaxed))
    }

    /// Reserves `bytes`. Returns `None` if fewer bytes are free.
    pub(crate) fn try_reserve(&self, bytes: u64) -> Option<BufferPermit> {
        let reserve = |free: u64| free.checked_sub(bytes);
        self.free_bytes
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, reserve)
            .ok()?;
        Some(BufferPermit {
            free_bytes: self.free_bytes.clone(),
            bytes,
        })
    }
}

/// Bytes reserved in a [`BufferBudget`]; dropping the permit frees them.
#[derive(Debug)]
pub(crate) struct BufferPermit {
    free_bytes: Arc<AtomicU64>,
    bytes: u64,
}

impl Drop for BufferPermit {
    fn drop(&mut self) {
        self.free_bytes.fetch_add(self.bytes, Ordering::AcqRel);
    }
}
