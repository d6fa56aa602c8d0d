//! Mean loads of the backend servers, over the readings of all entry hosts.
//!
//! With many entry hosts, each one gets a reading of a backend server's load only once in seconds,
//! which says nothing about its current queue. So entry hosts report the loads that they read from
//! answers, replicas exchange them, and each entry host gets the means. A backend server is
//! identified by its index in the list of all backend servers, ordered by id. So messages need no
//! ids, and a mean takes one byte.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use fleet::ids;

use crate::index::IndexShift;
use crate::message::{LoadReading, LoadSum, LoadVector};

/// EWMA weight of one reading; a busy backend server has several a second.
const READING_WEIGHT: f64 = 0.25;

/// Age at which a mean is stale: two calls of an entry host and one report of a replica.
const MEAN_TTL: Duration = Duration::from_millis(1_200);

/// Time after an answer with loads for which an entry host gets answers without them; below the
/// [`MEAN_TTL`] and the time between the polls of a host without news.
const LOAD_INTERVAL: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy, Default)]
struct LoadMean {
    /// EWMA of the in-flight requests.
    requests: f64,
    /// Time of the latest reading.
    updated_at: Option<Instant>,
    /// Sum of the readings that this replica got since its previous report.
    unreported_sum: f64,
    /// Number of those readings.
    unreported_count: u32,
}

impl LoadMean {
    /// Merges a number of readings whose mean is `requests`. They replace a mean that is stale.
    fn add_readings(&mut self, now: Instant, requests: f64, readings: u32) {
        let old_weight = if self.is_current(now) {
            (1.0 - READING_WEIGHT).powf(f64::from(readings))
        } else {
            0.0
        };
        self.requests = self.requests * old_weight + requests * (1.0 - old_weight);
        self.updated_at = Some(now);
    }

    fn is_current(&self, now: Instant) -> bool {
        self.updated_at
            .is_some_and(|updated_at| now < updated_at + MEAN_TTL)
    }
}

/// Mean load of each backend server, by its index.
#[derive(Debug, Default)]
pub struct LoadTable {
    means: Vec<LoadMean>,
    /// Indexes with readings that this replica got since its previous report, in the order in which the
    /// first ones arrived.
    unreported: Vec<u32>,
}

impl LoadTable {
    /// Creates a table for a number of servers without readings.
    pub fn new(servers: usize) -> Self {
        Self {
            means: vec![LoadMean::default(); servers],
            unreported: Vec::new(),
        }
    }

    /// Moves the means with the indexes of their servers.
    pub fn shift(&mut self, shift: IndexShift) {
        match shift {
            IndexShift::Inserted(index) => {
                self.means.insert(index, LoadMean::default());
                let later = self.unreported.iter_mut();
                later
                    .filter(|unreported| **unreported as usize >= index)
                    .for_each(|unreported| *unreported += 1);
            }
            IndexShift::Removed(index) => {
                self.means.remove(index);
                self.unreported
                    .retain(|unreported| *unreported as usize != index);
                let later = self.unreported.iter_mut();
                later
                    .filter(|unreported| **unreported as usize > index)
                    .for_each(|unreported| *unreported -= 1);
            }
        }
    }

    /// Records the readings of an entry host. Those with an index that no server has are ignored.
    pub fn record_host(&mut self, now: Instant, readings: &[LoadReading]) {
        for reading in readings {
            let Some(mean) = self.means.get_mut(reading.server_index as usize) else {
                continue;
            };
            let requests = f64::from(reading.requests);
            mean.add_readings(now, requests, 1);
            if mean.unreported_count == 0 {
                self.unreported.push(reading.server_index);
            }
            mean.unreported_sum += requests;
            mean.unreported_count += 1;
        }
    }

    /// Merges the sums of readings that another replica reported.
    pub fn merge_sums(&mut self, now: Instant, sums: &[LoadSum]) {
        for sum in sums.iter().filter(|sum| sum.count > 0) {
            if let Some(mean) = self.means.get_mut(sum.server_index as usize) {
                let requests = f64::from(sum.sum) / f64::from(sum.count);
                mean.add_readings(now, requests, sum.count);
            }
        }
    }

    /// Returns the sums of the readings that this replica got since the previous call, for the
    /// other replicas.
    pub fn take_sums(&mut self) -> Vec<LoadSum> {
        let mut sums = Vec::with_capacity(self.unreported.len());
        for server_index in std::mem::take(&mut self.unreported) {
            let Some(mean) = self.means.get_mut(server_index as usize) else {
                continue;
            };
            sums.push(LoadSum {
                server_index,
                sum: mean.unreported_sum as u32,
                count: mean.unreported_count,
            });
            (mean.unreported_sum, mean.unreported_count) = (0.0, 0);
        }
        sums
    }

    /// Returns the means of all backend servers; those that are stale count as unknown.
    pub fn vector(&self, now: Instant, revision: ids::Revision) -> LoadVector {
        let means = self.means.iter();
        LoadVector::new(
            revision,
            means.map(|mean| mean.is_current(now).then_some(mean.requests)),
        )
    }
}

/// Times at which entry hosts got the loads of all backend servers. Changes wake the hosts more often
/// than they need loads.
#[derive(Debug, Default)]
pub struct LoadSchedule {
    /// Time of the latest answer with loads, by the name of the host.
    sent_at: HashMap<String, Instant>,
}

impl LoadSchedule {
    /// Creates a schedule of hosts that got no loads yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether an answer to a host is to carry loads, and records that it does.
    pub fn take_due(&mut self, now: Instant, host: &str) -> bool {
        match self.sent_at.get_mut(host) {
            Some(sent_at) if !is_due(now, *sent_at) => return false,
            Some(sent_at) => *sent_at = now,
            None => {
                self.sent_at.insert(host.to_string(), now);
            }
        }
        true
    }

    /// Removes the hosts that are due in any case.
    pub fn evict_due(&mut self, now: Instant) {
        self.sent_at.retain(|_, sent_at| !is_due(now, *sent_at));
    }
}

/// Returns whether the latest answer with loads is too old.
fn is_due(now: Instant, sent_at: Instant) -> bool {
    now.saturating_duration_since(sent_at) > LOAD_INTERVAL
}
