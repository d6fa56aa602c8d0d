//! Addresses, folder and times of a control replica.

use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;

/// Settings of one replica.
#[derive(Debug, Clone)]
pub struct DirectorSettings {
    /// Where the other processes reach this one.
    pub mesh: SocketAddrV4,
    /// Where the replicas were found that this one knows of.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the deployment starts for the first time.
    pub founding: bool,
    /// Folder of the log and its snapshots.
    pub folder: PathBuf,
    /// Hosts with a disk that may be lost at once; there are twice as many voters and one more.
    pub tolerated: usize,
    /// Time between two announcements of a backend server.
    pub announcement_interval: Duration,
}

impl DirectorSettings {
    /// Returns the number of voters that the tolerated losses need.
    pub fn voters(&self) -> usize {
        self.tolerated * 2 + 1
    }
}
