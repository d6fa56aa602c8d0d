//! Client for calls to other processes of the deployment.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_std::{future, task};
use bytes::Bytes;
use quick_error::quick_error;
use quorum::ids::ReplicaId;
use tonic::transport::Channel;
use wire::v1::mesh_client::MeshClient;
use wire::{dial, v1};

use crate::message::{MeshReply, MeshRequest};

/// Timeout of a message that is sent without waiting for its answer.
pub const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Most unanswered messages to one process; further ones are dropped.
const MAX_UNANSWERED_SENDS: usize = 64;

/// Delay before the next attempt after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Bytes of the payload for which one millisecond is added to the timeout of a call. Even a slow
/// link is faster.
const MIN_BYTES_PER_MILLISECOND: u64 = 500;

quick_error! {
    /// Reason why a call has no answer.
    #[derive(Debug)]
    pub enum MeshError {
        /// There is no connection, or the connection attempt failed.
        NotConnected {
            display("there is no connection to the process")
        }
        /// The answer didn't arrive within the timeout.
        Timeout {
            display("the call was not answered within its timeout")
        }
        /// The process refused the call, or the connection broke.
        Refused(message: String) {
            display("the call failed: {message}")
        }
        /// A request can't be encoded, or an answer can't be decoded.
        Codec(err: postcard::Error) {
            from()
            display("a request can't be encoded or its answer can't be decoded: {err}")
        }
    }
}

#[derive(Debug, Default)]
struct LinkState {
    channel: Option<Channel>,
    /// Number of channels so far, so that a late failure of one doesn't close its successor.
    generation: u64,
    /// Time before which no connection attempt is made.
    dial_after: Option<Instant>,
}

/// Connection to one process.
///
/// A connection is replaced after any failed call, timeouts included, because a connection may
/// permanently stop carrying data while new ones work.
#[derive(Debug)]
struct MeshLink {
    address: SocketAddr,
    state: Mutex<LinkState>,
    /// Messages in flight that were sent without waiting for an answer.
    unanswered_sends: AtomicUsize,
}

impl MeshLink {
    fn state(&self) -> std::sync::MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the open channel with its generation, and connects where there is none.
    async fn channel(&self) -> Result<(u64, Channel), MeshError> {
        {
            let state = self.state();
            if let Some(channel) = &state.channel {
                return Ok((state.generation, channel.clone()));
            }
            if state.dial_after.is_some_and(|after| Instant::now() < after) {
                return Err(MeshError::NotConnected);
            }
        }
        let dialled = future::timeout(
            dial::CONNECT_TIMEOUT,
            dial::connect_without_token(self.address),
        )
        .await;
        let mut state = self.state();
        let Ok(Ok(channel)) = dialled else {
            state.dial_after = Some(Instant::now() + RECONNECT_DELAY);
            return Err(MeshError::NotConnected);
        };
        state.generation += 1;
        state.channel = Some(channel.clone());
        Ok((state.generation, channel))
    }

    /// Drops the channel after a failure, unless it was replaced since.
    fn drop_channel(&self, generation: u64, error: &MeshError) {
        let mut state = self.state();
        if state.generation == generation && state.channel.take().is_some() {
            log::info!(target: "mesh", "connection dropped; peer={} error={error}", self.address);
        }
    }

    async fn call(&self, call: v1::MeshCall, limit: Duration) -> Result<Bytes, MeshError> {
        let (generation, channel) = self.channel().await?;
        let size = u64::try_from(call.payload.len()).unwrap_or(u64::MAX);
        let transfer = Duration::from_millis(size / MIN_BYTES_PER_MILLISECOND);
        let mut client = MeshClient::new(channel)
            .max_decoding_message_size(dial::MAX_SNAPSHOT_BYTES)
            .max_encoding_message_size(dial::MAX_SNAPSHOT_BYTES);
        let error = match future::timeout(limit + transfer, client.exchange(call)).await {
            Ok(Ok(answer)) => return Ok(answer.into_inner().payload),
            Ok(Err(status)) => MeshError::Refused(status.message().to_string()),
            Err(_) => MeshError::Timeout,
        };
        self.drop_channel(generation, &error);
        Err(error)
    }
}

/// Connections to all processes that this one calls.
#[derive(Debug, Clone)]
pub struct MeshLinks {
    own: ReplicaId,
    links: Arc<Mutex<HashMap<SocketAddr, Arc<MeshLink>>>>,
}

impl MeshLinks {
    /// Creates the connections of a replica; an entry host has the replica id 0.
    pub fn new(own: ReplicaId) -> Self {
        Self {
            own,
            links: Arc::default(),
        }
    }

    fn link(&self, address: SocketAddr) -> Arc<MeshLink> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry(address).or_insert_with(|| {
            Arc::new(MeshLink {
                address,
                state: Mutex::default(),
                unanswered_sends: AtomicUsize::new(0),
            })
        });
        Arc::clone(link)
    }

    /// Calls a process and waits for its answer. The timeout is `limit` plus time for the transfer
    /// of the request.
    ///
    /// # Errors
    ///
    /// Fails where there is no connection, the call fails or times out, or a message has no valid
    /// encoding.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &MeshRequest,
        limit: Duration,
    ) -> Result<MeshReply, MeshError> {
        let call = self.encode(request)?;
        let payload = self.link(address).call(call, limit).await?;
        Ok(postcard::from_bytes(&payload)?)
    }

    /// Sends a message without waiting for its answer; it may be lost.
    pub fn send(&self, address: SocketAddr, request: &MeshRequest) {
        let call = match self.encode(request) {
            Ok(call) => call,
            Err(e) => {
                log::error!(target: "mesh", "message to {address} dropped, as it can't be encoded: {e}");
                return;
            }
        };
        let link = self.link(address);
        if link.unanswered_sends.fetch_add(1, Ordering::AcqRel) >= MAX_UNANSWERED_SENDS {
            link.unanswered_sends.fetch_sub(1, Ordering::AcqRel);
            return;
        }
        task::spawn(async move {
            let _ = link.call(call, SEND_TIMEOUT).await;
            link.unanswered_sends.fetch_sub(1, Ordering::AcqRel);
        });
    }

    fn encode(&self, request: &MeshRequest) -> Result<v1::MeshCall, MeshError> {
        let payload = Bytes::from(postcard::to_allocvec(request)?);
        Ok(v1::MeshCall {
            from: self.own,
            payload,
        })
    }
}
