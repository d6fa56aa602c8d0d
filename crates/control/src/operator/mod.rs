//! The operators' interface over HTTP.
//!
//! | module | holds |
//! |---|---|
//! | [`listener`] | connections: one bounded request on each |
//! | [`head`] | the head of a request, and what is refused at once |
//! | [`routes`] | which path does what |
//! | [`tickets`] | submitting tickets and reading verdicts |
//! | [`views`] | what is in force, status, dump, health |
//! | [`answers`] | answers in JSON |

pub mod answers;
pub mod head;
pub mod listener;
pub mod routes;
pub mod tickets;
pub mod views;
