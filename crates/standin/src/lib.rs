//! Stand-in backend servers and load tool, for proof only.
//!
//! The program `wisteria-standin` has these commands. `backend` hosts servers that behave as real
//! backend servers do, faults included. `load` sends seeded requests as callers do, and measures
//! what became of them. `caller` makes one request of each kind. `ports` names free addresses.
//!
//! | module | holds |
//! |---|---|
//! | [`backend`] | stand-in backend servers |
//! | [`load`] | the load tool |
//! | [`caller`] | one caller that makes one request of each kind |
//! | [`client`] | HTTP calls on kept connections, with whole answers |
//! | [`digest`] | how a caller knows the answer to its own request |
//! | [`error`] | why a command ended |

pub mod backend;
pub mod caller;
pub mod client;
pub mod digest;
pub mod error;
pub mod load;
