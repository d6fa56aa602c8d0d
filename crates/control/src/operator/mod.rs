//! HTTP interface for operators.
//!
//! | module | holds |
//! |---|---|
//! | [`listener`] | connections, with one bounded request on each |
//! | [`head`] | parsing and validation of request heads |
//! | [`routes`] | routes and the check of the access token |
//! | [`tickets`] | handlers that submit tickets and read verdicts |
//! | [`views`] | handlers of state, status, dump, metrics, health and readiness |
//! | [`answers`] | JSON answers and errors |

pub mod answers;
pub mod head;
pub mod listener;
pub mod routes;
pub mod tickets;
pub mod views;
