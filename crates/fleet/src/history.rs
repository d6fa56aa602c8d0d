//! Former configurations, from which a control replica determines what an entry host lacks.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::delta::{SiteCopy, SiteDelta, SiteStamp};
use crate::parts::{EncodedSite, PartMark, SitePart, MAX_PART_BYTES};

/// How an entry host gets the configuration in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SiteUpdate {
    /// The host has the configuration, and the update of the state holds none.
    Current(SiteStamp),
    /// The differences that lead from the host's configuration to the one in force, oldest first. The
    /// update of the state holds none.
    Deltas(Vec<Arc<SiteDelta>>),
    /// The update of the state holds the whole configuration, where it changed.
    Whole,
    /// Part of a configuration that the host collects. The reply holds nothing else for the host's state.
    Part(Arc<SitePart>),
}

/// Next step of an entry host without a state on its way to the configuration in force.
#[derive(Debug, Clone, PartialEq)]
pub struct CollectStep {
    /// What the host gets.
    pub update: SiteUpdate,
    /// Whether the host then has the configuration in force, so that the state goes along.
    pub is_last: bool,
}

/// Difference between a configuration and the one that replaced it.
#[derive(Debug)]
struct KeptDelta {
    delta: Arc<SiteDelta>,
    /// Encoded size.
    bytes: usize,
}

/// The configuration in force, and the differences that led to it. They are made once, for all hosts, and
/// bounded in number and bytes.
#[derive(Debug, Default)]
pub struct SiteHistory {
    current: SiteCopy,
    /// What identifies the configuration in force; `None` before the first.
    stamp: Option<SiteStamp>,
    /// Encoded size of the configuration in force.
    bytes: usize,
    /// Differences, the latest first. Each builds on the result of the one after it.
    deltas: VecDeque<KeptDelta>,
    /// Configurations that go out in parts, the latest first. Differences lead from each to the one in
    /// force. Hosts that start get the first.
    encoded: VecDeque<EncodedSite>,
}

impl SiteHistory {
    /// Number of differences that are kept.
    pub const MAX_DELTAS: usize = 1_024;

    /// Encoded bytes of differences that are kept.
    pub const MAX_DELTA_BYTES: usize = 2 << 20;

    /// Encoded bytes of differences in an answer to an entry host that takes parts. A slow link carries
    /// them in three quarters of a second.
    pub const MAX_UPDATE_BYTES: usize = 192 << 10;

    /// Number of configurations that are kept in parts: hosts may still collect the former one.
    const MAX_ENCODED: usize = 2;

    /// Creates a history without configurations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the configuration in force.
    pub fn set(&mut self, copy: SiteCopy) {
        let encoded = copy.encode();
        let stamp = encoded.as_ref().ok();
        let stamp = stamp.map(|encoded| SiteStamp::new(copy.version, encoded));
        if stamp.is_some() && stamp == self.stamp {
            return;
        }
        match self.difference(&copy, stamp) {
            Some(kept) => self.deltas.push_front(kept),
            None => self.deltas.clear(),
        }
        let sizes = self.deltas.iter().scan(0, |sum, kept| {
            *sum += kept.bytes;
            Some(*sum)
        });
        let fitting = sizes.take_while(|sum| *sum <= Self::MAX_DELTA_BYTES);
        let kept = fitting.count().min(Self::MAX_DELTAS);
        self.deltas.truncate(kept);
        let encoded = encoded.unwrap_or_default();
        self.bytes = encoded.len();
        (self.current, self.stamp) = (copy, stamp);
        self.keep_encoded(&encoded);
    }

    /// Keeps the configuration in force in parts where it is large, and the differences to it from the
    /// one that goes out in parts are no longer few. They may then still double until a host has that one.
    fn keep_encoded(&mut self, encoded: &[u8]) {
        let mut kept = std::mem::take(&mut self.encoded);
        kept.retain(|site| self.steps_from(site.stamp()).is_some());
        let deltas = kept.front().and_then(|site| self.steps_from(site.stamp()));
        let is_near = deltas.is_some_and(|deltas| {
            2 * total_bytes(&deltas) < self.bytes && 2 * deltas.len() < Self::MAX_DELTAS
        });
        match self.stamp {
            Some(stamp) if encoded.len() > MAX_PART_BYTES => {
                if !is_near {
                    kept.push_front(EncodedSite::new(stamp, encoded));
                    kept.truncate(Self::MAX_ENCODED);
                }
            }
            _ => kept.clear(),
        }
        self.encoded = kept;
    }

