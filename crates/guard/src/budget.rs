//! Retry and hedge budgets, proportional to the number of requests.

use std::sync::atomic::{AtomicI64, Ordering};

/// Units that one extra attempt costs; budgets count in thousandths of an attempt.
const UNITS_PER_ATTEMPT: i64 = 1000;

/// Upper bound on the extra attempts that a budget accumulates.
const MAX_STORED_ATTEMPTS: i64 = 50;

/// A token bucket to which each request adds a fraction of one attempt.
#[derive(Debug)]
struct ShareBudget {
    units: AtomicI64,
    units_per_request: i64,
}

impl ShareBudget {
    fn new(units_per_request: i64, initial: i64) -> Self {
        Self {
            units: AtomicI64::new(initial * UNITS_PER_ATTEMPT),
            units_per_request,
        }
    }

    fn deposit(&self) {
        let max = MAX_STORED_ATTEMPTS * UNITS_PER_ATTEMPT;
        let deposit = |units: i64| (units < max).then(|| (units + self.units_per_request).min(max));
        let _was_full = self
            .units
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, deposit);
    }

    fn try_withdraw(&self) -> bool {
        let withdraw = |units: i64| (units >= UNITS_PER_ATTEMPT).then(|| units - UNITS_PER_ATTEMPT);
        self.units
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, withdraw)
            .is_ok()
    }
}

/// Limits retries to a tenth of the requests, so that retries can't amplify an overload.
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
    /// Retries that each request adds to the budget, in thousandths.
    pub const THOUSANDTHS_PER_REQUEST: i64 = 100;
    /// Retries in a new budget.
    pub const INITIAL_ATTEMPTS: i64 = 3;

    /// Adds a request's share to the budget; call it once for the first attempt of each request.
    pub fn deposit(&self) {
        self.0.deposit();
    }

    /// Takes one retry out of the budget and returns whether the budget had one.
    pub fn try_withdraw(&self) -> bool {
        self.0.try_withdraw()
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self(ShareBudget::new(
            Self::THOUSANDTHS_PER_REQUEST,
            Self::INITIAL_ATTEMPTS,
        ))
    }
}

/// Limits hedged attempts to a twentieth of the requests.
#[derive(Debug)]
pub struct HedgeBudget(ShareBudget);

impl HedgeBudget {
    /// Hedged attempts that each request adds to the budget, in thousandths.
    pub const THOUSANDTHS_PER_REQUEST: i64 = 50;
    /// Hedged attempts in a new budget.
    pub const INITIAL_ATTEMPTS: i64 = 3;

    /// Adds a request's share to the budget; call it once for the first attempt of each request.
    pub fn deposit(&self) {
        self.0.deposit();
    }

    /// Takes one hedged attempt out of the budget and returns whether the budget had one.
    pub fn try_withdraw(&self) -> bool {
        self.0.try_withdraw()
    }
}

impl Default for HedgeBudget {
    fn default() -> Self {
        Self(ShareBudget::new(
            Self::THOUSANDTHS_PER_REQUEST,
            Self::INITIAL_ATTEMPTS,
        ))
    }
}
