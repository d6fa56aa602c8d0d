//! Decisions of an entry host, without input or output.
//!
//! A [`balancer::LoadBalancer`] knows the backend servers from the control replicas, their load
//! from their answers, and their health from what became of requests. It takes the present time
//! with each call.
//!
//! | module | holds |
//! |---|---|
//! | [`balancer`] | the choice of a backend server, or a refusal |
//! | [`query`] | what is asked of it, and what it answers |
//! | [`server`] | what is known of one backend server |
//! | [`spill`] | the share of a region's requests that runs in other regions |
//! | [`budget`] | the bound on second attempts |
//! | [`settings`] | bounds and the place of the host |
//!
//! Within the crate, `group` is what is known of a service, `region` what leaves this host's region,
//! `weigh` how backend servers are weighed, and `decay` how old observations lose their weight.

pub mod balancer;
pub mod budget;
mod decay;
mod group;
pub mod query;
mod region;
pub mod server;
pub mod settings;
pub mod spill;
mod weigh;