    /// Returns the difference of the configuration in force to a new one; `None` where it doesn't give the
    /// new one.
    fn difference(&self, new: &SiteCopy, stamp: Option<SiteStamp>) -> Option<KeptDelta> {
        let delta = Arc::new(SiteDelta::between(
            (&self.current, self.stamp?),
            (new, stamp?),
        ));
        let bytes = postcard::to_allocvec(&delta).ok()?.len();
        let applied =
            SiteDelta::apply_all(std::slice::from_ref(&delta), &self.current, self.stamp?);
        applied.is_ok().then_some(KeptDelta { delta, bytes })
    }

    /// Returns the differences that lead from a configuration to the one in force, oldest first, where they
    /// are known and smaller than the whole. There are none for the configuration in force.
    fn deltas_from(&self, stamp: SiteStamp) -> Option<Vec<&KeptDelta>> {
        let (mut deltas, mut bytes) = (Vec::new(), 0);
        if self.stamp == Some(stamp) {
            return Some(deltas);
        }
        for kept in &self.deltas {
            bytes += kept.bytes;
            if bytes >= self.bytes {
                return None;
            }
            deltas.push(kept);
            if kept.delta.base() == stamp {
                deltas.reverse();
                return Some(deltas);
            }
        }
        None
    }

    /// Returns [`deltas_from`](Self::deltas_from) where an answer can carry each of them.
    fn steps_from(&self, stamp: SiteStamp) -> Option<Vec<&KeptDelta>> {
        let deltas = self.deltas_from(stamp)?;
        let mut sizes = deltas.iter().map(|kept| kept.bytes);
        let is_bounded = sizes.all(|bytes| bytes <= Self::MAX_UPDATE_BYTES);
        is_bounded.then_some(deltas)
    }

    /// Returns how an entry host gets the configuration in force that has a configuration; `None` stands
    /// for none. It gets differences where they are known, and smaller than the whole.
    pub fn update_since(&self, stamp: Option<SiteStamp>) -> SiteUpdate {
        let known = stamp.and_then(|stamp| Some((stamp, self.deltas_from(stamp)?)));
        match known {
            Some((stamp, deltas)) => update_of(stamp, &deltas),
            None => SiteUpdate::Whole,
        }
    }

    /// Returns [`update_since`](Self::update_since) for an entry host that has a state and takes parts: it
    /// gets a part of the configuration where that, or the differences, are too long for an answer.
    pub fn bounded_update_since(&self, stamp: Option<SiteStamp>) -> SiteUpdate {
        let known = stamp.and_then(|stamp| Some((stamp, self.deltas_from(stamp)?)));
        match known {
            Some((stamp, deltas)) if total_bytes(&deltas) <= Self::MAX_UPDATE_BYTES => {
                update_of(stamp, &deltas)
            }
            _ => self.part_after(PartMark::default()),
        }
    }

    /// Returns what an entry host without a state gets next that collected a configuration, `None` while
    /// it has not all parts. Long differences go out in several steps.
    pub fn collect_step(&self, stamp: Option<SiteStamp>, mark: PartMark) -> CollectStep {
        let known = stamp.and_then(|stamp| Some((stamp, self.steps_from(stamp)?)));
        let Some((stamp, mut deltas)) = known else {
            let update = self.part_after(mark);
            let is_last = update == SiteUpdate::Whole;
            return CollectStep { update, is_last };
        };
        let is_last = total_bytes(&deltas) <= MAX_PART_BYTES;
        if !is_last {
            let sums = deltas.iter().scan(0, |sum, kept| {
                *sum += kept.bytes;
                Some(*sum)
            });
            let fitting = sums.take_while(|sum| *sum <= MAX_PART_BYTES).count();
            deltas.truncate(fitting.max(1));
        }
        CollectStep {
            update: update_of(stamp, &deltas),
            is_last,
        }
    }

    /// Returns the part after a position, or the first one where the position is in no configuration that
    /// leads to the one in force; the whole where that is small.
    fn part_after(&self, mark: PartMark) -> SiteUpdate {
        let mut kept = self.encoded.iter();
        let next = kept.find_map(|site| site.part_after(mark));
        let first = || self.encoded.front().and_then(EncodedSite::first);
        next.or_else(first)
            .map_or(SiteUpdate::Whole, SiteUpdate::Part)
    }
}

fn update_of(stamp: SiteStamp, deltas: &[&KeptDelta]) -> SiteUpdate {
    if deltas.is_empty() {
        return SiteUpdate::Current(stamp);
    }
    let deltas = deltas.iter().map(|kept| kept.delta.clone());
    SiteUpdate::Deltas(deltas.collect())
}

fn total_bytes(deltas: &[&KeptDelta]) -> usize {
    deltas.iter().map(|kept| kept.bytes).sum()
}
