//! Stand-in backend servers and a load tool, for tests only.
//!
//! The program `wisteria-standin` has these commands:
//!
//! - `backend` hosts stand-in backend servers, which implement the interface of backend servers and
//!   accept injected faults.
//! - `load` sends a seeded sequence of requests like callers do, and measures their outcomes.
//! - `caller` sends one request of each kind.
//! - `ports` prints free loopback addresses.
//!
//! | module | contents |
//! |---|---|
//! | [`backend`] | stand-in backend servers |
//! | [`load`] | the load tool |
//! | [`caller`] | the command `caller` |
//! | [`client`] | an HTTP client that reuses connections and returns only complete answers |
//! | [`digest`] | digests by which a caller recognises the complete answer to its own request |
//! | [`error`] | the error type |

pub mod backend;
pub mod caller;
pub mod client;
pub mod digest;
pub mod error;
pub mod load;
