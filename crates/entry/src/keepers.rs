//! Claim records that this host keeps, and the keepers of all idempotency keys.

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
use crate::exchange::CallError;

/// Pause between two attempts to recover claim records from the other hosts after a start.
pub const RECOVER_INTERVAL: Duration = Duration::from_millis(250);

/// Time limit of a call that fetches claim records or host lists from another host.
pub const RECOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time that a host that accepts requests may lag behind the current list of entry hosts.
pub const MAX_LIST_LAG: Duration = Duration::from_secs(30);

/// Claim records that this host keeps, and the keepers of all idempotency keys.
#[derive(Debug)]
pub struct HostKeepers {
    keeper: Mutex<ClaimKeeper>,
    selector: Mutex<KeeperSelector>,
    /// Addresses for calls between processes, of all hosts that may keep keys.
    addresses: Mutex<HashMap<ids::HostName, SocketAddr>>,
}

impl HostKeepers {
    /// Creates the keepers of a host that starts, without records and without other hosts.
    pub fn new(now: Instant) -> Self {
        let limits = KeeperLimits::default();
        Self {
            keeper: Mutex::new(ClaimKeeper::new(now, limits)),
            selector: Mutex::new(KeeperSelector::new(
                now,
                [],
                limits.retention + MAX_LIST_LAG,
            )),
            addresses: Mutex::default(),
        }
    }

    /// Returns the claim records that this host keeps.
    pub fn keeper(&self) -> MutexGuard<'_, ClaimKeeper> {
        self.keeper.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the groups of keepers of a key, or `None` while the former host lists aren't known.
    pub fn groups(&self, now: Instant, key: &ClaimKey) -> Option<Vec<KeeperGroup>> {
        self.selector().groups(now, key)
    }

    /// Returns the current and the former host lists, or `None` while the former ones aren't known.
    pub fn lists(&self, now: Instant) -> Option<Vec<HostList>> {
        self.selector().lists(now)
    }

    /// Ends the recovery of claim records and host lists without any.
    ///
    /// The caller must know, confirmed by the control replicas, that no key was granted before.
    pub fn skip_recovery(&self) {
        self.selector().skip_recovery();
        self.keeper().skip_recovery();
    }

    /// Returns the address for calls to another host, or `None` if the host can't keep any keys.
    pub fn address(&self, host: &str) -> Option<SocketAddr> {
        self.addresses().get(host).copied()
    }

    /// Applies the entry hosts of the current state.
    pub fn set_state(&self, now: Instant, current: &ForceState) {
        let hosts = state::live(&current.hosts).map(|(name, _)| name.to_string());
        self.selector().set_hosts(now, hosts);
        // A removed host may keep keys until the former host lists expire; its address is kept as
        // long.
        let keepers = self.selector().hosts(now);
        let mut addresses = self.addresses();
        addresses.retain(|name, _| keepers.contains(name));
        let live = state::live(&current.hosts);
        addresses.extend(live.map(|(name, spec)| (name.to_string(), spec.peers)));
    }

    /// Returns all hosts that may keep keys, except this one.
    fn other_hosts(&self, now: Instant, own: &str) -> BTreeSet<ids::HostName> {
        let mut hosts = self.selector().hosts(now);
        hosts.remove(own);
        hosts
    }

