//! Idempotency keys claimed on several entry hosts.
