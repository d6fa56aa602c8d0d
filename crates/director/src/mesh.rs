//! Calls to other processes of the deployment.

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

/// Time in which a call that needs no decision must be answered.
pub const POST_TIMEOUT: Duration = Duration::from_millis(500);

/// Most calls without an answer to one process, beyond which messages are dropped.
const MAX_POSTS: usize = 64;

/// Pause after a connection that could not be made.
const DIAL_PAUSE: Duration = Duration::from_millis(100);

/// Bytes for which a millisecond is added to the time of a call; a slow link carries more.
const BYTES_PER_MILLISECOND: u64 = 500;

quick_error! {
    /// Why a call had no answer.
    #[derive(Debug)]
    pub enum MeshError {
        /// There is no connection.
        Dial {
            display("there is no connection")
        }
        /// The answer took too long.
        Late {
            display("the call was not answered in time")
        }
        /// The other side refused, or the connection broke.
        Refused(message: String) {
            display("the call failed: {message}")
        }
        /// A call or answer can't be read.
        Form(err: postcard::Error) {
            from()
            display("no binary form: {err}")
        }
    }
}

#[derive(Debug, Default)]
struct LinkState {
    channel: Option<Channel>,
    /// Grows with each channel, so that a late failure doesn't end its successor.
    generation: u64,
    dial_after: Option<Instant>,
}

/// One process and the connection to it.
///
/// A connection on which a call isn't answered in time is replaced, because a connection may go
/// silent for good while new ones work.
#[derive(Debug)]
struct MeshLink {
    address: SocketAddr,
    state: Mutex<LinkState>,
    posts: AtomicUsize,
}

impl MeshLink {
    fn state(&self) -> std::sync::MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn channel(&self) -> Result<(u64, Channel), MeshError> {
        {
            let state = self.state();
            if let Some(channel) = &state.channel {
                return Ok((state.generation, channel.clone()));
            }
            if state.dial_after.is_some_and(|after| Instant::now() < after) {
                return Err(MeshError::Dial);
            }
        }
        let dialled =
            future::timeout(dial::CONNECT_TIMEOUT, dial::connect_plain(self.address)).await;
        let mut state = self.state();
        let Ok(Ok(channel)) = dialled else {
            state.dial_after = Some(Instant::now() + DIAL_PAUSE);
            return Err(MeshError::Dial);
        };
        state.generation += 1;
        state.channel = Some(channel.clone());
        Ok((state.generation, channel))
    }

    fn leave(&self, generation: u64, error: &MeshError) {
        let mut state = self.state();
        if state.generation == generation && state.channel.take().is_some() {
            log::info!(target: "mesh", "connection left; peer={} error={error}", self.address);
        }
    }

    async fn call(&self, call: v1::MeshCall, limit: Duration) -> Result<Bytes, MeshError> {
        let (generation, channel) = self.channel().await?;
        let size = u64::try_from(call.payload.len()).unwrap_or(u64::MAX);
        let more = Duration::from_millis(size / BYTES_PER_MILLISECOND);
        let mut client = MeshClient::new(channel)
            .max_decoding_message_size(dial::MAX_SNAPSHOT_BYTES)
            .max_encoding_message_size(dial::MAX_SNAPSHOT_BYTES);
        let error = match future::timeout(limit + more, client.exchange(call)).await {
            Ok(Ok(answer)) => return Ok(answer.into_inner().payload),
            Ok(Err(status)) => MeshError::Refused(status.message().to_string()),
            Err(_) => MeshError::Late,
        };
        self.leave(generation, &error);
        Err(error)
    }
}

/// Links to all processes that this one calls.
#[derive(Debug, Clone)]
pub struct MeshLinks {
    own: ReplicaId,
    links: Arc<Mutex<HashMap<SocketAddr, Arc<MeshLink>>>>,
}

impl MeshLinks {
    /// Creates the links of a replica; an entry host has the number 0.
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
                posts: AtomicUsize::new(0),
            })
        });
        Arc::clone(link)
    }

    /// Calls a process and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails where there is no connection, or no answer in time.
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

    /// Sends a message that needs no answer; it may be lost.
    pub fn post(&self, address: SocketAddr, request: &MeshRequest) {
        let call = match self.encode(request) {
            Ok(call) => call,
            Err(e) => {
                log::error!(target: "mesh", "a message can't be sent: {e}");
                return;
            }
        };
        let link = self.link(address);
        if link.posts.fetch_add(1, Ordering::AcqRel) >= MAX_POSTS {
            link.posts.fetch_sub(1, Ordering::AcqRel);
            return;
        }
        task::spawn(async move {
            let _ = link.call(call, POST_TIMEOUT).await;
            link.posts.fetch_sub(1, Ordering::AcqRel);
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
