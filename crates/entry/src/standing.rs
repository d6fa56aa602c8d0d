//! Status of an entry host: whether it accepts requests, and why.

use std::time::Duration;

use serde::Serialize;
use strum::{Display, IntoStaticStr};

/// Status of an entry host: whether it accepts requests, and why.
///
/// `/ready` and state dumps show it as `standing`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum HostStanding {
    /// The host has no confirmed state yet and rejects requests.
    Starting,
    /// The state is confirmed and fresh.
    Serving,
    /// The control replicas are unreachable, but a majority of the entry hosts is reachable: the
    /// host continues with the last known state.
    Detached,
    /// Neither the control replicas nor a majority of the entry hosts are reachable: the host
    /// rejects requests.
    CutOff,
    /// The graceful shutdown has begun; the host accepts requests until the look-up answers that
    /// callers have cached expire.
    Stopping,
}

impl HostStanding {
    /// Returns whether the host accepts requests.
    pub fn accepts_requests(self) -> bool {
        match self {
            Self::Serving | Self::Detached | Self::Stopping => true,
            Self::Starting | Self::CutOff => false,
        }
    }

    /// Returns whether callers should be sent to the host.
    pub fn is_open(self) -> bool {
        matches!(self, Self::Serving | Self::Detached)
    }
}

/// Facts from which the status of an entry host is determined.
#[derive(Debug, Clone, Copy)]
pub struct StandingFacts {
    /// Whether the state has been confirmed.
    pub confirmed: bool,
    /// Time since the latest heartbeat of the leading control replica, if any.
    pub heartbeat_age: Option<Duration>,
    /// Number of entry hosts in the current state, including this one.
    pub host_count: usize,
    /// Number of other entry hosts that sent a status within [`StandingFacts::PEER_TIMEOUT`].
    pub reachable_peers: usize,
    /// Whether the graceful shutdown has begun.
    pub stopping: bool,
}

impl StandingFacts {
    /// Age of the latest heartbeat up to which the state counts as fresh.
    pub const MAX_HEARTBEAT_AGE: Duration = Duration::from_millis(2_500);

    /// Time after the latest status of a peer for which the peer counts as reachable.
    pub const PEER_TIMEOUT: Duration = Duration::from_millis(2_000);

    /// Returns whether the latest heartbeat is recent enough.
    pub fn is_fresh(&self) -> bool {
        self.heartbeat_age
            .is_some_and(|age| age <= Self::MAX_HEARTBEAT_AGE)
    }

    /// Determines the status.
    ///
    /// A host that is the only one in the current state has no majority, since no other host can
    /// confirm that it isn't cut off.
    pub fn standing(&self) -> HostStanding {
        let fresh = self.is_fresh();
        let has_majority = (self.reachable_peers + 1) * 2 > self.host_count && self.host_count > 1;
        if !self.confirmed {
            return HostStanding::Starting;
        }
        match (fresh, has_majority) {
            (false, false) => HostStanding::CutOff,
            _ if self.stopping => HostStanding::Stopping,
            (true, _) => HostStanding::Serving,
            (false, true) => HostStanding::Detached,
        }
    }
}
