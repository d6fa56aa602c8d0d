//! Durable state: write-ahead log and snapshots.
