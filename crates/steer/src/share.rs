//! Shares of a cap, whose sum over all hosts stays under it.

use std::time::{Duration, Instant};

use model::spec::SHARE_UNIT;

/// Part of a cap that is divided equally over the entry hosts in force; the rest is leased.
pub const FLOOR_PART: f64 = 0.5;

/// Time for which a raise by a new state waits, so that every host has the new state by then.
pub const RAISE_WAIT: Duration = Duration::from_secs(5);

/// Time for which a raised lease waits, so that no 100 ms window holds traffic of the host that
/// had it before and of this one.
pub const LEASE_WAIT: Duration = Duration::from_millis(100);

/// Seat of an entry host among those in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostSeat {
    /// Place in the order of names, from 0.
    pub index: u32,
    /// Entry hosts in force.
    pub hosts: u32,
}

impl HostSeat {
    /// Returns the host's part of the fixed half of a cap, in requests a second.
    ///
    /// The half is divided in whole units, so that no host loses a fraction of a request in each
    /// window; the hosts that get one more differ by `salt`. Where there are fewer units than
    /// hosts, each host gets the same fraction and spaces its requests.
    pub fn fixed_part(&self, cap: f64, salt: u64) -> f64 {
        let hosts = u64::from(self.hosts.max(1));
        let half = cap * FLOOR_PART;
        let units = (half / SHARE_UNIT) as u64;
        if units < hosts {
            return half / hosts as f64;
        }
        let turn = (u64::from(self.index) + salt % hosts) % hosts;
        let extra = u64::from(turn < units % hosts);
        (units / hosts + extra) as f64 * SHARE_UNIT
    }
}

/// A figure whose cuts hold at once and whose raises wait.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SettledRate {
    rate: f64,
    raised: f64,
    raise_at: Instant,
}

impl SettledRate {
    /// Creates a figure that holds at once.
    pub fn new(now: Instant, rate: f64) -> Self {
        Self {
            rate,
            raised: rate,
            raise_at: now,
        }
    }

    /// Returns the figure.
    pub fn get(&self, now: Instant) -> f64 {
        if now >= self.raise_at {
            self.raised
        } else {
            self.rate
        }
    }

    /// Sets the figure: a cut holds at once, a raise after `wait`.
    #[must_use]
    pub fn set(self, now: Instant, rate: f64, wait: Duration) -> Self {
        let held = self.get(now);
        if rate <= held {
            return Self::new(now, rate);
        }
        // A raise that is waiting already keeps its moment while the figure doesn't grow.
        let waiting = now < self.raise_at && rate <= self.raised;
        Self {
            rate: held,
            raised: rate,
            raise_at: if waiting { self.raise_at } else { now + wait },
        }
    }
}

/// What one entry host may send to one place.
#[derive(Debug, Clone, PartialEq)]
pub struct PlaceShare {
    /// Cap of the place as a whole.
    cap: f64,
    /// State that lowered the cap last.
    lowered_by: u64,
    floor: SettledRate,
    lease: SettledRate,
    lease_until: Instant,
    /// Rate and end of a place that the tickets no longer name.
    retiring: Option<(f64, Instant)>,
}

impl PlaceShare {
    /// Creates the share of a place that is new to the host: its floor waits, there is no lease.
    pub fn new(now: Instant) -> Self {
        Self {
            cap: 0.0,
            lowered_by: 0,
            floor: SettledRate::new(now, 0.0),
            lease: SettledRate::new(now, 0.0),
            lease_until: now,
            retiring: None,
        }
    }

    /// Returns the rate that the host may send, in requests a second.
    pub fn rate(&self, now: Instant) -> f64 {
        match self.retiring {
            Some((rate, until)) if now < until => rate,
            Some(_) => 0.0,
            None => self.floor.get(now) + self.leased(now),
        }
    }

    /// Returns the leased part of the rate; a retiring place counts as leased wholly.
    pub fn leased(&self, now: Instant) -> f64 {
        match self.retiring {
            Some(_) => self.rate(now),
            None if now < self.lease_until => self.lease.get(now),
            None => 0.0,
        }
    }

    /// Returns the cap of the place as a whole.
    pub fn cap(&self) -> f64 {
        self.cap
    }

    /// Tells whether the tickets no longer name the place.
    pub fn is_retiring(&self) -> bool {
        self.retiring.is_some()
    }

    /// Takes a cap in force and this host's fixed part of it.
    #[must_use]
    pub fn with_cap(mut self, now: Instant, change: CapChange) -> Self {
        if change.cap < self.cap {
            let part = change.cap / self.cap;
            let lease = self.lease.get(now) * part;
            self.lease = SettledRate::new(now, lease);
            self.lowered_by = change.revision;
        }
        self.cap = change.cap;
        self.retiring = None;
        self.floor = self.floor.set(now, change.floor, change.wait);
        self
    }

    /// Takes a lease; one that was computed before the cap was lowered is ignored.
    #[must_use]
    pub fn with_lease(mut self, now: Instant, rate: f64, ttl: Duration, revision: u64) -> Self {
        if revision < self.lowered_by || self.retiring.is_some() {
            return self;
        }
        if now >= self.lease_until {
            self.lease = SettledRate::new(now, 0.0);
        }
        let rate = rate.clamp(0.0, self.cap * (1.0 - FLOOR_PART));
        self.lease = self.lease.set(now, rate, LEASE_WAIT);
        self.lease_until = now + ttl;
        self
    }

    /// Keeps a place that the tickets no longer name at a rate, at most what it had, until a
    /// moment.
    #[must_use]
    pub fn retired(mut self, now: Instant, rate: f64, until: Instant) -> Self {
        if self.retiring.is_none() {
            self.retiring = Some((rate.min(self.rate(now)), until));
        }
        self
    }
}

/// A cap as a new state gives it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapChange {
    /// Revision of the state.
    pub revision: u64,
    /// Cap of the place as a whole, in requests a second.
    pub cap: f64,
    /// Fixed part of this host, in requests a second.
    pub floor: f64,
    /// Time for which a raise waits.
    pub wait: Duration,
}
