//! The entry host daemon: takes callers' requests and sends them to backend servers.
//!
//! The decisions stand in crates of their own; this crate joins them to the network.
//!
//! | module | holds |
//! |---|---|
//! | [`settings`] | checked settings |
//! | [`context`] | what all parts of the process share |
//! | [`standing`] | whether the host may take new work |
//! | [`peers`] | what the host knows of the other entry hosts |
//! | [`exchange`] | exchange of announcements and standing with them |
//! | [`convert`] | wire messages to checked types and back |
//! | [`leases`] | cap shares from the leading control replica |
//! | [`polls`] | health and load of backend servers |
//! | [`steering`] | routes and look-ups, made anew as state changes |
//! | [`lookup`] | which entry hosts a caller should use |
//! | [`dump`] | the whole state as JSON |
//! | [`keys`] | idempotency keys of requests, claimed before they run |
//! | [`keepers`] | the keys that this host keeps |
//! | [`claim_wire`] | records of keys as wire messages |
//! | [`links`] | connections to other entry hosts |
//! | [`service`] | calls of other entry hosts |
//! | [`answers`] | what is answered besides forwarded requests |
//! | [`host`] | start and planned stop |

pub mod answers;
pub mod claim_wire;
pub mod context;
pub mod convert;
pub mod dump;
pub mod exchange;
pub mod host;
pub mod keepers;
pub mod keys;
pub mod leases;
pub mod links;
pub mod lookup;
pub mod peers;
pub mod polls;
pub mod service;
pub mod settings;
pub mod standing;
pub mod steering;
