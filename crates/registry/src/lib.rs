//! Announced backend servers, their health, load and leaving.
//!
//! There is no list of backend servers: they announce themselves to any entry host, and entry
//! hosts exchange what they heard. A newcomer starts with [`BackendRegistry`].
//!
//! | module | holds |
//! |---|---|
//! | [`registry`](BackendRegistry) | the table of one entry host and its commands |
//! | [`entry`] | one backend server, its gauge and the choice between several |
//! | [`gauge`] | figures of one backend server that threads share |
//! | [`report`] | what is reported of a backend server and what its attempts tell |
//! | [`shared`] | announcements as entry hosts exchange them |
//! | [`snapshot`] | the immutable table that requests read |
//! | [`error`] | why an announcement is refused |

pub mod entry;
pub mod error;
pub mod gauge;
mod registry;
pub mod report;
pub mod shared;
pub mod snapshot;
mod table;

pub use entry::{pick_backend, BackendEntry, BackendKey, SlotPermit};
pub use error::RegistryError;
pub use gauge::BackendGauge;
pub use registry::{AnnounceAnswer, BackendRegistry};
pub use report::{BackendOutcome, HealthReport, LoadReport};
pub use shared::SharedAnnouncement;
