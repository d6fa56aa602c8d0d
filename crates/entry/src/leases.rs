//! Leases of cap shares from the leading control replica.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::{self, Either};
use steer::ShareLease;
use wire::dial::{self, TokenChannel};
use wire::v1;
use wire::v1::shares_client::SharesClient;

use crate::context::EntryContext;
use crate::exchange::CallError;
use crate::keepers;

/// Pause between two lease requests.
pub const LEASE_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit of a lease request.
pub const LEASE_TIMEOUT: Duration = Duration::from_millis(600);

/// Requests cap shares until the process ends.
///
/// A replica that is not the leader may return the address of the leader, which is asked next. If a
/// replica doesn't answer, the next one in the settings is asked.
pub async fn run(context: Arc<EntryContext>) {
    let mut source = LeaseSource {
        index: 0,
        leader: None,
        channel: None,
    };
    loop {
        let granted = source.request_lease(&context).await;
        if let Err(error) = &granted {
            log::debug!(
                target: "leases",
                "lease request to control replica {} failed, will retry: {error}",
                source.address(&context)
            );
        }
        if !matches!(granted, Ok(true)) {
            source.advance();
        }
        context.clock.sleep(LEASE_INTERVAL).await;
    }
}

/// Control replica to which the next lease request goes.
struct LeaseSource {
    /// Number of the replica in the settings, modulo their count; used while the leader is unknown.
    index: usize,
    /// Address of the leader, if known.
    leader: Option<SocketAddr>,
    /// Open connection, with its address; `None` after a failed request.
    channel: Option<(SocketAddr, TokenChannel)>,
}

impl LeaseSource {
    fn address(&self, context: &EntryContext) -> SocketAddr {
        let controls = &context.settings.controls;
        self.leader.unwrap_or(controls[self.index % controls.len()])
    }

    /// Moves on to another replica after a request without a grant: the leader if the replica named
    /// it, else the next one.
    fn advance(&mut self) {
        if self.channel.is_none() {
            self.leader = None;
        }
        if self.leader.is_none() {
            self.index += 1;
        }
    }

    /// Requests a lease once, applies the granted shares and returns whether they were granted.
    async fn request_lease(&mut self, context: &EntryContext) -> Result<bool, CallError> {
        let sent = context.now();
        let address = self.address(context);
        let request = new_request(context, sent);
        let open = self.channel.take();
        let call = async {
            let channel = match open {
                Some((known, channel)) if known == address => channel,
                _ => dial::connect(address, &context.settings.token).await?,
            };
            let mut client = SharesClient::new(channel.clone());
            let reply = client.lease(request).await?.into_inner();
            Ok::<_, CallError>((channel, reply))
        };
        let timer = std::pin::pin!(context.clock.sleep(LEASE_TIMEOUT));
        let (channel, reply) = match future::select(std::pin::pin!(call), timer).await {
            Either::Left((done, _)) => done?,
            Either::Right(_) => return Err(CallError::NoAnswer),
        };
        self.channel = Some((address, channel));
        self.leader = match reply.granted {
            true => Some(address),
            false => reply.leader_peers.parse().ok(),
        };
        if reply.granted {
            apply_shares(context, sent, &reply);
        }
        Ok(reply.granted)
    }
}

/// Creates a lease request with the demand on this host and the revision of its state.
fn new_request(context: &EntryContext, now: Instant) -> v1::LeaseRequest {
    let view = context.holder.view();
    let demand = context.steering.table().demand(now);
    v1::LeaseRequest {
        host: context.settings.name.clone(),
        revision: view.state.revision,
        digest: view.state.digest,
        open_keys: keepers::can_open_keys(context),
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

/// Applies granted shares; their time to live is counted from the time of the request.
fn apply_shares(context: &EntryContext, sent: Instant, reply: &v1::LeaseReply) {
    let now = context.now();
    let ttl = Duration::from_millis(reply.ttl_ms);
    let remaining = ttl.saturating_sub(now.saturating_duration_since(sent));
    let routes = context.steering.table();
    for share in &reply.shares {
        let grant = ShareLease {
            service: &share.service,
            zone: &share.zone,
            rate: share.rate,
            ttl: remaining,
            revision: reply.revision,
        };
        routes.apply_lease(now, &grant);
    }
}
