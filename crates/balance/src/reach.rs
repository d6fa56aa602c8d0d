//! Whether this host reaches the backend servers of an availability zone.
//!
//! The network may cut a host off from a zone that others reach. The zone's servers then stay in the
//! view, and each request would find out anew, at the cost of the time limit for a connection.

use std::time::{Duration, Instant};

use crate::query::ServerKey;

/// Number of servers in a row that couldn't be reached from which the zone counts as cut off. Fewer may
/// have failed themselves.
const MIN_UNREACHED_SERVERS: usize = 3;

/// Time for which a zone is first left alone. It doubles each time in a row.
const MIN_CUT: Duration = Duration::from_secs(1);

/// Longest time for which a zone is left alone.
const MAX_CUT: Duration = Duration::from_secs(4);

/// Time in which a request that probes a zone is expected to end.
const PROBE_TIME: Duration = Duration::from_millis(500);

/// Reachability of one availability zone.
#[derive(Debug, Default)]
pub(crate) struct ZoneReach {
    /// Different servers that couldn't be reached since the last answer from the zone.
    unreached: Vec<ServerKey>,
    /// End of the time for which the zone is left alone.
    until: Option<Instant>,
    /// Cuts in a row.
    cuts: u32,
    /// Server whose request probes the zone after a cut.
    probe: Option<ServerKey>,
}

impl ZoneReach {
    /// Records that a server of the zone couldn't be reached. Returns whether the zone thereby counts
    /// as cut off.
    pub(crate) fn record_unreached(&mut self, now: Instant, key: ServerKey) -> bool {
        if self.until.is_some_and(|until| now < until) {
            return false;
        }
        if !self.unreached.contains(&key) {
            self.unreached.push(key);
        }
        if self.cuts == 0 && self.unreached.len() < MIN_UNREACHED_SERVERS {
            return false;
        }
        let period = MIN_CUT * 2_u32.saturating_pow(self.cuts);
        self.until = Some(now + period.min(MAX_CUT));
        self.cuts = (self.cuts + 1).min(8);
        self.unreached.clear();
        true
    }

    /// Records an answer from the zone.
    pub(crate) fn record_answer(&mut self) {
        *self = Self::default();
    }

    /// Records that a request to a server of the zone begins.
    pub(crate) fn begin_request(&mut self, key: ServerKey) {
        if self.cuts > 0 {
            self.probe = Some(key);
        }
    }

    /// Records that a request to a server of the zone has ended.
    pub(crate) fn end_request(&mut self, key: ServerKey) {
        if self.probe == Some(key) {
            self.probe = None;
        }
    }

    /// Returns whether the servers of the zone may get a request. After a cut, they get one at a time
    /// until one answers.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        self.wait(now).is_zero()
    }

    /// Returns the time until the servers of the zone may get a request.
    pub(crate) fn wait(&self, now: Instant) -> Duration {
        let left = self
            .until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        match self.probe {
            Some(_) => left.max(PROBE_TIME),
            None => left,
        }
    }
}
