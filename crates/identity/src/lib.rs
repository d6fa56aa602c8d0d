//! Keys of organisations, and the decision whose request it is.
//!
//! Hosts hold salted digests of the keys, never the keys themselves. This crate does no input or output.
//!
//! | module | holds |
//! |---|---|
//! | [`key`] | digests of keys |
//! | [`directory`] | the organisation of a key |
//! | [`decision`] | whether a request is served, and for which organisation |

pub mod decision;
pub mod directory;
pub mod key;
