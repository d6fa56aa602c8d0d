//! Periodic exchange of announcements and host status with the other entry hosts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_std::task::{self, JoinHandle};
use futures_util::future::{self, Either};
use model::ids;
use model::state;
use quick_error::quick_error;
use tonic::{Request, Response, Status};
use wire::dial::{self, TokenChannel};
use wire::v1;
use wire::v1::peer_client::PeerClient;

use crate::context::EntryContext;
use crate::convert;
use crate::peers::PeerStatus;

/// Pause between two exchanges with the same host, and between two checks for added and removed
/// hosts.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit of an exchange; after a timeout, the connection is replaced.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum number of announcements in one exchange.
pub const MAX_ANNOUNCEMENTS: usize = 20_000;

quick_error! {
    /// Error of a call to another process of the system.
    #[derive(Debug)]
    pub enum CallError {
        /// The connection could not be established.
        Connect(err: tonic::transport::Error) {
            from()
            source(err)
            display("connection failed: {err}")
        }
        /// The process rejected the call, or the connection broke.
        Status(err: Box<Status>) {
            display("call failed: {}", err.message())
        }
        /// No answer arrived in time, or the address of the process is unknown.
        NoAnswer {
            display("no answer in time, or address unknown")
        }
    }
}

impl From<Status> for CallError {
    fn from(status: Status) -> Self {
        Self::Status(Box::new(status))
    }
}

/// Exchanges with all other entry hosts in the current state, until the process ends.
///
/// Each host has its own task, so that a host that doesn't answer delays no other exchange.
pub async fn run(context: Arc<EntryContext>) {
    let mut tasks = ExchangeTasks::default();
    loop {
        let view = context.holder.view();
        context.peers().retain(&view.state);
        let hosts: HashMap<ids::HostName, SocketAddr> = state::live(&view.state.hosts)
            .filter(|(name, _)| *name != context.settings.name)
            .map(|(name, spec)| (name.to_string(), spec.peers))
            .collect();
        tasks.cancel_removed(&hosts).await;
        tasks.start_missing(&context, hosts);
        context.clock.sleep(EXCHANGE_INTERVAL).await;
    }
}

/// Exchange tasks by host, each with the address that it calls.
#[derive(Debug, Default)]
struct ExchangeTasks {
    running: HashMap<ids::HostName, (SocketAddr, JoinHandle<()>)>,
}

impl ExchangeTasks {
    /// Cancels the tasks of hosts that were removed or have a new address.
    async fn cancel_removed(&mut self, hosts: &HashMap<ids::HostName, SocketAddr>) {
        let removed_name = |(name, (address, _)): (&ids::HostName, &(SocketAddr, _))| {
            (hosts.get(name) != Some(address)).then(|| name.clone())
        };
        let removed: Vec<_> = self.running.iter().filter_map(removed_name).collect();
        for name in removed {
            if let Some((_, task)) = self.running.remove(&name) {
                task.cancel().await;
            }
        }
    }

    /// Starts a task for each host that has none.
    fn start_missing(
        &mut self,
        context: &Arc<EntryContext>,
        hosts: HashMap<ids::HostName, SocketAddr>,
    ) {
        for (name, address) in hosts {
            let start = || task::spawn(exchange_with(Arc::clone(context), address));
            let running = self.running.entry(name);
            running.or_insert_with(|| (address, start()));
        }
    }
}

/// Exchanges with one host in an endless loop; the connection is replaced after an error.
async fn exchange_with(context: Arc<EntryContext>, address: SocketAddr) {
    let mut channel = None;
    loop {
        match exchange_once(&context, address, &mut channel).await {
            Ok(()) => {
                context.exchanges.answered.fetch_add(1, Ordering::Relaxed);
            }
            Err(error) => {
                channel = None;
                context.exchanges.failed.fetch_add(1, Ordering::Relaxed);
                log::debug!(
                    target: "peers",
                    "exchange with entry host {address} failed, will retry: {error}"
                );
            }
        }
        context.clock.sleep(EXCHANGE_INTERVAL).await;
    }
}

/// Exchanges with a host once; `channel` keeps the connection if the exchange succeeds.
async fn exchange_once(
    context: &EntryContext,
    address: SocketAddr,
    channel: &mut Option<TokenChannel>,
) -> Result<(), CallError> {
    let call = async {
        let open = match channel.take() {
            Some(open) => open,
            None => dial::connect(address, &context.settings.token).await?,
        };
        let mut client =
            PeerClient::new(open.clone()).max_decoding_message_size(dial::MAX_MESSAGE_BYTES);
        let reply = client.exchange(own_message(context)).await?.into_inner();
        *channel = Some(open);
        Ok::<_, CallError>(reply)
    };
    let timer = std::pin::pin!(context.clock.sleep(EXCHANGE_TIMEOUT));
    let reply = match future::select(std::pin::pin!(call), timer).await {
        Either::Left((reply, _)) => reply?,
        Either::Right(_) => return Err(CallError::NoAnswer),
    };
    let status = PeerStatus {
        host: reply.host,
        incarnation: reply.incarnation,
        closed: reply.closed,
    };
    apply_message(context, status, reply.announcements);
    Ok(())
}

/// Answers an exchange that another host started.
///
/// # Errors
///
/// Fails if the request has more than [`MAX_ANNOUNCEMENTS`] announcements.
pub fn handle_request(
    context: &EntryContext,
    request: Request<v1::ExchangeRequest>,
) -> Result<Response<v1::ExchangeReply>, Status> {
    let request = request.into_inner();
    if request.announcements.len() > MAX_ANNOUNCEMENTS {
        return Err(Status::invalid_argument(format!(
            "announcements: {} is not allowed: at most {MAX_ANNOUNCEMENTS}",
            request.announcements.len()
        )));
    }
    let status = PeerStatus {
        host: request.host,
        incarnation: request.incarnation,
        closed: request.closed,
    };
    apply_message(context, status, request.announcements);
    let own = own_message(context);
    Ok(Response::new(v1::ExchangeReply {
        host: own.host,
        incarnation: own.incarnation,
        closed: own.closed,
        beat: own.beat,
        announcements: own.announcements,
    }))
}

/// Returns the status of this host and the announcements that it knows.
fn own_message(context: &EntryContext) -> v1::ExchangeRequest {
    let announcements = context.registry.export(context.now());
    v1::ExchangeRequest {
        host: context.settings.name.clone(),
        incarnation: context.incarnation,
        closed: !context.standing().is_open(),
        beat: convert::encode_heartbeat(&context.holder.view()),
        announcements: announcements
            .into_iter()
            .map(convert::encode_announcement)
            .collect(),
    }
}

/// Applies the status and the announcements of another host.
///
/// The status of a host that isn't in the current state is ignored; its announcements are not.
fn apply_message(context: &EntryContext, status: PeerStatus, announcements: Vec<v1::Announcement>) {
    let now = context.now();
    if is_in_state(context, &status.host) {
        context.peers().record(now, status);
    }
    let shared = announcements
        .into_iter()
        .filter_map(convert::decode_announcement);
    context.registry.merge(now, shared.collect());
}

/// Returns whether the current state has an entry host of a name.
fn is_in_state(context: &EntryContext, host: &str) -> bool {
    let view = context.holder.view();
    let entry = view.state.hosts.get(host);
    entry.is_some_and(|entry| entry.spec.is_some())
}
