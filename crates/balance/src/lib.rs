//! Load balancing decisions of an entry host, without any I/O.
//!
//! A [`balancer::LoadBalancer`] learns the backend servers from the control replicas, their load
//! from the load reports in their answers, and their health from the outcome of attempts. Methods
//! that depend on time take the current time as an argument.
//!
//! | module | holds |
//! |---|---|
//! | [`balancer`] | the choice of a backend server for a request, or a refusal |
//! | [`quarantine`] | requests that are held back because servers ended with them |
//! | [`query`] | inputs and results of the balancer |
//! | [`server`] | load, health and cache state of one backend server |
//! | [`spill`] | the share of a region's requests that runs in other regions |
//! | [`limit`] | this host's share of the request rates that servers take |
//! | [`notice`] | what servers ask of this host in their answers |
//! | [`budget`] | the retry budget |
//! | [`settings`] | limits, and the location of the host |
//!
//! Within the crate, `group` holds the servers and processing times of a service, `region` compares
//! the load of this host's region with that of the other regions, `reach` tells which zones this host
//! reaches, `precedence` lets urgent requests go first, `ranking` orders the hosts for a server, `candidate` computes the cost of the candidates for
//! a request, and `decay` reduces the weight of old observations.

pub mod balancer;
pub mod budget;
mod candidate;
mod decay;
mod group;
pub mod limit;
pub mod notice;
mod precedence;
pub mod quarantine;
pub mod query;
mod ranking;
mod reach;
mod region;
pub mod server;
pub mod settings;
pub mod spill;
