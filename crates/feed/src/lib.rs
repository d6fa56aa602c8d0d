//! Replicates the current state from the control replicas to the entry hosts.
//!
//! Every control replica and entry host has one [`holder::StateHolder`]. A control replica updates
//! it from its log. An entry host updates it with a [`watcher::FeedWatcher`], which subscribes to
//! one source at a time: a control replica or another entry host. Both serve their state to other
//! hosts with a [`service::FeedService`], so a host stays up to date as long as it reaches any
//! process that is.
//!
//! | module | holds |
//! |---|---|
//! | [`view`] | immutable view of the state, with the latest heartbeat of the leader |
//! | [`holder`] | the current view, which only newer state replaces |
//! | [`service`] | gRPC service that streams the state to watchers |
//! | [`watcher`] | subscription to a source, with failover to the next one |
//! | [`plan`] | order in which a host tries the sources |

pub mod holder;
pub mod plan;
pub mod service;
pub mod view;
pub mod watcher;
