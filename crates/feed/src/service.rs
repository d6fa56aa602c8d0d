//! gRPC service that streams the state to watchers.

use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use futures_util::stream::{self, Stream};
use model::ids;
use tokio::sync::watch;
use tonic::{Request, Response, Status};
use wire::v1;
use wire::v1::feed_event::Kind;
use wire::v1::feed_server::{Feed, FeedServer};

use crate::holder::{StateChange, StateHolder};
use crate::view::{HeartbeatStamp, StateView};

/// Streams the state of a holder to watchers, over a bounded number of streams.
///
/// A watcher that lags receives every change, or a snapshot in place of them; heartbeats that newer
/// ones superseded are skipped.
#[derive(Debug, Clone)]
pub struct FeedService {
    holder: Arc<StateHolder>,
    streams: Arc<AtomicUsize>,
}

impl FeedService {
    /// Most streams that one process serves.
    pub const MAX_STREAMS: usize = 1_024;

    /// Creates a service that streams the state of a holder.
    pub fn new(holder: Arc<StateHolder>) -> Self {
        Self {
            holder,
            streams: Arc::default(),
        }
    }

    /// Returns the gRPC server of the service.
    pub fn into_server(self) -> FeedServer<Self> {
        FeedServer::new(self)
            .max_decoding_message_size(wire::dial::MAX_MESSAGE_BYTES)
            .max_encoding_message_size(wire::dial::MAX_SNAPSHOT_BYTES)
    }

    /// Returns the number of open streams.
    pub fn streams(&self) -> usize {
        self.streams.load(Ordering::Relaxed)
    }
}

#[tonic::async_trait]
impl Feed for FeedService {
    type WatchStream = Pin<Box<dyn Stream<Item = Result<v1::FeedEvent, Status>> + Send>>;

    async fn watch(
        &self,
        request: Request<v1::WatchRequest>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let slot = StreamSlot::acquire(&self.streams).ok_or_else(|| {
            Status::resource_exhausted("too many watchers; follow another source")
        })?;
        let request = request.into_inner();
        let cursor = WatchCursor {
            holder: Arc::clone(&self.holder),
            versions: self.holder.subscribe(),
            revision: self.first_revision(request.revision, request.digest),
            // The latest heartbeat is outdated if this process is partitioned, so the watcher gets
            // only heartbeats that arrive after it subscribed.
            stamp: self.holder.view().stamp(),
            pending: Vec::new(),
            _slot: slot,
        };
        let events = stream::unfold(cursor, WatchCursor::next);
        Ok(Response::new(Box::pin(events)))
    }
}

impl FeedService {
    /// Returns the revision to resume from: 0 if the watcher's state has a different digest.
    fn first_revision(&self, revision: ids::Revision, digest: ids::Digest) -> ids::Revision {
        let view = self.holder.view();
        let differs = view.state.revision == revision && view.state.digest != digest;
        if differs {
            return 0;
        }
        revision
    }
}

/// Counts one open stream until it is dropped.
#[derive(Debug)]
struct StreamSlot(Arc<AtomicUsize>);

impl StreamSlot {
    /// Reserves a stream, or returns `None` if the limit is reached.
    fn acquire(streams: &Arc<AtomicUsize>) -> Option<Self> {
        let slot = Self(Arc::clone(streams));
        let before = streams.fetch_add(1, Ordering::Relaxed);
        (before < FeedService::MAX_STREAMS).then_some(slot)
    }
}

impl Drop for StreamSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Position of a watcher in the stream of events.
struct WatchCursor {
    holder: Arc<StateHolder>,
    versions: watch::Receiver<u64>,
    /// Revision that the watcher has.
    revision: ids::Revision,
    /// Stamp of the latest heartbeat that needn't be sent.
    stamp: Option<HeartbeatStamp>,
    /// Changes to send, in reverse order.
    pending: Vec<StateChange>,
    _slot: StreamSlot,
}

impl WatchCursor {
    /// Waits for the next event to send.
    async fn next(mut self) -> Option<(Result<v1::FeedEvent, Status>, Self)> {
        loop {
            self.versions.mark_unchanged();
            if let Some(kind) = self.pop_event() {
                let event = v1::FeedEvent { kind: Some(kind) };
                return Some((Ok(event), self));
            }
            if self.versions.changed().await.is_err() {
                return None;
            }
        }
    }

    /// Returns the next event to send, if there is one.
    fn pop_event(&mut self) -> Option<Kind> {
        let view = self.holder.view();
        if self.pending.is_empty() && view.state.revision > self.revision {
            match self.holder.changes_after(self.revision) {
                Some(changes) => self.pending = changes.into_iter().rev().collect(),
                None => return Some(self.snapshot(&view)),
            }
        }
        if let Some(change) = self.pending.pop() {
            self.revision = change.revision;
            return Some(Kind::Change(v1::Change {
                revision: change.revision,
                digest: change.digest,
                ticket: change.ticket,
            }));
        }
        self.heartbeat(&view)
    }

    /// Returns the snapshot event of a view and moves the position to its revision.
    fn snapshot(&mut self, view: &StateView) -> Kind {
        self.revision = view.state.revision;
        let state = serde_json::to_vec(&*view.state).unwrap_or_default();
        Kind::Snapshot(v1::Snapshot {
            revision: view.state.revision,
            digest: view.state.digest,
            state: state.into(),
        })
    }

    /// Returns the event of the latest heartbeat, unless it was sent before.
    fn heartbeat(&mut self, view: &StateView) -> Option<Kind> {
        let (heartbeat, _) = view.heartbeat?;
        if self.stamp == Some(heartbeat.stamp) {
            return None;
        }
        self.stamp = Some(heartbeat.stamp);
        Some(Kind::Beat(heartbeat.into()))
    }
}
