//! Memory for bodies of requests that are held whole.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Memory for bodies of requests that are held whole, shared by all callers.
#[derive(Debug)]
pub(crate) struct HoldBudget {
    bytes: u64,
    left: Arc<AtomicU64>,
}

impl HoldBudget {
    /// Creates a budget in bytes.
    pub(crate) fn new(bytes: u64) -> Self {
        let left = Arc::new(AtomicU64::new(bytes));
        Self { bytes, left }
    }

    /// Returns the bytes that are taken.
    pub(crate) fn held(&self) -> u64 {
        self.bytes.saturating_sub(self.left.load(Ordering::Relaxed))
    }

    /// Takes bytes, if they are there.
    pub(crate) fn try_take(&self, bytes: u64) -> Option<HoldPermit> {
        let take = |left: u64| left.checked_sub(bytes);
        self.left
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, take)
            .ok()?;
        Some(HoldPermit {
            left: self.left.clone(),
            bytes,
        })
    }
}

/// Bytes taken from a budget; dropping it gives them back.
#[derive(Debug)]
pub(crate) struct HoldPermit {
    left: Arc<AtomicU64>,
    bytes: u64,
}

impl Drop for HoldPermit {
    fn drop(&mut self) {
        self.left.fetch_add(self.bytes, Ordering::AcqRel);
    }
}
