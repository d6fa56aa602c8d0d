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

use crate::message::{LoadReading, LoadSum, LoadVector};

/// EWMA weight of one reading; a busy backend server has several a second.
const READING_WEIGHT: f64 = 0.25;

/// Age at which a mean is stale: two calls of an entry host and one report of a replica.
const MEAN_TTL: Duration = Duration::from_millis(1_200);

#[derive(Debug, Clone, Copy)]
struct LoadMean {
    /// EWMA of the in-flight requests.
    requests: f64,
    updated_at: Instant,
    /// Sum of the readings that this replica got since its previous report.
    unreported_sum: f64,
    /// Number of those readings.
    unreported_count: u32,
}

impl LoadMean {
    /// Merges a number of readings whose mean is `requests`. They replace a mean that is stale.
    fn add_readings(&mut self, now: Instant, requests: f64, readings: u32) {
        let current = now < self.updated_at + MEAN_TTL;
        let old_weight = if current {
            (1.0 - READING_WEIGHT).powf(f64::from(readings))
        } else {
            0.0
        };
        self.requests = self.requests * old_weight + requests * (1.0 - old_weight);
        self.updated_at = now;
    }
}

/// Mean load of each backend server, by id.
#[derive(Debug, Default)]
pub struct LoadTable {
    means: HashMap<ids::ServerId, LoadMean>,
}

impl LoadTable {
    /// Records the readings of an entry host; `ids` are those of all backend servers in order.
    /// Readings with an index beyond `ids` are ignored.
    pub fn record_host(&mut self, now: Instant, ids: &[&ids::ServerId], readings: &[LoadReading]) {
        for reading in readings {
            let Some(id) = ids.get(reading.server_index as usize) else {
                continue;
            };
            let requests = f64::from(reading.requests);
            let mean = self.mean(now, id);
            mean.add_readings(now, requests, 1);
            mean.unreported_sum += requests;
            mean.unreported_count += 1;
        }
    }

    /// Merges the sums of readings that another replica reported.
    pub fn merge_sums(&mut self, now: Instant, ids: &[&ids::ServerId], sums: &[LoadSum]) {
        for sum in sums.iter().filter(|sum| sum.count > 0) {
            if let Some(id) = ids.get(sum.server_index as usize) {
                let requests = f64::from(sum.sum) / f64::from(sum.count);
                self.mean(now, id).add_readings(now, requests, sum.count);
            }
        }
    }

    /// Returns the sums of the readings that this replica got since the previous call, for the
    /// other replicas, and evicts stale means.
    pub fn take_sums(&mut self, now: Instant, ids: &[&ids::ServerId]) -> Vec<LoadSum> {
        self.means
            .retain(|_, mean| now < mean.updated_at + MEAN_TTL);
        let mut sums = Vec::new();
        for (index, id) in ids.iter().enumerate() {
            let Some(mean) = self
                .means
                .get_mut(*id)
                .filter(|mean| mean.unreported_count > 0)
            else {
                continue;
            };
            sums.push(LoadSum {
                server_index: index as u32,
                sum: mean.unreported_sum as u32,
                count: mean.unreported_count,
            });
            (mean.unreported_sum, mean.unreported_count) = (0.0, 0);
        }
        sums
    }

    /// Returns the means of all backend servers; those that are stale count as unknown.
    pub fn vector(
        &self,
        now: Instant,
        revision: ids::Revision,
        ids: &[&ids::ServerId],
    ) -> LoadVector {
        let known = |id: &&ids::ServerId| {
            let mean = self.means.get(*id)?;
            (now < mean.updated_at + MEAN_TTL).then_some(mean.requests)
        };
        LoadVector::new(revision, ids.iter().map(known))
    }

    fn mean(&mut self, now: Instant, id: &str) -> &mut LoadMean {
        self.means.entry(id.to_string()).or_insert(LoadMean {
            requests: 0.0,
            // The mean begins stale, so that the first reading replaces it.
            updated_at: now.checked_sub(MEAN_TTL).unwrap_or(now),
            unreported_sum: 0.0,
            unreported_count: 0,
        })
    }
}
