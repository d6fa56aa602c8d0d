//! Links that send messages to the other replicas.

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

/// Sends messages to one other replica, without a guarantee of delivery.
///
/// A connection on which a message isn't answered in time is replaced by a new one, because a
/// connection may stay silent forever while new ones work.
#[derive(Debug, Clone)]
pub struct PeerLink {
    queue: mpsc::Sender<QueuedEnvelope>,
    dropped: Arc<AtomicU64>,
}

/// A message and the time at which it was queued.
type QueuedEnvelope = (Instant, v1::Envelope);

/// The task that sends the queued messages of a link.
#[derive(Debug)]
struct LinkTask {
    peer: ids::ReplicaId,
    address: SocketAddr,
    token: AccessToken,
    queue: mpsc::Receiver<QueuedEnvelope>,
}

impl PeerLink {
    /// Most messages that are queued for one replica.
    pub const MAX_QUEUED_MESSAGES: usize = 512;

    /// Most messages in flight to one replica.
    pub const MAX_IN_FLIGHT: usize = 8;

    /// Timeout of an empty message; that of a larger one grows with
    /// [`PeerLink::BYTES_PER_EXTRA_MILLISECOND`].
    pub const SEND_TIMEOUT: Duration = Duration::from_millis(300);

    /// Age above which a queued message is dropped. Otherwise a process that was paused would send
    /// an old heartbeat when it continues, and receivers would take it as fresh.
    pub const MAX_MESSAGE_AGE: Duration = Duration::from_millis(500);

    /// Payload bytes for which the timeout of a message grows by one millisecond.
    pub const BYTES_PER_EXTRA_MILLISECOND: u64 = 2_000;

    /// Delay after a failed attempt to connect.
    const RECONNECT_DELAY: Duration = Duration::from_millis(50);

