//! Simulation of a cluster under a schedule of faults that the test decides.

pub mod cluster;
pub mod disk;
pub mod explorer;
pub mod history;
