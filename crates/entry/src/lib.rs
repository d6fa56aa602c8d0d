//! Daemon of an entry host, which forwards callers' requests to backend servers.
//!
//! The decisions are made in crates without I/O, such as `steer` and `claims`; this crate connects
//! them to the network.
//!
//! | module | contents |
//! |---|---|
//! | [`settings`] | validated settings |
//! | [`context`] | shared context of the parts of the process |
//! | [`standing`] | status of the host: whether it accepts requests, and why |
//! | [`peers`] | status of the other entry hosts |
//! | [`exchange`] | periodic exchange of announcements and status with them |
//! | [`convert`] | announcements and heartbeats as wire messages |
//! | [`leases`] | leases of cap shares from the leading control replica |
//! | [`polls`] | polls of the health and load of backend servers |
//! | [`steering`] | routing and look-up tables, rebuilt when the state changes |
//! | [`lookup`] | look-up of the entry hosts that a caller should use |
//! | [`dump`] | state dump as JSON |
//! | [`keys`] | claims of idempotency keys, before their requests run |
//! | [`keepers`] | claim records that this host keeps, and their recovery |
//! | [`claim_wire`] | claim records as wire messages |
//! | [`channels`] | cached connections to other entry hosts |
//! | [`service`] | gRPC service for the calls of other entry hosts |
//! | [`api`] | HTTP API: look-ups, announcements, dumps, metrics and health |
//! | [`host`] | start and graceful shutdown |

pub mod api;
pub mod channels;
pub mod claim_wire;
pub mod context;
pub mod convert;
pub mod dump;
pub mod exchange;
pub mod host;
pub mod keepers;
pub mod keys;
pub mod leases;
pub mod lookup;
pub mod peers;
pub mod polls;
pub mod service;
pub mod settings;
pub mod standing;
pub mod steering;
