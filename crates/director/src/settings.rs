//! Settings of a control replica.

use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;

use quota::terms::QuotaTerms;

/// Addresses, data folder and timing of one control replica.
#[derive(Debug, Clone)]
pub struct DirectorSettings {
    /// Address at which other processes call this replica.
    pub mesh_address: SocketAddrV4,
    /// Addresses of the replicas to contact first.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the replica may found a new cluster: the deployment starts for the first time.
    pub bootstrap: bool,
    /// Folder of the replicated log and its snapshots.
    pub folder: PathBuf,
    /// Number of machines with a disk that may fail at the same time.
    pub tolerated_failures: usize,
    /// Time between two announcements of a backend server.
    pub announcement_interval: Duration,
    /// The promise about quotas of organisations; `None` where there is none.
    pub quota: Option<QuotaTerms>,
}

impl DirectorSettings {
    /// Returns the number of voters of which a majority survives the tolerated failures: twice as
    /// many as the failures, and one more.
    pub fn voters(&self) -> usize {
        self.tolerated_failures * 2 + 1
    }
}
