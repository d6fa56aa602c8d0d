//! Follows a source and replaces one that went silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clock::TimeSource;
use futures_util::future::{self, Either};
use quick_error::quick_error;
use tonic::{Status, Streaming};
use wire::dial;
use wire::token::AccessToken;
use wire::v1;
use wire::v1::feed_client::FeedClient;
use wire::v1::feed_event::Kind;

use crate::holder::{ForceChange, HolderError, StateHolder};
use crate::plan::SourcePlan;

quick_error! {
    /// Why a source is no longer followed.
    #[derive(Debug)]
    pub enum WatchError {
        /// It can't be reached.
        Dial(err: tonic::transport::Error) {
            from()
            source(err)
            display("it can't be reached: {err}")
        }
        /// It ended or refused the stream.
        Status(err: Box<Status>) {
            display("it ended the stream: {}", err.message())
        }
        /// It ended the stream without a word.
        Ended {
            display("it ended the stream")
        }
        /// No newer freshness stamp came from it in time.
        Stale {
            display("no newer freshness stamp came in time")
        }
        /// What it sent was not taken.
        Holder(err: HolderError) {
            from()
            source(err)
            display("what it sent was not taken: {err}")
        }
    }
}

impl From<Status> for WatchError {
    fn from(status: Status) -> Self {
        Self::Status(Box::new(status))
    }
}

/// Keeps a holder up to date from one source at a time.
///
/// A source that gives no newer freshness stamp within [`FeedWatcher::STALE_AFTER`] is left for
/// the next one, over a new connection.
#[derive(Debug)]
pub struct FeedWatcher {
    holder: Arc<StateHolder>,
    plan: SourcePlan,
    host: String,
    token: AccessToken,
    clock: TimeSource,
}

impl FeedWatcher {
    /// Time without a newer stamp after which the source is left.
    pub const STALE_AFTER: Duration = Duration::from_millis(1_000);

    /// Shortest wait after all sources were tried in vain; the longest is eight times as long.
    pub const MIN_BACKOFF: Duration = Duration::from_millis(50);

    /// Creates a watcher for a host.
    pub fn new(
        host: impl Into<String>,
        holder: Arc<StateHolder>,
        plan: SourcePlan,
        token: AccessToken,
        clock: TimeSource,
    ) -> Self {
        Self {
            holder,
            plan,
            host: host.into(),
            token,
            clock,
        }
    }

    /// Follows sources for as long as the process runs.
    pub async fn run(self) {
        let mut failures: u32 = 0;
        let mut turn: usize = 0;
        loop {
            let sources = self.plan.sources(&self.holder.view().state);
            let Some(source) = sources.get(turn % sources.len().max(1)) else {
                self.clock.sleep(Self::MIN_BACKOFF).await;
                continue;
            };
            let before = self.holder.view().stamp();
            let Err(error) = self.follow(*source).await;
            log::info!(target: "feed", "left source {source}: {error}");
            if matches!(error, WatchError::Holder(HolderError::Digest(_))) {
                log::error!(target: "feed", "the state's digest is wrong; loading it anew");
                self.holder.reset();
            }
            let advanced = self.holder.view().stamp() > before;
            failures = if advanced { 0 } else { failures + 1 };
            turn += 1;
            self.back_off(failures, sources.len()).await;
        }
    }

    /// Waits longer after each round of all sources that brought nothing.
    async fn back_off(&self, failures: u32, sources: usize) {
        let rounds = failures / u32::try_from(sources.max(1)).unwrap_or(u32::MAX);
        if rounds > 0 {
            self.clock
                .sleep(Self::MIN_BACKOFF * (1 << rounds.min(3)))
                .await;
        }
    }

    /// Follows one source until it fails.
    async fn follow(&self, source: SocketAddr) -> Result<std::convert::Infallible, WatchError> {
        let opened = self.clock.now();
        let mut events = self.open(source).await?;
        log::info!(target: "feed", "follows source {source}");
        let mut advanced_at = opened;
        loop {
            let bound = advanced_at + Self::STALE_AFTER;
            let event = within(&self.clock, bound, events.message()).await?;
            let event = event?
                .and_then(|event| event.kind)
                .ok_or(WatchError::Ended)?;
            if self.take(event)? {
                advanced_at = self.clock.now();
            }
        }
    }

    async fn open(&self, source: SocketAddr) -> Result<Streaming<v1::FeedEvent>, WatchError> {
        let bound = self.clock.now() + Self::STALE_AFTER;
        let channel = within(&self.clock, bound, dial::connect(source, &self.token)).await??;
        let mut client =
            FeedClient::new(channel).max_decoding_message_size(dial::MAX_SNAPSHOT_BYTES);
        let view = self.holder.view();
        let request = v1::WatchRequest {
            host: self.host.clone(),
            revision: view.state.revision,
            digest: view.state.digest,
        };
        let response = within(&self.clock, bound, client.watch(request)).await??;
        Ok(response.into_inner())
    }

    /// Takes an event into the holder, and tells whether the source proved fresh by it.
    fn take(&self, event: Kind) -> Result<bool, WatchError> {
        match event {
            Kind::Snapshot(snapshot) => Ok(self.holder.publish_snapshot_json(&snapshot.state)?),
            Kind::Change(change) => Ok(self.holder.publish_change(ForceChange {
                revision: change.revision,
                digest: change.digest,
                ticket: change.ticket,
            })?),
            Kind::Beat(beat) => Ok(self.holder.publish_beat(self.clock.now(), beat.into())?),
        }
    }
}

/// Waits for a future until a moment.
async fn within<T>(
    clock: &TimeSource,
    bound: Instant,
    work: impl std::future::Future<Output = T>,
) -> Result<T, WatchError> {
    let work = std::pin::pin!(work);
    let timer = std::pin::pin!(clock.sleep_until(bound));
    match future::select(work, timer).await {
        Either::Left((done, _)) => Ok(done),
        Either::Right(_) => Err(WatchError::Stale),
    }
}
