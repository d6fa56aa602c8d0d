//! Shares of a cap, whose sum over all hosts stays within the cap.

use std::time::{Duration, Instant};

use model::spec::SHARE_UNIT;

/// Part of a cap that is divided equally between the entry hosts in force; the rest is leased by
/// the leading control replica.
pub const FIXED_PART: f64 = 0.5;

/// Delay of a raise that comes with a new state, so that every host has lowered its shares by the
/// new state before.
pub const RAISE_DELAY: Duration = Duration::from_secs(5);

/// Delay of a raise that comes with a lease, so that no 100 ms window contains traffic of both the
/// previous holder and the new one.
pub const LEASE_RAISE_DELAY: Duration = Duration::from_millis(100);

/// Position of an entry host among the entry hosts in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostPosition {
    /// Index in the order of names, from 0.
    pub index: u32,
    /// Number of entry hosts in force.
    pub hosts: u32,
}

impl HostPosition {
    /// Returns the host's fixed share of a cap, in requests a second.
    ///
    /// The fixed part of the cap is divided in whole units of [`SHARE_UNIT`], so that no host loses
    /// a fraction of a request in each window. `salt` selects the hosts that get one unit more. If
    /// there are fewer units than hosts, each host gets the same fraction of a unit and spaces its
    /// requests.
    pub fn fixed_share(&self, cap: f64, salt: u64) -> f64 {
        let hosts = u64::from(self.hosts.max(1));
        let fixed_cap = cap * FIXED_PART;
        let units = (fixed_cap / SHARE_UNIT) as u64;
        if units < hosts {
            return fixed_cap / hosts as f64;
        }
        let rotated_index = (u64::from(self.index) + salt % hosts) % hosts;
        let extra = u64::from(rotated_index < units % hosts);
        (units / hosts + extra) as f64 * SHARE_UNIT
    }
}

/// A rate that is lowered immediately and raised after a delay.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DelayedRate {
    rate: f64,
    /// Rate from `next_at` on.
    next_rate: f64,
    next_at: Instant,
}

impl DelayedRate {
    /// Creates a rate that holds immediately.
    pub fn new(now: Instant, rate: f64) -> Self {
        Self {
            rate,
            next_rate: rate,
            next_at: now,
        }
    }

    /// Returns the current rate.
    pub fn get(&self, now: Instant) -> f64 {
        if now >= self.next_at {
            self.next_rate
        } else {
            self.rate
        }
    }

    /// Sets the rate. A lower rate holds immediately, a higher one after `raise_delay`.
    #[must_use]
    pub fn set(self, now: Instant, rate: f64, raise_delay: Duration) -> Self {
        let current = self.get(now);
        if rate <= current {
            return Self::new(now, rate);
        }
        // A pending raise keeps its time unless the rate grows further.
        let keeps_time = now < self.next_at && rate <= self.next_rate;
        Self {
            rate: current,
            next_rate: rate,
            next_at: if keeps_time {
                self.next_at
            } else {
                now + raise_delay
            },
        }
    }
}

/// The share of one entry host in the cap of one place.
#[derive(Debug, Clone, PartialEq)]
pub struct PlaceShare {
    /// Cap of the whole place, in requests a second.
    cap: f64,
    /// Revision of the state that last lowered the cap.
    lowered_at: u64,
    fixed: DelayedRate,
    lease: DelayedRate,
    lease_until: Instant,
    /// Rate and end time of a retiring place, which the state in force no longer names.
    retiring: Option<(f64, Instant)>,
}

impl PlaceShare {
    /// Creates an empty share, for a place that is new to the host.
    pub fn new(now: Instant) -> Self {
        Self {
            cap: 0.0,
            lowered_at: 0,
            fixed: DelayedRate::new(now, 0.0),
            lease: DelayedRate::new(now, 0.0),
            lease_until: now,
            retiring: None,
        }
    }

    /// Returns the rate limit of the host, in requests a second.
    pub fn rate(&self, now: Instant) -> f64 {
        match self.retiring {
            Some((rate, until)) if now < until => rate,
            Some(_) => 0.0,
            None => self.fixed.get(now) + self.leased(now),
        }
    }

    /// Returns the leased part of the rate limit. All of a retiring place's rate counts as leased.
    pub fn leased(&self, now: Instant) -> f64 {
        match self.retiring {
            Some(_) => self.rate(now),
            None if now < self.lease_until => self.lease.get(now),
            None => 0.0,
        }
    }

    /// Returns the cap of the whole place, in requests a second.
    pub fn cap(&self) -> f64 {
        self.cap
    }

    /// Returns whether the place is retiring: the state in force no longer names it.
    pub fn is_retiring(&self) -> bool {
        self.retiring.is_some()
    }

    /// Returns the share after a change of the cap. A lower cap reduces the lease in proportion.
    #[must_use]
    pub fn with_cap(mut self, now: Instant, change: CapChange) -> Self {
        if change.cap < self.cap {
            let ratio = change.cap / self.cap;
            let lease = self.lease.get(now) * ratio;
            self.lease = DelayedRate::new(now, lease);
            self.lowered_at = change.revision;
        }
        self.cap = change.cap;
        self.retiring = None;
        self.fixed = self.fixed.set(now, change.fixed, change.raise_delay);
        self
    }

    /// Returns the share with a new lease of `rate` requests a second for `ttl`. A lease that was
    /// computed from a revision before the cap was lowered is ignored.
    #[must_use]
    pub fn with_lease(mut self, now: Instant, rate: f64, ttl: Duration, revision: u64) -> Self {
        if revision < self.lowered_at || self.retiring.is_some() {
            return self;
        }
        if now >= self.lease_until {
            self.lease = DelayedRate::new(now, 0.0);
        }
        let rate = rate.clamp(0.0, self.cap * (1.0 - FIXED_PART));
        self.lease = self.lease.set(now, rate, LEASE_RAISE_DELAY);
        self.lease_until = now + ttl;
        self
    }

    /// Returns the share of a retiring place: it keeps `rate`, or its current rate if that is
    /// lower, until a time.
    #[must_use]
    pub fn retire(mut self, now: Instant, rate: f64, until: Instant) -> Self {
        if self.retiring.is_none() {
            self.retiring = Some((rate.min(self.rate(now)), until));
        }
        self
    }
}

/// Change of a place's cap by a new state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapChange {
    /// Revision of the state.
    pub revision: u64,
    /// Cap of the whole place, in requests a second.
    pub cap: f64,
    /// Fixed share of this host, in requests a second.
    pub fixed: f64,
    /// Delay of a raised fixed share.
    pub raise_delay: Duration,
}
