//! Open connections to each backend server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;

use crate::connection::BackendConnection;

/// Open connections to one backend server.
#[derive(Debug, Default)]
pub(crate) struct BackendPool {
    /// Connections without a request, the one that answered last at the end.
    idle: Mutex<Vec<BackendConnection>>,
    open: Arc<AtomicUsize>,
}

impl BackendPool {
    /// Takes the connection that answered last, if that was within a limit.
    pub(crate) fn take_idle(&self, now: Instant, limit: Duration) -> Option<BackendConnection> {
        let mut idle = self.lock();
        let last = idle.last()?.last_answer();
        if now.saturating_duration_since(last) > limit {
            return None;
        }
        idle.pop()
    }

    /// Gives back a connection after a whole answer.
    pub(crate) fn put_idle(&self, connection: BackendConnection) {
        self.lock().push(connection);
    }

    /// Takes the right to open a connection; at the bound, the oldest idle one makes room.
    pub(crate) fn permit(&self, bound: usize) -> Option<OpenPermit> {
        let permit = OpenPermit {
            open: self.open.clone(),
        };
        if self.open.fetch_add(1, Ordering::AcqRel) < bound {
            return Some(permit);
        }
        let mut idle = self.lock();
        if idle.is_empty() {
            return None;
        }
        idle.remove(0);
        Some(permit)
    }

    /// Closes the connections that are idle for longer than a limit.
    fn close_idle(&self, now: Instant, limit: Duration) {
        let fresh = |connection: &BackendConnection| {
            now.saturating_duration_since(connection.last_answer()) <= limit
        };
        self.lock().retain(fresh);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<BackendConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The right to hold one connection open.
#[derive(Debug)]
pub(crate) struct OpenPermit {
    open: Arc<AtomicUsize>,
}

impl Drop for OpenPermit {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Pools of all backend servers by address.
#[derive(Debug, Default)]
pub(crate) struct PoolMap {
    pools: ArcSwap<HashMap<SocketAddr, Arc<BackendPool>>>,
}

impl PoolMap {
    /// Returns the pool of a backend server.
    pub(crate) fn get(&self, address: SocketAddr) -> Arc<BackendPool> {
        if let Some(pool) = self.pools.load().get(&address) {
            return pool.clone();
        }
        self.pools.rcu(|pools| {
            let mut pools = HashMap::clone(pools);
            pools.entry(address).or_default();
            pools
        });
        let pools = self.pools.load();
        pools.get(&address).cloned().unwrap_or_default()
    }

    /// Closes connections that are idle for longer than a limit, and forgets pools without one.
    pub(crate) fn close_idle(&self, now: Instant, limit: Duration) {
        let pools = self.pools.load_full();
        for pool in pools.values() {
            pool.close_idle(now, limit);
        }
        let unused = |pool: &Arc<BackendPool>| pool.open.load(Ordering::Acquire) == 0;
        if pools.values().any(unused) {
            self.pools.rcu(|pools| {
                let mut pools = HashMap::clone(pools);
                pools.retain(|_, pool| !unused(pool));
                pools
            });
        }
    }

    /// Returns the number of open connections by address.
    pub(crate) fn open_counts(&self) -> Vec<(SocketAddr, usize)> {
        let pools = self.pools.load();
        pools
            .iter()
            .map(|(address, pool)| (*address, pool.open.load(Ordering::Relaxed)))
            .collect()
    }
}
