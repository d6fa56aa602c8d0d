//! Limits, deadlines, retry budgets and idempotency keys.
