//! The load tool.
//!
//! The module [`run`] executes the phases of a [`scenario`] on a [`deployment`]. Each phase runs
//! once per [`policy::SteeringPolicy`] with the same [`schedule`] of requests. The results are a
//! [`report`].

pub mod audit;
pub mod caller;
pub mod cluster;
pub mod deployment;
pub mod headroom;
pub mod outcome;
pub mod policy;
pub mod report;
pub mod run;
pub mod scenario;
pub mod schedule;
mod sender;
pub mod settings;
pub mod ticket;
