//! How long ago an entry host heard of the quotas.

use std::time::Duration;

use crate::terms::BootTime;

/// Age of the latest notices up to which every organisation is handled by them: the longest wait of a
/// call, the next call and its way.
const NOTICE_LIFETIME: Duration = Duration::from_millis(1_000);

/// Age of the latest notices up to which a host keeps to its part of the quotas. Control replicas leave
/// these parts out for longer; see `register`.
const HOLD_PERIOD: Duration = Duration::from_secs(10);

/// What a host knows of the quotas, by the age of the latest notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ContactState {
    /// The notices are recent.
    Fresh,
    /// The host keeps to its part of the quota.
    Holding,
    /// Other hosts may use the whole quota.
    Lost,
}

/// Times of the contact to the control replicas, by the boot clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HostContact {
    started_at: BootTime,
    heard_at: Option<BootTime>,
}

impl HostContact {
    pub(crate) fn new(now: BootTime) -> Self {
        Self {
            started_at: now,
            heard_at: None,
        }
    }

    /// Records that notices arrived on a call that was sent at `sent_at`.
    pub(crate) fn record(&mut self, sent_at: BootTime) {
        self.heard_at = self.heard_at.max(Some(sent_at));
    }

    pub(crate) fn heard_ago(&self, now: BootTime) -> Option<Duration> {
        self.heard_at.map(|heard_at| now.saturating_sub(heard_at))
    }

    pub(crate) fn state(&self, now: BootTime) -> ContactState {
        let Some(age) = self.heard_ago(now) else {
            return if now.saturating_sub(self.started_at) < HOLD_PERIOD {
                ContactState::Holding
            } else {
                ContactState::Lost
            };
        };
        if age < NOTICE_LIFETIME {
            ContactState::Fresh
        } else if age < HOLD_PERIOD {
            ContactState::Holding
        } else {
            ContactState::Lost
        }
    }
}
