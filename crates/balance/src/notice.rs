//! What backend servers ask of this host in their answers: to send them nothing more because they are
//! leaving, or nothing for some time.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use fleet::hint::ServerIncarnation;
use fleet::server::ServerRecord;
use xxhash_rust::xxh3;

/// Longest rest that a backend server can ask for.
pub const MAX_REST: Duration = Duration::from_secs(600);

/// Time for which a notice is remembered, also after its server is gone from the view: a late
/// announcement may list the same incarnation again.
const NOTICE_RETENTION: Duration = Duration::from_secs(900);

/// Longest addition to a rest, as a fraction of it. It differs between hosts, so that they don't all
/// return to the server at once.
const MAX_REST_JITTER: f64 = 0.2;

/// Notice of a backend server to this host, in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerNotice {
    /// The server is leaving; its incarnation gets no more requests of this host.
    Leaving,
    /// The server gets no requests of this host for a period from now.
    Rest(Duration),
}

/// Notices of one incarnation that are in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NoticeState {
    /// Whether the incarnation is leaving.
    pub leaving: bool,
    /// End of the latest rest.
    pub rest_until: Option<Instant>,
}

impl NoticeState {
    /// Returns whether the server rests.
    pub fn is_resting(&self, now: Instant) -> bool {
        self.rest_until.is_some_and(|until| now < until)
    }
}

/// Notices by incarnation. They outlive the server's entry in the view, which can be removed and added
/// again while the incarnation runs.
#[derive(Debug, Default)]
pub(crate) struct NoticeTable {
    entries: HashMap<ServerIncarnation, NoticeEntry>,
    /// Incarnations that are leaving, as long as the other hosts aren't told.
    untold: Vec<ServerIncarnation>,
}

#[derive(Debug, Default)]
struct NoticeEntry {
    state: NoticeState,
    noted_at: Option<Instant>,
}

impl NoticeTable {
    /// Records a notice and returns the notices of the incarnation that are in force. Of overlapping
    /// rests, the one that ends later holds.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        host: &str,
        record: &ServerRecord,
        notice: ServerNotice,
    ) -> NoticeState {
        self.entries.retain(|_, entry| {
            entry
                .noted_at
                .is_some_and(|noted_at| now < noted_at + NOTICE_RETENTION)
        });
        let incarnation = record.incarnation();
        let entry = self.entries.entry(incarnation.clone()).or_default();
        entry.noted_at = Some(now);
        match notice {
            ServerNotice::Leaving => {
                if !entry.state.leaving {
                    self.untold.push(incarnation);
                }
                entry.state.leaving = true;
            }
            ServerNotice::Rest(period) => {
                let jitter = rest_jitter(host, &record.id);
                let until = now + period.min(MAX_REST).mul_f64(1.0 + jitter);
                entry.state.rest_until = entry.state.rest_until.max(Some(until));
            }
        }
        entry.state
    }

    /// Takes the incarnations that said since the last call that they are leaving.
    pub(crate) fn take_leaving(&mut self) -> Vec<ServerIncarnation> {
        std::mem::take(&mut self.untold)
    }

    /// Returns the notices of an incarnation that are in force.
    pub(crate) fn state(&self, record: &ServerRecord) -> NoticeState {
        if self.entries.is_empty() {
            return NoticeState::default();
        }
        let entry = self.entries.get(&record.incarnation());
        entry.map_or_else(NoticeState::default, |entry| entry.state)
    }
}

/// Returns the addition to the rests of a server at a host, as a fraction of the rest.
fn rest_jitter(host: &str, server: &str) -> f64 {
    let hash = xxh3::xxh3_64_with_seed(server.as_bytes(), xxh3::xxh3_64(host.as_bytes()));
    MAX_REST_JITTER * (hash as f64 / u64::MAX as f64)
}
