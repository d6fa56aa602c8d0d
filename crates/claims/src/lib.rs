//! Idempotency keys claimed on several entry hosts, so that a request runs at most once.
//!
//! An entry host runs a request under a key only after a majority of the key's keepers, which
//! are entry hosts themselves, has granted it the key. All types here are state machines without
//! input or output; a daemon carries the messages.
//!
//! | module | holds |
//! |---|---|
//! | [`record`] | what is known of a key |
//! | [`ring`] | which hosts keep a key |
//! | [`keeper`] | the table of one keeper |
//! | [`claimant`] | one attempt to claim a key, and how it ended |

pub mod claimant;
#[doc(hidden)]
pub mod fault;
pub mod keeper;
pub mod record;
pub mod ring;
