//! Verdicts on change tickets, in log order, and the state that accepted tickets make.
//!
//! [`tickets::TicketLedger`] is the replicated state machine of the control replicas: each replica
//! applies the committed log entries to its ledger, and the same entries give the same verdicts on
//! every replica.
//!
//! | module | holds |
//! |---|---|
//! | [`tickets`] | the replicated state machine |
//! | [`verdict`] | the verdict on one ticket |

pub mod tickets;
pub mod verdict;
