//! gRPC service that grants cap shares to entry hosts.

use model::ids as names;
use tonic::{Request, Response, Status};
use wire::dial;
use wire::v1;
use wire::v1::shares_server::{Shares, SharesServer};

use crate::call::{CoreCall, CoreHandle, HostReport};
use crate::peers::PeerLinks;
use crate::shares::{PlaceRates, ShareTable};

/// Receives the reports of entry hosts and grants them cap shares, where this replica leads.
#[derive(Debug)]
pub struct SharesService {
    core: CoreHandle,
    peers: PeerLinks,
}

impl SharesService {
    /// Most places in the report of an entry host.
    pub const MAX_PLACES: usize = 10_000;

    /// Creates the service.
    pub fn new(core: CoreHandle, peers: PeerLinks) -> Self {
        Self { core, peers }
    }

    /// Returns the gRPC server of the service.
    pub fn into_server(self) -> SharesServer<Self> {
        SharesServer::new(self).max_decoding_message_size(dial::MAX_MESSAGE_BYTES)
    }

    /// Returns the peer address of the leader, or an empty text where the leader isn't known.
    async fn leader_address(&self) -> String {
        let status = self.core.ask(CoreCall::Status).await;
        let leader = status.and_then(|status| status.leader);
        let address = leader.and_then(|leader| self.peers.address(leader));
        address
            .map(|address| address.to_string())
            .unwrap_or_default()
    }
}

#[tonic::async_trait]
impl Shares for SharesService {
    async fn lease(
        &self,
        request: Request<v1::LeaseRequest>,
    ) -> Result<Response<v1::LeaseReply>, Status> {
        let report = read_report(request.into_inner())?;
        let call = |reply| CoreCall::Lease { report, reply };
        let Some(grant) = self.core.ask(call).await else {
            return Err(Status::unavailable("the replica is stopping"));
        };
        let ttl_ms = u64::try_from(ShareTable::TTL.as_millis()).unwrap_or(u64::MAX);
        let reply = match grant {
            Some(grant) => v1::LeaseReply {
                granted: true,
                leader_peers: String::new(),
                ttl_ms,
                revision: grant.revision,
                shares: write_shares(grant.shares),
            },
            None => v1::LeaseReply {
                leader_peers: self.leader_address().await,
                ..v1::LeaseReply::default()
            },
        };
        Ok(Response::new(reply))
    }
}

/// Checks a request and converts it to a report.
fn read_report(request: v1::LeaseRequest) -> Result<HostReport, Status> {
    if !names::is_name(&request.host) {
        return Err(Status::invalid_argument("host is no name"));
    }
    if request.demand.len() > SharesService::MAX_PLACES {
        return Err(Status::invalid_argument("too many places"));
    }
    let demand: PlaceRates = request
        .demand
        .into_iter()
        .map(|place| ((place.service, place.zone), place.rate))
        .collect();
    Ok(HostReport {
        host: request.host,
        revision: request.revision,
        digest: request.digest,
        demand,
        open_keys: request.open_keys,
    })
}

fn write_shares(shares: PlaceRates) -> Vec<v1::PlaceShare> {
    shares
        .into_iter()
        .map(|((service, zone), rate)| v1::PlaceShare {
            service,
            zone,
            rate,
        })
        .collect()
}
