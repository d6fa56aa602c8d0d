//! Subscription to a source of the state, with failover to the next one.

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

use crate::holder::{HolderError, StateChange, StateHolder};
use crate::plan::SourcePlan;

quick_error! {
    /// Reason for which the subscription to a source ended.
    #[derive(Debug)]
    pub enum WatchError {
        /// The connection to the source failed.
        Connect(err: tonic::transport::Error) {
            from()
            source(err)
            display("can't connect: {err}")
        }
        /// The source refused the subscription or aborted the stream.
        Status(err: Box<Status>) {
            display("the source ended the stream: {}", err.message())
        }
        /// The source closed the stream without an error.
        Ended {
            display("the source closed the stream")
        }
        /// The source did not connect or send a newer heartbeat in time.
        Stale {
            display("no newer heartbeat arrived in time")
        }
        /// The source sent an event that can't be applied.
        Holder(err: HolderError) {
            from()
            source(err)
            display("can't apply an event of the source: {err}")
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
/// If a source sends neither newer state nor a newer heartbeat within
/// [`FeedWatcher::STALE_AFTER`], the watcher connects to the next one.
#[derive(Debug)]
pub struct FeedWatcher {
    holder: Arc<StateHolder>,
    plan: SourcePlan,
    host: String,
    token: AccessToken,
    clock: TimeSource,
}

impl FeedWatcher {
    /// Longest time without newer state or a newer heartbeat before a source counts as stale.
    pub const STALE_AFTER: Duration = Duration::from_millis(1_000);

    /// Base of the backoff: doubled for each round in which all sources failed, up to eight times.
    ///
    /// Without any sources, the watcher waits for this time.
    pub const BASE_BACKOFF: Duration = Duration::from_millis(50);

    /// Creates the watcher of a host.
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

    /// Follows the sources in turn for as long as the process runs.
    pub async fn run(self) {
        let mut failures: u32 = 0;
        let mut attempts: usize = 0;
        loop {
            let sources = self.plan.sources(&self.holder.view().state);
            let Some(source) = sources.get(attempts % sources.len().max(1)) else {
                self.clock.sleep(Self::BASE_BACKOFF).await;
                continue;
            };
            let stamp_before = self.holder.view().stamp();
            let Err(error) = self.follow(*source).await;
            log::info!(target: "feed", "feed source {source} failed, trying the next one: {error}");
            if matches!(error, WatchError::Holder(HolderError::DigestMismatch(_))) {
                log::error!(target: "feed", "state digest mismatch, reloading the state");
                self.holder.reset();
            }
            let advanced = self.holder.view().stamp() > stamp_before;
            failures = if advanced { 0 } else { failures + 1 };
            attempts += 1;
            self.back_off(failures, sources.len()).await;
        }
    }

    /// Waits before the next source, twice as long after each round in which all sources failed.
    async fn back_off(&self, failures: u32, sources: usize) {
        let rounds = failures / u32::try_from(sources.max(1)).unwrap_or(u32::MAX);
        if rounds > 0 {
            self.clock
                .sleep(Self::BASE_BACKOFF * (1 << rounds.min(3)))
                .await;
        }
    }

    /// Follows one source until it fails.
    async fn follow(&self, source: SocketAddr) -> Result<std::convert::Infallible, WatchError> {
        let opened_at = self.clock.now();
        let mut events = self.open(source).await?;
        log::info!(target: "feed", "following feed source {source}");
        let mut advanced_at = opened_at;
        loop {
            let deadline = advanced_at + Self::STALE_AFTER;
            let event = within(&self.clock, deadline, events.message()).await?;
            let event = event?
                .and_then(|event| event.kind)
                .ok_or(WatchError::Ended)?;
            if self.apply(event)? {
                advanced_at = self.clock.now();
            }
        }
    }

    /// Connects to a source and subscribes to its events.
    async fn open(&self, source: SocketAddr) -> Result<Streaming<v1::FeedEvent>, WatchError> {
        let deadline = self.clock.now() + Self::STALE_AFTER;
        let channel = within(&self.clock, deadline, dial::connect(source, &self.token)).await??;
        let mut client =
            FeedClient::new(channel).max_decoding_message_size(dial::MAX_SNAPSHOT_BYTES);
        let view = self.holder.view();
        let request = v1::WatchRequest {
            host: self.host.clone(),
            revision: view.state.revision,
            digest: view.state.digest,
        };
        let response = within(&self.clock, deadline, client.watch(request)).await??;
        Ok(response.into_inner())
    }

    /// Applies an event to the holder; returns whether the state or the heartbeat is newer by it.
    fn apply(&self, event: Kind) -> Result<bool, WatchError> {
        match event {
            Kind::Snapshot(snapshot) => Ok(self.holder.publish_snapshot_json(&snapshot.state)?),
            Kind::Change(change) => Ok(self.holder.publish_change(StateChange {
                revision: change.revision,
                digest: change.digest,
                ticket: change.ticket,
            })?),
            Kind::Beat(message) => Ok(self
                .holder
                .publish_heartbeat(self.clock.now(), message.into())?),
        }
    }
}

/// Waits for a future until a deadline, after which the source counts as stale.
async fn within<T>(
    clock: &TimeSource,
    deadline: Instant,
    work: impl std::future::Future<Output = T>,
) -> Result<T, WatchError> {
    let work = std::pin::pin!(work);
    let timer = std::pin::pin!(clock.sleep_until(deadline));
    match future::select(work, timer).await {
        Either::Left((done, _)) => Ok(done),
        Either::Right(_) => Err(WatchError::Stale),
    }
}
