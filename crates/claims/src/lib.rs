//! Idempotency keys claimed on several entry hosts, so that a request runs at most once.
//!
//! The keepers of a key are the entry hosts that store its claim record. An entry host runs a
//! request with a key only after a majority of the key's keepers has granted the claim. All types
//! here are state machines without I/O; the entry host's process sends and receives the messages.
//!
//! | module | holds |
//! |---|---|
//! | [`record`] | claim records of keys, and the messages between claimant and keeper |
//! | [`selector`] | selection of the keepers of a key |
//! | [`keeper`] | the record table of one keeper |
//! | [`claimant`] | one attempt to claim a key |

pub mod claimant;
#[doc(hidden)]
pub mod fault;
pub mod keeper;
pub mod record;
pub mod selector;
