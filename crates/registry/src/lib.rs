//! Registry of announced backend servers: which of them may receive requests, and their health, load
//! and statistics.
//!
//! There is no configured list of backend servers. Each server announces itself to any entry host,
//! and the entry hosts exchange the announcements that they know. The main type is
//! [`BackendRegistry`].
//!
//! | module | contents |
//! |---|---|
//! | [`registry`](BackendRegistry) | the registry of one entry host |
//! | [`entry`] | a backend server, and the selection of one of several |
//! | [`gauge`] | statistics of one backend server, shared between threads |
//! | [`report`] | health reports, load reports and outcomes of attempts |
//! | [`shared`] | announcements as entry hosts exchange them |
//! | [`snapshot`] | immutable snapshot of the registry, which requests read |
//! | [`error`] | rejected announcements |

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
