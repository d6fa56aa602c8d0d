//! Who goes first while the room of a service is short, without any I/O.
//!
//! Methods that depend on time take the current time as an argument. The reasons are in
//! `docs/design/admission.md`.
//!
//! | module | holds |
//! |---|---|
//! | [`rank`] | how long requests of a rank may queue while more urgent ones come |
//! | [`second`] | retries and hedges |

pub mod rank;
pub mod second;
