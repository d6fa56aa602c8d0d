//! Links to the other replicas.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::{future, task};
use bytes::Bytes;
use futures_util::future::{self as select, Either};
use futures_util::stream::{FuturesUnordered, StreamExt};
use quorum::ids;
use quorum::message::Message;
use tokio::sync::mpsc;
use tonic::Status;
use wire::dial::{self, TokenChannel};
use wire::token::AccessToken;
use wire::v1;
use wire::v1::replica_client::ReplicaClient;

/// Sends messages to one other replica; a message may be lost.
///
/// A connection on which a message is not answered in time is replaced by a new one, because a
/// connection may have gone silent for good while new ones work.
#[derive(Debug, Clone)]
pub struct PeerLink {
    queue: mpsc::Sender<QueuedEnvelope>,
    dropped: Arc<AtomicU64>,
}

/// A message and when it was queued.
type QueuedEnvelope = (Instant, v1::Envelope);

/// What a link's task needs.
#[derive(Debug)]
struct LinkTask {
    peer: ids::ReplicaId,
    address: SocketAddr,
    token: AccessToken,
    queue: mpsc::Receiver<QueuedEnvelope>,
}

impl PeerLink {
    /// Most messages that wait for one replica.
    pub const MAX_QUEUE: usize = 512;

    /// Most messages on their way to one replica.
    pub const MAX_SENDING: usize = 8;

    /// Time in which a message of no size must be answered.
    pub const SEND_TIMEOUT: Duration = Duration::from_millis(300);

    /// Age above which a message is dropped: a process that stood still must not pass on a stamp as
    /// fresh that it made before.
    pub const MAX_AGE: Duration = Duration::from_millis(500);

    /// Bytes for which a millisecond is added to the time.
    pub const BYTES_PER_MILLISECOND: u64 = 2_000;

    /// Pause after a connection that could not be made.
    const DIAL_PAUSE: Duration = Duration::from_millis(50);

    /// Starts the task of a link.
    pub fn start(peer: ids::ReplicaId, address: SocketAddr, token: AccessToken) -> Self {
        let (sender, queue) = mpsc::channel(Self::MAX_QUEUE);
        let link = LinkTask {
            peer,
            address,
            token,
            queue,
        };
        task::spawn(link.run());
        Self {
            queue: sender,
            dropped: Arc::default(),
        }
    }

    /// Queues a message, or drops it where too many wait.
    pub fn offer(&self, envelope: v1::Envelope) {
        if self.queue.try_send((Instant::now(), envelope)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns how many messages were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl LinkTask {
    async fn run(mut self) {
        while let Some(envelope) = self.next().await {
            let Some(channel) = self.dial().await else {
                continue;
            };
            let error = self.send_on(channel, envelope).await;
            if let Some(error) = error {
                log::info!(target: "peer", "left connection to replica {}: {error}", self.peer);
            }
        }
    }

    /// Waits for the next message that is not too old.
    async fn next(&mut self) -> Option<v1::Envelope> {
        loop {
            let (queued_at, envelope) = self.queue.recv().await?;
            if queued_at.elapsed() <= PeerLink::MAX_AGE {
                return Some(envelope);
            }
        }
    }

    async fn dial(&mut self) -> Option<TokenChannel> {
        let dialled = future::timeout(
            dial::CONNECT_TIMEOUT,
            dial::connect(self.address, &self.token),
        );
        match dialled.await {
            Ok(Ok(channel)) => Some(channel),
            Ok(Err(_)) | Err(_) => {
                task::sleep(PeerLink::DIAL_PAUSE).await;
                // What waited is out of date by now.
                while self.queue.try_recv().is_ok() {}
                None
            }
        }
    }

    /// Sends messages on a connection until one fails; none where the queue has ended.
    async fn send_on(&mut self, channel: TokenChannel, first: v1::Envelope) -> Option<String> {
        let client =
            ReplicaClient::new(channel).max_encoding_message_size(dial::MAX_SNAPSHOT_BYTES);
        let mut sending = FuturesUnordered::new();
        sending.push(deliver(client.clone(), first));
        loop {
            if sending.len() >= PeerLink::MAX_SENDING {
                if let Some(Err(error)) = sending.next().await {
                    return Some(error);
                }
                continue;
            }
            if sending.is_empty() {
                let envelope = self.next().await?;
                sending.push(deliver(client.clone(), envelope));
                continue;
            }
            let next = std::pin::pin!(self.next());
            match select::select(next, sending.next()).await {
                Either::Left((Some(envelope), _)) => {
                    sending.push(deliver(client.clone(), envelope));
                }
                Either::Left((None, _)) => return None,
                Either::Right((Some(Err(error)), _)) => return Some(error),
                Either::Right((_, _)) => {}
            }
        }
    }
}

/// Delivers one message within a time that grows with its size.
async fn deliver(
    mut client: ReplicaClient<TokenChannel>,
    envelope: v1::Envelope,
) -> Result<(), String> {
    let size = u64::try_from(envelope.payload.len()).unwrap_or(u64::MAX);
    let more = Duration::from_millis(size / PeerLink::BYTES_PER_MILLISECOND);
    let sent = future::timeout(PeerLink::SEND_TIMEOUT + more, client.deliver(envelope));
    match sent.await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(status)) => Err(status.message().to_string()),
        Err(_) => Err("a message was not answered in time".to_string()),
    }
}

/// Links to all other replicas.
#[derive(Debug, Clone)]
pub struct PeerLinks {
    own: ids::ReplicaId,
    addresses: BTreeMap<ids::ReplicaId, SocketAddr>,
    links: BTreeMap<ids::ReplicaId, PeerLink>,
    token: AccessToken,
}

impl PeerLinks {
    /// Starts a link to each replica but this one.
    pub fn start(
        own: ids::ReplicaId,
        addresses: &BTreeMap<ids::ReplicaId, SocketAddr>,
        token: &AccessToken,
    ) -> Self {
        let others = addresses.iter().filter(|(peer, _)| **peer != own);
        let links = others
            .map(|(peer, address)| (*peer, PeerLink::start(*peer, *address, token.clone())))
            .collect();
        Self {
            own,
            addresses: addresses.clone(),
            links,
            token: token.clone(),
        }
    }