    /// Starts the task of a link and returns the link.
    pub fn start(peer: ids::ReplicaId, address: SocketAddr, token: AccessToken) -> Self {
        let (sender, queue) = mpsc::channel(Self::MAX_QUEUED_MESSAGES);
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

    /// Queues a message, or drops it where the queue is full.
    pub fn offer(&self, envelope: v1::Envelope) {
        if self.queue.try_send((Instant::now(), envelope)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns how many messages were dropped because the queue was full.
    pub fn dropped_messages(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl LinkTask {
    async fn run(mut self) {
        while let Some(envelope) = self.next_envelope().await {
            let Some(channel) = self.connect().await else {
                continue;
            };
            let error = self.send_until_failure(channel, envelope).await;
            if let Some(error) = error {
                log::info!(
                    target: "peer",
                    "connection to replica {} failed and will be replaced: {error}",
                    self.peer
                );
            }
        }
    }

    /// Waits for the next message within [`PeerLink::MAX_MESSAGE_AGE`] and drops older ones; `None`
    /// where the queue is closed.
    async fn next_envelope(&mut self) -> Option<v1::Envelope> {
        loop {
            let (queued_at, envelope) = self.queue.recv().await?;
            if queued_at.elapsed() <= PeerLink::MAX_MESSAGE_AGE {
                return Some(envelope);
            }
        }
    }

    /// Connects to the replica. After a failure, drops all queued messages and returns `None`.
    async fn connect(&mut self) -> Option<TokenChannel> {
        let connected = future::timeout(
            dial::CONNECT_TIMEOUT,
            dial::connect(self.address, &self.token),
        );
        match connected.await {
            Ok(Ok(channel)) => Some(channel),
            Ok(Err(_)) | Err(_) => {
                task::sleep(PeerLink::RECONNECT_DELAY).await;
                // The queued messages are outdated by now.
                while self.queue.try_recv().is_ok() {}
                None
            }
        }
    }

    /// Sends messages on a connection until one fails, and returns the error; `None` where the
    /// queue is closed.
    async fn send_until_failure(
        &mut self,
        channel: TokenChannel,
        first: v1::Envelope,
    ) -> Option<String> {
        let client =
            ReplicaClient::new(channel).max_encoding_message_size(dial::MAX_SNAPSHOT_BYTES);
        let mut in_flight = FuturesUnordered::new();
        in_flight.push(deliver(client.clone(), first));
        loop {
            if in_flight.len() >= PeerLink::MAX_IN_FLIGHT {
                if let Some(Err(error)) = in_flight.next().await {
                    return Some(error);
                }
                continue;
            }
            if in_flight.is_empty() {
                let envelope = self.next_envelope().await?;
                in_flight.push(deliver(client.clone(), envelope));
                continue;
            }
            let next = std::pin::pin!(self.next_envelope());
            match select::select(next, in_flight.next()).await {
                Either::Left((Some(envelope), _)) => {
                    in_flight.push(deliver(client.clone(), envelope));
                }
                Either::Left((None, _)) => return None,
                Either::Right((Some(Err(error)), _)) => return Some(error),
                Either::Right((_, _)) => {}
            }
        }
    }
}

/// Delivers one message, with a timeout that grows with its size.
async fn deliver(
    mut client: ReplicaClient<TokenChannel>,
    envelope: v1::Envelope,
) -> Result<(), String> {
    let size = u64::try_from(envelope.payload.len()).unwrap_or(u64::MAX);
    let extra = Duration::from_millis(size / PeerLink::BYTES_PER_EXTRA_MILLISECOND);
    let sent = future::timeout(PeerLink::SEND_TIMEOUT + extra, client.deliver(envelope));
    match sent.await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(status)) => Err(status.message().to_string()),
        Err(_) => Err("a message timed out".to_string()),
    }
}

/// Links to all other replicas, and calls to the leader.
#[derive(Debug, Clone)]
pub struct PeerLinks {
    own: ids::ReplicaId,
    addresses: BTreeMap<ids::ReplicaId, SocketAddr>,
    links: BTreeMap<ids::ReplicaId, PeerLink>,
    token: AccessToken,
}

impl PeerLinks {
    /// Starts a link to each replica except this one.
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

    /// Queues a message of the replicated log for a replica. Delivery is not guaranteed.
    pub fn send(&self, to: ids::ReplicaId, message: &Message) {
        let payload = match postcard::to_allocvec(message) {
            Ok(payload) => Bytes::from(payload),
            Err(e) => {
                log::error!(
                    target: "peer",
                    "message to replica {to} can't be encoded and is dropped: {e}"
                );
                return;
            }
        };
        if let Some(link) = self.links.get(&to) {
            link.offer(self.envelope(to, payload, None));
        }
    }

    /// Queues the leader's heartbeat for all other replicas. Delivery is not guaranteed.
    pub fn broadcast_heartbeat(&self, heartbeat: v1::Beat) {
        for (to, link) in &self.links {
            link.offer(self.envelope(*to, Bytes::new(), Some(heartbeat)));
        }
    }

    /// Returns the number of dropped messages by replica.
    pub fn dropped_messages(&self) -> BTreeMap<ids::ReplicaId, u64> {
        let links = self.links.iter();
        links
            .map(|(peer, link)| (*peer, link.dropped_messages()))
            .collect()
    }

    /// Returns the peer address of a replica.
    pub fn address(&self, peer: ids::ReplicaId) -> Option<SocketAddr> {
        self.addresses.get(&peer).copied()
    }

    /// Submits a ticket to the leader and returns its verdict as JSON, which is empty where the
    /// verdict isn't known.
    ///
    /// # Errors
    ///
    /// Fails where the leader can't be reached or refuses the ticket.
    pub async fn submit(&self, leader: ids::ReplicaId, ticket: Bytes) -> Result<Bytes, Status> {
        let mut client = self.client(leader).await?;
        let reply = client.submit(v1::SubmitRequest { ticket }).await?;
        Ok(reply.into_inner().verdict)
    }

    /// Asks the leader to confirm a read.
    ///
    /// # Errors
    ///
    /// Fails where the leader can't be reached.
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
