//! Verdicts on tickets, in log order, and the state in force that follows from them.
//!
//! The control replicas apply each committed log entry to a [`book::TicketBook`]; the same entries
//! give the same verdicts on every replica.

pub mod book;
pub mod verdict;
