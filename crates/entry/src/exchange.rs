//! Exchange of announcements and standing with the other entry hosts.

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
use crate::peers::PeerWord;

/// Time between two exchanges with the same host.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Time in which an exchange must be answered; then its connection is replaced.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(600);

/// Most announcements that are taken from one exchange.
pub const MAX_ANNOUNCEMENTS: usize = 20_000;

quick_error! {
    /// Why an exchange brought nothing.
    #[derive(Debug)]
    pub enum ExchangeError {
        /// The host can't be reached.
        Dial(err: tonic::transport::Error) {
            from()
            source(err)
            display("it can't be reached: {err}")
        }
        /// The host refused or broke off.
        Status(err: Box<Status>) {
            display("it refused: {}", err.message())
        }
        /// No answer came in time.
        Silent {
            display("no answer came in time")
        }
    }
}

impl From<Status> for ExchangeError {
    fn from(status: Status) -> Self {
        Self::Status(Box::new(status))
    }
}

/// Exchanges with every other entry host in force, for as long as the process runs.
///
/// Each host has a task of its own, so that one that went silent holds up no other.
pub async fn run(context: Arc<EntryContext>) {
    let mut tasks = ExchangeTasks::default();
    loop {
        let view = context.holder.view();
        context.peers().retain(&view.state);
        let wanted: HashMap<ids::HostName, SocketAddr> = state::live(&view.state.hosts)
            .filter(|(name, _)| *name != context.settings.name)
            .map(|(name, spec)| (name.to_string(), spec.peers))
            .collect();
        tasks.end_unwanted(&wanted).await;
        tasks.start_missing(&context, wanted);
        context.clock.sleep(EXCHANGE_INTERVAL).await;
    }
}

/// The running exchanges, by host.
#[derive(Debug, Default)]
struct ExchangeTasks {
    running: HashMap<ids::HostName, (SocketAddr, JoinHandle<()>)>,
}

impl ExchangeTasks {
    /// Ends the exchanges with hosts that left or moved.
    async fn end_unwanted(&mut self, wanted: &HashMap<ids::HostName, SocketAddr>) {
        let is_unwanted = |(name, (address, _)): (&ids::HostName, &(SocketAddr, _))| {
            (wanted.get(name) != Some(address)).then(|| name.clone())
        };
        let ended: Vec<_> = self.running.iter().filter_map(is_unwanted).collect();
        for name in ended {
            if let Some((_, task)) = self.running.remove(&name) {
                task.cancel().await;
            }
        }
    }

    fn start_missing(
        &mut self,
        context: &Arc<EntryContext>,
        wanted: HashMap<ids::HostName, SocketAddr>,
    ) {
        for (name, address) in wanted {
            let start = || task::spawn(exchange_with(Arc::clone(context), address));
            let running = self.running.entry(name);
            running.or_insert_with(|| (address, start()));
        }
    }
}

/// Exchanges with one host over one connection at a time.
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
                log::debug!(target: "peers", "exchange with {address} failed: {error}");
            }
        }
        context.clock.sleep(EXCHANGE_INTERVAL).await;
    }
}

async fn exchange_once(
    context: &EntryContext,
    address: SocketAddr,
    channel: &mut Option<TokenChannel>,
) -> Result<(), ExchangeError> {
    let call = async {
        let open = match channel.take() {
            Some(open) => open,
            None => dial::connect(address, &context.settings.token).await?,
        };
        let mut client =
            PeerClient::new(open.clone()).max_decoding_message_size(dial::MAX_MESSAGE_BYTES);
        let reply = client.exchange(own_word(context)).await?.into_inner();
        *channel = Some(open);
        Ok::<_, ExchangeError>(reply)
    };
    let timer = std::pin::pin!(context.clock.sleep(EXCHANGE_TIMEOUT));
    let reply = match future::select(std::pin::pin!(call), timer).await {
        Either::Left((reply, _)) => reply?,
        Either::Right(_) => return Err(ExchangeError::Silent),
    };
    let word = PeerWord {
        host: reply.host,
        incarnation: reply.incarnation,
        closed: reply.closed,
    };
    hear(context, word, reply.announcements);
    Ok(())
}

/// Answers an exchange that another host began.
///
/// # Errors
///
/// Refuses a host that sends more announcements than [`MAX_ANNOUNCEMENTS`].
pub fn answer(
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
    let word = PeerWord {
        host: request.host,
        incarnation: request.incarnation,
        closed: request.closed,
    };
    hear(context, word, request.announcements);
    let own = own_word(context);
    Ok(Response::new(v1::ExchangeReply {
        host: own.host,
        incarnation: own.incarnation,
        closed: own.closed,
        beat: own.beat,
        announcements: own.announcements,
    }))
}

/// Returns what this host says of itself.
fn own_word(context: &EntryContext) -> v1::ExchangeRequest {
    let announcements = context.registry.export(context.now());
    v1::ExchangeRequest {
        host: context.settings.name.clone(),
        incarnation: context.incarnation,
        closed: !context.standing().is_open(),
        beat: convert::beat(&context.holder.view()),
        announcements: announcements.into_iter().map(convert::to_wire).collect(),
    }
}

/// Takes what another host said.
fn hear(context: &EntryContext, word: PeerWord, announcements: Vec<v1::Announcement>) {
    let now = context.now();
    if is_known(context, &word.host) {
        context.peers().hear(now, word);
    }
    let shared = announcements.into_iter().filter_map(convert::from_wire);
    context.registry.merge(now, shared.collect());
}

fn is_known(context: &EntryContext, host: &str) -> bool {
    let view = context.holder.view();
    let held = view.state.hosts.get(host);
    held.is_some_and(|held| held.spec.is_some())
}