    fn selector(&self) -> MutexGuard<'_, KeeperSelector> {
        self.selector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn addresses(&self) -> MutexGuard<'_, HashMap<ids::HostName, SocketAddr>> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether this host has completed its recovery while no key has been granted anywhere yet.
///
/// The leading control replica allows the first claims after a host has reported this in a lease
/// request.
pub fn can_open_keys(context: &EntryContext) -> bool {
    let now = context.now();
    let recovered = !context.keepers.keeper().is_recovering(now);
    recovered && context.holder.view().keys_opened() == Some(false)
}

/// Recovers the claim records of the other hosts after a start, and returns when it has them all.
pub async fn run_recovery(context: Arc<EntryContext>) {
    loop {
        let now = context.now();
        if !context.keepers.keeper().is_recovering(now) {
            log::info!(target: "keys", "recovery of claim records complete");
            return;
        }
        let view = context.holder.view();
        if view.confirmed && view.keys_opened() == Some(false) {
            // No key was granted anywhere before the heartbeat, so there are no records to recover.
            context.keepers.skip_recovery();
        } else if view.confirmed {
            recover_once(&context, now).await;
        }
        context.clock.sleep(RECOVER_INTERVAL).await;
    }
}

/// Fetches the records of the hosts that are still missing, after the host lists.
async fn recover_once(context: &EntryContext, now: Instant) {
    if !context.keepers.selector().is_known(now) {
        fetch_lists(context, now).await;
        return;
    }
    let other_hosts = context.keepers.other_hosts(now, &context.settings.name);
    let sources = context.keepers.keeper().recovery_sources(now, &other_hosts);
    for host in sources {
        match request_records(context, &host).await {
            Ok(records) => {
                let now = context.now();
                let mut keeper = context.keepers.keeper();
                keeper.recover(now, host, records, &other_hosts);
            }
            Err(error) => log::debug!(
                target: "keys",
                "claim records not fetched from {host}, will retry: {error}"
            ),
        }
    }
}

/// Fetches the former host lists from the first other host that knows them.
async fn fetch_lists(context: &EntryContext, now: Instant) {
    for host in context.keepers.other_hosts(now, &context.settings.name) {
        match request_lists(context, &host).await {
            Ok(Some(lists)) => {
                context.keepers.selector().add_lists(context.now(), lists);
                return;
            }
            Ok(None) => (),
            Err(error) => log::debug!(
                target: "keys",
                "host lists not fetched from {host}, trying the next host: {error}"
            ),
        }
    }
}

/// Requests the host lists of another host; the result is `None` if the host doesn't know them.
async fn request_lists(
    context: &EntryContext,
    host: &str,
) -> Result<Option<Vec<HostList>>, CallError> {
    let call = |channel| async move {
        let request = v1::KeeperListsRequest {};
        let reply = PeerClient::new(channel).keeper_lists(request).await?;
        Ok::<_, CallError>(reply.into_inner())
    };
    let reply = call_host(context, host, call).await?;
    let lists = reply.lists.into_iter().map(claim_wire::decode_list);
    Ok(reply.known.then(|| lists.collect()))
}

/// Calls another host over a cached connection, which is discarded if the call fails.
async fn call_host<T, F>(
    context: &EntryContext,
    host: &str,
    call: impl FnOnce(TokenChannel) -> F,
) -> Result<T, CallError>
where
    F: Future<Output = Result<T, CallError>>,
{
    let Some(address) = context.keepers.address(host) else {
        return Err(CallError::NoAnswer);
    };
    let work = async { call(context.channels.channel(address).await?).await };
    let result = match tokio::time::timeout(RECOVER_TIMEOUT, work).await {
        Ok(result) => result,
        Err(_) => Err(CallError::NoAnswer),
    };
    if result.is_err() {
        context.channels.discard(address);
    }
    result
}

/// Requests the claim records of another host.
async fn request_records(
    context: &EntryContext,
    host: &str,
) -> Result<Vec<ClaimRecord>, CallError> {
    let call = |channel| async move {
        let mut client =
            PeerClient::new(channel).max_decoding_message_size(dial::MAX_MESSAGE_BYTES);
        let request = v1::RecoverRequest {
            host: context.settings.name.clone(),
        };
        let records = client.recover(request).await?.into_inner();
        let records: Vec<v1::ClaimRecord> = records.try_collect().await?;
        Ok::<_, CallError>(records)
    };
    let records = call_host(context, host, call).await?.into_iter();
    let records = records.map(claim_wire::decode_record);
    Ok(records.collect::<Result<Vec<_>, Status>>()?)
}
