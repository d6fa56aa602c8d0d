//! Counts that control replicas exchange.

use std::collections::HashMap;
use std::time::Duration;

use crate::message::{QuotaCount, QuotaSum, QuotaSums};
use crate::meter::RateMeter;
use crate::terms::OrganisationDigest;

/// Time for which a changed sum is in each report to the other replicas, as reports may be lost.
const REPORT_PERIOD: Duration = Duration::from_secs(2);

/// Silence of a replica after which the growth of its sums isn't counted: its hosts' requests of that time
/// are no longer in any window of interest.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// Time over which the usual number of requests is measured.
const USUAL_PERIOD: Duration = Duration::from_millis(2_500);

/// Standard deviations, and requests in addition, by which a number must be beyond the usual one to be
/// surprising.
const SURPRISE_DEVIATIONS: f64 = 2.0;
const MIN_SURPRISE: f64 = 3.0;

/// Requests of an organisation since some time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Growth {
    pub(crate) asked: f64,
    pub(crate) admitted: f64,
    /// Time over which they came, where it is known.
    pub(crate) time: Duration,
}

#[derive(Debug, Clone, Copy)]
struct OwnSum {
    asked: u64,
    admitted: i64,
    /// Requests since the latest report.
    unreported: u64,
    asked_rate: RateMeter,
    changed_at: Duration,
    reported_at: Duration,
}

impl OwnSum {
    /// Returns the requests since the latest report from which they are more than chance makes of their
    /// usual number.
    fn surprising_count(&self, now: Duration) -> f64 {
        let time = now.saturating_sub(self.reported_at);
        let usual = self.asked_rate.rate(now) * time.as_secs_f64();
        usual + SURPRISE_DEVIATIONS * usual.sqrt() + MIN_SURPRISE
    }
}

/// Requests that entry hosts reported to this replica.
#[derive(Debug, Default)]
pub(crate) struct OwnSums {
    sums: HashMap<OrganisationDigest, OwnSum>,
}

impl OwnSums {
    /// Adds requests. Returns whether the other replicas should learn of them at once: they haven't been
    /// told of `urgent_count` requests, or of surprisingly many.
    pub(crate) fn add(&mut self, now: Duration, count: &QuotaCount, urgent_count: f64) -> bool {
        let sum = self.sums.entry(count.organisation).or_insert(OwnSum {
            asked: 0,
            admitted: 0,
            unreported: 0,
            asked_rate: RateMeter::new(now, USUAL_PERIOD),
            changed_at: now,
            reported_at: now,
        });
        let urgent_count = urgent_count.min(sum.surprising_count(now));
        sum.asked_rate.record(now, f64::from(count.asked));
        sum.asked += u64::from(count.asked);
        sum.admitted += i64::from(count.admitted);
        sum.unreported += u64::from(count.asked);
        sum.changed_at = now;
        sum.unreported as f64 >= urgent_count
    }

    pub(crate) fn report(&mut self, now: Duration, epoch: u64) -> QuotaSums {
        let recent = self
            .sums
            .iter_mut()
            .filter(|(_, sum)| now < sum.changed_at + REPORT_PERIOD);
        let sums = recent.map(|(organisation, sum)| {
            sum.unreported = 0;
            sum.reported_at = now;
            QuotaSum {
                organisation: *organisation,
                asked: sum.asked,
                admitted: sum.admitted,
            }
        });
        QuotaSums {
            epoch,
            sums: sums.collect(),
        }
    }
}

#[derive(Debug)]
struct PeerSums {
    epoch: u64,
    heard_at: Duration,
    sums: HashMap<OrganisationDigest, (u64, i64)>,
}

/// Sums of the other replicas, each as last heard.
#[derive(Debug, Default)]
pub(crate) struct OtherSums {
    replicas: HashMap<u64, PeerSums>,
}

impl OtherSums {
    /// Merges the sums of a replica. Returns the growth since the sums before. What comes first from one
    /// run of a replica, or after a silence, counts as no growth.
    pub(crate) fn merge(
        &mut self,
        now: Duration,
        from: u64,
        report: &QuotaSums,
    ) -> Vec<(OrganisationDigest, Growth)> {
        let known = self.replicas.entry(from).or_insert_with(|| PeerSums {
            epoch: report.epoch,
            heard_at: now,
            sums: HashMap::new(),
        });
        if known.epoch != report.epoch {
            known.epoch = report.epoch;
            known.sums.clear();
        }
        let time = now.saturating_sub(known.heard_at);
        let is_recent = time < MAX_SILENCE;
        known.heard_at = now;
        let mut growths = Vec::with_capacity(report.sums.len());
        for sum in &report.sums {
            let former = known.sums.get(&sum.organisation).copied();
            if former.is_some_and(|(asked, _)| sum.asked < asked) {
                // The report is older than another one.
                continue;
            }
            known
                .sums
                .insert(sum.organisation, (sum.asked, sum.admitted));
            if let Some((asked, admitted)) = former.filter(|_| is_recent) {
                let growth = Growth {
                    asked: (sum.asked - asked) as f64,
                    admitted: (sum.admitted - admitted) as f64,
                    time,
                };
                growths.push((sum.organisation, growth));
            }
        }
        growths
    }

    pub(crate) fn clear(&mut self) {
        self.replicas.clear();
    }
}
