//! Which work goes first: requests by their ranks, and first attempts before second ones.

use std::time::{Duration, Instant};

use admission::rank::{Rank, WaitTolerance};
use admission::second::SecondRoom;

use crate::balancer::LoadBalancer;
use crate::candidate::{ServerCandidate, MAX_LATENCY_FACTOR, QUEUED_REGION_FRACTION};
use crate::query::{
    ChosenServer, LatencyForecast, LoadRefusal, ObjectAffinity, RefusalCause, ServerQuery,
    SLOW_REQUEST_FACTOR,
};

/// Returns the rank by which a request is judged; an attempt after the first one goes on with what was
/// admitted.
fn judged_rank(query: &ServerQuery<'_>) -> Option<Rank> {
    query.rank.filter(|_| query.tried.is_empty())
}

/// Returns how long a request tolerates to queue at a server.
fn tolerance(query: &ServerQuery<'_>, forecast: &LatencyForecast) -> WaitTolerance {
    let target = query.target_latency.as_secs_f64();
    let wait = |limit: f64| limit.max(forecast.unqueued()) - forecast.idle();
    WaitTolerance {
        free: wait(target * MAX_LATENCY_FACTOR),
        busy: wait(target),
        busy_from: target * QUEUED_REGION_FRACTION,
    }
}

impl LoadBalancer {
    /// Chooses a backend server for a request, which counts towards the server's load until
    /// [`finish`](Self::finish) is called.
    ///
    /// # Errors
    ///
    /// Returns a refusal if there is no candidate, if none is expected to answer in time, or if the
    /// best one is cold and its rate limit is reached.
    pub fn choose(
        &mut self,
        now: Instant,
        query: &ServerQuery<'_>,
    ) -> Result<ChosenServer, LoadRefusal> {
        let bound = self.rank_bound(now, query);
        let chosen = self.choose_within(now, query, bound.as_ref());
        self.record_rank(now, query, &chosen);
        chosen
    }

    /// Returns the queueing time that more urgent requests of the service leave to a request.
    fn rank_bound(&mut self, now: Instant, query: &ServerQuery<'_>) -> Option<WaitTolerance> {
        let rank = judged_rank(query)?;
        self.group_mut(query.service).ranks.bound(now, rank)
    }

    /// Records whether a request found room.
    fn record_rank(
        &mut self,
        now: Instant,
        query: &ServerQuery<'_>,
        chosen: &Result<ChosenServer, LoadRefusal>,
    ) {
        let Some(rank) = judged_rank(query) else {
            return;
        };
        let forecast = match chosen {
            Ok(chosen) => Some(chosen.forecast),
            Err(refusal) => match refusal.cause {
                RefusalCause::Full | RefusalCause::Outranked => {
                    refusal.soonest.map(|soonest| soonest.forecast)
                }
                RefusalCause::NoServer
                | RefusalCause::Resting
                | RefusalCause::Limited
                | RefusalCause::Quarantined
                | RefusalCause::HeldBack
                | RefusalCause::Unreachable => None,
            },
        };
        if let Some(forecast) = forecast {
            let tolerance = tolerance(query, &forecast);
            let ranks = &mut self.group_mut(query.service).ranks;
            ranks.record(now, rank, tolerance, chosen.is_ok());
        }
    }

    /// Returns whether the attempt may go to a server: it is a first one, or there is room beside these.
    pub(crate) fn permits_second(
        &self,
        now: Instant,
        query: &ServerQuery<'_>,
        candidate: &ServerCandidate,
    ) -> bool {
        let (Some(second), Some(group)) = (query.second, self.groups.get(query.service)) else {
            return true;
        };
        let uncached = match query.object {
            Some(_) => group.processing(now, ObjectAffinity::Strange),
            None => group.processing(now, ObjectAffinity::Unnamed),
        };
        second.is_permitted(&SecondRoom {
            utilisation: candidate.utilisation,
            expected: candidate.forecast.expected(),
            slow_run: Duration::from_secs_f64(uncached * SLOW_REQUEST_FACTOR),
        })
    }
}