    /// Sends a message of the replicated log; it may be lost.
    pub fn send(&self, to: ids::ReplicaId, message: &Message) {
        let payload = match postcard::to_allocvec(message) {
            Ok(payload) => Bytes::from(payload),
            Err(e) => {
                log::error!(target: "peer", "a message has no binary form: {e}");
                return;
            }
        };
        if let Some(link) = self.links.get(&to) {
            link.offer(self.envelope(to, payload, None));
        }
    }

    /// Sends the freshness stamp to all other replicas; it may be lost.
    pub fn send_beat(&self, beat: v1::Beat) {
        for (to, link) in &self.links {
            link.offer(self.envelope(*to, Bytes::new(), Some(beat)));
        }
    }

    /// Returns how many messages were dropped, by replica.
    pub fn dropped(&self) -> BTreeMap<ids::ReplicaId, u64> {
        let links = self.links.iter();
        links.map(|(peer, link)| (*peer, link.dropped())).collect()
    }

    /// Returns the peer address of a replica.
    pub fn address(&self, peer: ids::ReplicaId) -> Option<SocketAddr> {
        self.addresses.get(&peer).copied()
    }

    /// Submits a ticket to the replica that leads, and returns its verdict in JSON, where known.
    pub async fn submit(&self, leader: ids::ReplicaId, ticket: Bytes) -> Result<Bytes, Status> {
        let mut client = self.client(leader).await?;
        let reply = client.submit(v1::SubmitRequest { ticket }).await?;
        Ok(reply.into_inner().verdict)
    }

    /// Asks the replica that leads to confirm itself.
    pub async fn confirm(&self, leader: ids::ReplicaId) -> Result<v1::ConfirmReply, Status> {
        let mut client = self.client(leader).await?;
        let reply = client.confirm(v1::ConfirmRequest {}).await?;
        Ok(reply.into_inner())
    }

    async fn client(&self, peer: ids::ReplicaId) -> Result<ReplicaClient<TokenChannel>, Status> {
        let address = self
            .address(peer)
            .ok_or_else(|| Status::unavailable("no such replica"))?;
        let channel = dial::connect(address, &self.token)
            .await
            .map_err(|e| Status::unavailable(e.to_string()))?;
        Ok(ReplicaClient::new(channel).max_encoding_message_size(dial::MAX_MESSAGE_BYTES))
    }

    fn envelope(&self, to: ids::ReplicaId, payload: Bytes, beat: Option<v1::Beat>) -> v1::Envelope {
        v1::Envelope {
            from: self.own,
            to,
            payload,
            beat,
        }
    }
}
