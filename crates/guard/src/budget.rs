//! Retry and hedge budgets as shares of requests.

use std::sync::atomic::{AtomicI64, Ordering};

/// Thousandths of one attempt, the unit in which budgets count.
const ATTEMPT: i64 = 1000;

/// Extra attempts that a budget holds at most.
const MAX_ATTEMPTS: i64 = 50;

/// A token bucket that each request fills by a share of one attempt.
#[derive(Debug)]
struct ShareBudget {
    tokens: AtomicI64,
    share: i64,
}

impl ShareBudget {
    fn new(share: i64, initial: i64) -> Self {
        Self {
            tokens: AtomicI64::new(initial * ATTEMPT),
            share,
        }
    }

    fn deposit(&self) {
        let most = MAX_ATTEMPTS * ATTEMPT;
        let add = |tokens: i64| (tokens < most).then(|| (tokens + self.share).min(most));
        let _full = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    fn try_withdraw(&self) -> bool {
        let take = |tokens: i64| (tokens >= ATTEMPT).then(|| tokens - ATTEMPT);
        self.tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}

/// Bounds retries to a tenth of the requests, so that retries can't multiply an overload.
///
/// # Examples
///
/// ```
/// let budget = guard::RetryBudget::default();
/// (0..10).for_each(|_| budget.deposit());
/// let retries = (0..10).filter(|_| budget.try_withdraw()).count();
/// assert_eq!(retries, 4);
/// ```
#[derive(Debug)]
pub struct RetryBudget(ShareBudget);

impl RetryBudget {
    /// Retries for each request, in thousandths.
    pub const SHARE: i64 = 100;
    /// Retries that a new budget holds.
    pub const INITIAL: i64 = 3;

    /// Counts a first attempt of a request.
    pub fn deposit(&self) {
        self.0.deposit();
    }

    /// Takes one retry when the budget holds it.
    pub fn try_withdraw(&self) -> bool {
        self.0.try_withdraw()
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self(ShareBudget::new(Self::SHARE, Self::INITIAL))
    }
}

/// Bounds hedged attempts to a twentieth of the requests.
#[derive(Debug)]
pub struct HedgeBudget(ShareBudget);

impl HedgeBudget {
    /// Hedged attempts for each request, in thousandths.
    pub const SHARE: i64 = 50;
    /// Hedged attempts that a new budget holds.
    pub const INITIAL: i64 = 3;

    /// Counts a first attempt of a request.
    pub fn deposit(&self) {
        self.0.deposit();
    }

    /// Takes one hedged attempt when the budget holds it.
    pub fn try_withdraw(&self) -> bool {
        self.0.try_withdraw()
    }
}

impl Default for HedgeBudget {
    fn default() -> Self {
        Self(ShareBudget::new(Self::SHARE, Self::INITIAL))
    }
}
