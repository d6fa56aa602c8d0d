//! The keys that this host keeps, and which hosts keep the others.

use std::collections::{BTreeSet, HashMap};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use claims::keeper::{ClaimKeeper, KeeperLimits};
use claims::record::{ClaimKey, ClaimRecord};
use claims::selector::{HostList, KeeperGroup, KeeperSelector};
use futures_util::stream::TryStreamExt;
use model::ids;
use model::state::{self, ForceState};
use tonic::Status;
use wire::dial::{self, TokenChannel};
use wire::v1;
use wire::v1::peer_client::PeerClient;

use crate::claim_wire;
use crate::context::EntryContext;
use crate::exchange::ExchangeError;

/// Time between two looks whether records of other hosts are still wanted.
pub const RECOVER_INTERVAL: Duration = Duration::from_millis(250);

/// Time in which another host must have given its records.
pub const RECOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time that a host may lag behind the list of entry hosts and still take work.
pub const LIST_LAG: Duration = Duration::from_secs(30);

/// The keys that this host keeps, and which hosts keep the others.
#[derive(Debug)]
pub struct HostKeepers {
    keeper: Mutex<ClaimKeeper>,
    ring: Mutex<KeeperSelector>,
    addresses: Mutex<HashMap<ids::HostName, SocketAddr>>,
}

impl HostKeepers {
    /// Creates the keepers of a host that starts: it knows no keys and no other hosts yet.
    pub fn new(now: Instant) -> Self {
        let limits = KeeperLimits::default();
        Self {
            keeper: Mutex::new(ClaimKeeper::new(now, limits)),
            ring: Mutex::new(KeeperSelector::new(now, [], limits.retention + LIST_LAG)),
            addresses: Mutex::default(),
        }
    }

    /// Returns the table of the keys that this host keeps.
    pub fn keeper(&self) -> MutexGuard<'_, ClaimKeeper> {
        self.keeper.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the groups of hosts that keep a key; nothing while they aren't known.
    pub fn groups(&self, now: Instant, key: &ClaimKey) -> Option<Vec<KeeperGroup>> {
        self.ring().groups(now, key)
    }

    /// Returns the lists of hosts that may keep keys; nothing while they aren't known.
    pub fn lists(&self, now: Instant) -> Option<Vec<HostList>> {
        self.ring().lists(now)
    }

    /// Notes that no key was granted anywhere before, so that none can be forgotten here.
    pub fn start_empty(&self) {
        self.ring().skip_recovery();
        self.keeper().skip_recovery();
    }

    /// Returns where another host takes calls.
    pub fn address(&self, host: &str) -> Option<SocketAddr> {
        self.addresses().get(host).copied()
    }

    /// Takes the entry hosts that are in force.
    pub fn set_state(&self, now: Instant, force: &ForceState) {
        let hosts = state::live(&force.hosts).map(|(name, _)| name.to_string());
        self.ring().set_hosts(now, hosts);
        // The address of a host that left stays known for as long as it may keep keys.
        let kept = self.ring().hosts(now);
        let mut addresses = self.addresses();
        addresses.retain(|name, _| kept.contains(name));
        let listed = state::live(&force.hosts);
        addresses.extend(listed.map(|(name, spec)| (name.to_string(), spec.peers)));
    }

    fn others(&self, now: Instant, own: &str) -> BTreeSet<ids::HostName> {
        let mut hosts = self.ring().hosts(now);
        hosts.remove(own);
        hosts
    }

    fn ring(&self) -> MutexGuard<'_, KeeperSelector> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn addresses(&self) -> MutexGuard<'_, HashMap<ids::HostName, SocketAddr>> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells whether this host could keep keys, and none has been granted anywhere yet.
pub fn may_open(context: &EntryContext) -> bool {
    let now = context.now();
    let whole = !context.keepers.keeper().is_recovering(now);
    whole && context.holder.view().keys_opened() == Some(false)
}

/// Gets the records of the other hosts after a start, until it has those of all.
pub async fn recover(context: Arc<EntryContext>) {
    loop {
        let now = context.now();
        if !context.keepers.keeper().is_recovering(now) {
            log::info!(target: "keys", "the records of keys are whole");
            return;
        }
        let view = context.holder.view();
        if view.confirmed && view.keys_opened() == Some(false) {
            // No key was granted anywhere before the stamp, so none can be forgotten here.
            context.keepers.start_empty();
        } else if view.confirmed {
            recover_once(&context, now).await;
        }
        context.clock.sleep(RECOVER_INTERVAL).await;
    }
}

async fn recover_once(context: &EntryContext, now: Instant) {
    if !context.keepers.ring().is_known(now) {
        learn_lists(context, now).await;
        return;
    }
    let others = context.keepers.others(now, &context.settings.name);
    let wanted = context.keepers.keeper().recovery_sources(now, &others);
    for host in wanted {
        match fetch(context, &host).await {
            Ok(records) => {
                let now = context.now();
                let mut keeper = context.keepers.keeper();
                keeper.recover(now, host, records, &others);
            }
            Err(error) => log::debug!(target: "keys", "no records from {host}: {error}"),
        }
    }
}

/// Learns from any other host which lists of entry hosts still count.
async fn learn_lists(context: &EntryContext, now: Instant) {
    for host in context.keepers.others(now, &context.settings.name) {
        match fetch_lists(context, &host).await {
            Ok(Some(lists)) => {
                context.keepers.ring().add_lists(context.now(), lists);
                return;
            }
            Ok(None) => (),
            Err(error) => log::debug!(target: "keys", "no lists from {host}: {error}"),
        }
    }
}

async fn fetch_lists(
    context: &EntryContext,
    host: &str,
) -> Result<Option<Vec<HostList>>, ExchangeError> {
    let call = |channel| async move {
        let request = v1::KeeperListsRequest {};
        let reply = PeerClient::new(channel).keeper_lists(request).await?;
        Ok::<_, ExchangeError>(reply.into_inner())
    };
    let reply = call_host(context, host, call).await?;
    let lists = reply.lists.into_iter().map(claim_wire::list_from);
    Ok(reply.known.then(|| lists.collect()))
}

/// Calls another host over an open connection, which is forgotten where the call fails.
async fn call_host<T, F>(
    context: &EntryContext,
    host: &str,
    call: impl FnOnce(TokenChannel) -> F,
) -> Result<T, ExchangeError>
where
    F: Future<Output = Result<T, ExchangeError>>,
{
    let Some(address) = context.keepers.address(host) else {
        return Err(ExchangeError::Silent);
    };
    let work = async { call(context.links.channel(address).await?).await };
    let result = match tokio::time::timeout(RECOVER_TIMEOUT, work).await {
        Ok(result) => result,
        Err(_) => Err(ExchangeError::Silent),
    };
    if result.is_err() {
        context.links.forget(address);
    }
    result
}

async fn fetch(context: &EntryContext, host: &str) -> Result<Vec<ClaimRecord>, ExchangeError> {
    let call = |channel| async move {
        let mut client =
            PeerClient::new(channel).max_decoding_message_size(dial::MAX_MESSAGE_BYTES);
        let request = v1::RecoverRequest {
            host: context.settings.name.clone(),
        };
        let records = client.recover(request).await?.into_inner();
        let records: Vec<v1::ClaimRecord> = records.try_collect().await?;
        Ok::<_, ExchangeError>(records)
    };
    let records = call_host(context, host, call).await?.into_iter();
    let records = records.map(claim_wire::record_from);
    Ok(records.collect::<Result<Vec<_>, Status>>()?)
}
