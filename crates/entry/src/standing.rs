//! Whether an entry host may take new work.

use std::time::Duration;

use serde::Serialize;
use strum::{Display, IntoStaticStr};

/// Whether an entry host may take new work, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum HostStanding {
    /// It has no confirmed state yet.
    Starting,
    /// Its state is confirmed and fresh.
    Serving,
    /// The control replicas are out of reach but most entry hosts are in reach: it goes on with
    /// what was last in force.
    Detached,
    /// Neither the control replicas nor most entry hosts are in reach: it refuses new work.
    CutOff,
    /// A planned stop has begun; work is still taken until callers' answers have lapsed.
    Stopping,
}

impl HostStanding {
    /// Tells whether new work is taken.
    pub fn takes_work(self) -> bool {
        match self {
            Self::Serving | Self::Detached | Self::Stopping => true,
            Self::Starting | Self::CutOff => false,
        }
    }

    /// Tells whether callers should be sent here.
    pub fn is_open(self) -> bool {
        matches!(self, Self::Serving | Self::Detached)
    }
}

/// What a host knows of its own connection to the rest.
#[derive(Debug, Clone, Copy)]
pub struct StandingFacts {
    /// The state has been confirmed.
    pub confirmed: bool,
    /// Time since the latest freshness stamp, where one came.
    pub beat_age: Option<Duration>,
    /// Entry hosts in force, this one included.
    pub hosts: usize,
    /// Other entry hosts heard from within [`StandingFacts::HEARD_WITHIN`].
    pub heard: usize,
    /// A planned stop has begun.
    pub stopping: bool,
}

impl StandingFacts {
    /// Age up to which a freshness stamp counts as fresh.
    pub const FRESH_WITHIN: Duration = Duration::from_millis(2_500);

    /// Time within which a peer must have been heard to count as in reach.
    pub const HEARD_WITHIN: Duration = Duration::from_millis(2_000);

    /// Tells whether the latest freshness stamp is recent enough.
    pub fn is_fresh(&self) -> bool {
        self.beat_age.is_some_and(|age| age <= Self::FRESH_WITHIN)
    }

    /// Judges the facts.
    pub fn standing(&self) -> HostStanding {
        let fresh = self.is_fresh();
        let most = (self.heard + 1) * 2 > self.hosts && self.hosts > 1;
        if !self.confirmed {
            return HostStanding::Starting;
        }
        match (fresh, most) {
            (false, false) => HostStanding::CutOff,
            _ if self.stopping => HostStanding::Stopping,
            (true, _) => HostStanding::Serving,
            (false, true) => HostStanding::Detached,
        }
    }
}
