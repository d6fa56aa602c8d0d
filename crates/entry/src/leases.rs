//! Cap shares from the leading control replica.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::{self, Either};
use steer::ShareLease;
use wire::dial::{self, TokenChannel};
use wire::v1;
use wire::v1::shares_client::SharesClient;

use crate::context::EntryContext;
use crate::exchange::ExchangeError;
use crate::keepers;

/// Time between two requests for shares.
pub const LEASE_INTERVAL: Duration = Duration::from_millis(500);

/// Time in which a request for shares must be answered.
pub const LEASE_TIMEOUT: Duration = Duration::from_millis(600);

/// Asks for shares for as long as the process runs.
///
/// A replica that does not lead may name the one that does; one that doesn't answer is left for
/// the next.
pub async fn run(context: Arc<EntryContext>) {
    let mut source = LeaseSource {
        turn: 0,
        hint: None,
        channel: None,
    };
    loop {
        let granted = source.ask(&context).await;
        if let Err(error) = &granted {
            log::debug!(target: "leases", "{} gave no shares: {error}", source.address(&context));
        }
        if !matches!(granted, Ok(true)) {
            source.advance();
        }
        context.clock.sleep(LEASE_INTERVAL).await;
    }
}

/// The control replica that is asked.
struct LeaseSource {
    turn: usize,
    hint: Option<SocketAddr>,
    channel: Option<(SocketAddr, TokenChannel)>,
}

impl LeaseSource {
    fn address(&self, context: &EntryContext) -> SocketAddr {
        let controls = &context.settings.controls;
        self.hint.unwrap_or(controls[self.turn % controls.len()])
    }

    fn advance(&mut self) {
        if self.channel.is_none() {
            self.hint = None;
        }
        if self.hint.is_none() {
            self.turn += 1;
        }
    }

    /// Asks once; tells whether shares were granted.
    async fn ask(&mut self, context: &EntryContext) -> Result<bool, ExchangeError> {
        let sent = context.now();
        let address = self.address(context);
        let request = request(context, sent);
        let open = self.channel.take();
        let call = async {
            let channel = match open {
                Some((known, channel)) if known == address => channel,
                _ => dial::connect(address, &context.settings.token).await?,
            };
            let mut client = SharesClient::new(channel.clone());
            let reply = client.lease(request).await?.into_inner();
            Ok::<_, ExchangeError>((channel, reply))
        };
        let timer = std::pin::pin!(context.clock.sleep(LEASE_TIMEOUT));
        let (channel, reply) = match future::select(std::pin::pin!(call), timer).await {
            Either::Left((done, _)) => done?,
            Either::Right(_) => return Err(ExchangeError::Silent),
        };
        self.channel = Some((address, channel));
        self.hint = match reply.granted {
            true => Some(address),
            false => reply.leader_peers.parse().ok(),
        };
        if reply.granted {
            take(context, sent, &reply);
        }
        Ok(reply.granted)
    }
}

/// Reports demand and what is in force here.
fn request(context: &EntryContext, now: Instant) -> v1::LeaseRequest {
    let view = context.holder.view();
    let demand = context.steering.table().demand(now);
    v1::LeaseRequest {
        host: context.settings.name.clone(),
        revision: view.state.revision,
        digest: view.state.digest,
        open_keys: keepers::may_open(context),
        demand: demand
            .into_iter()
            .map(|place| v1::PlaceDemand {
                service: place.service,
                zone: place.zone,
                rate: place.rate,
            })
            .collect(),
    }
}

/// Takes granted shares; their time runs from the moment at which they were asked for.
fn take(context: &EntryContext, sent: Instant, reply: &v1::LeaseReply) {
    let now = context.now();
    let ttl = Duration::from_millis(reply.ttl_ms);
    let left = ttl.saturating_sub(now.saturating_duration_since(sent));
    let routes = context.steering.table();
    for share in &reply.shares {
        let grant = ShareLease {
            service: &share.service,
            zone: &share.zone,
            rate: share.rate,
            ttl: left,
            revision: reply.revision,
        };
        routes.apply_lease(now, &grant);
    }
}
