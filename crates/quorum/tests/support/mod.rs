//! Replicas under a schedule that the test decides.

pub mod disk;
pub mod explorer;
pub mod ledger;
pub mod world;
