//! The load tool.
//!
//! [`run`] carries out the phases of a [`scenario`] on a [`deployment`], once by each
//! [`policy::SteeringPolicy`], with the same [`schedule`] of requests, and writes a [`report`].

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
