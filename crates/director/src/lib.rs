//! Control replica of a deployment: consensus, liveness of the processes, directory of entry hosts.
//!
//! One task owns the [`core::DirectorCore`], which makes every decision. Tasks that serve callers
//! use a [`handle::DirectorHandle`]. [`daemon::start`] is the entry point.
//!
//! | module | holds |
//! |---|---|
//! | [`settings`] | addresses, data folder, timing |
//! | [`address`] | replica ids that encode an address |
//! | [`message`] | messages between processes |
//! | [`call`] | calls to the core, and the actions that it returns |
//! | [`core`] | consensus, announcements, answers to entry hosts |
//! | `replicated` | committed log entries applied to the fleet state |
//! | `observer` | reports of all processes, and those to the other replicas |
//! | [`liveness`] | failure detection |
//! | [`directory`] | choice of the entry hosts for a client |
//! | [`evidence`] | reports about backend servers, and the hints that follow |
//! | [`feed`] | changes of observations for entry hosts |
//! | [`hints`] | hints about backend servers |
//! | [`index`] | indexes of the backend servers in messages |
//! | [`limits`] | limits of backend servers |
//! | [`loads`] | mean loads of the backend servers |
//! | [`quotas`] | quotas of organisations |
//! | [`shares`] | mean spill shares of the regions |
//! | [`suspects`] | evidence on requests during whose runs servers ended |
//! | [`outages`] | detection of backend servers that don't answer |
//! | [`mesh`] | client for calls to other processes |
//! | [`service`] | server for calls from other processes |
//! | [`handle`] | calls of the process's own listeners |
//! | [`metrics`] | metrics |
//! | [`daemon`] | start, run loop, leader transfer before a planned stop |

pub mod address;
pub mod call;
mod claims;
pub mod core;
pub mod daemon;
pub mod directory;
pub mod evidence;
pub mod feed;
pub mod follow;
pub mod handle;
pub mod hints;
pub mod hosts;
pub mod index;
pub mod limits;
pub mod liveness;
pub mod loads;
pub mod mesh;
pub mod message;
pub mod metrics;
mod observer;
pub mod outages;
pub mod quotas;
mod replicated;
pub mod service;
pub mod settings;
pub mod shares;
pub mod suspects;
