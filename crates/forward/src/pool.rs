//! Pools of open connections to backend servers.

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
    /// Connections without a request, ordered by their last response, the most recent one last.
    idle: Mutex<Vec<BackendConnection>>,
    /// Number of open connections, idle or in use.
    open: Arc<AtomicUsize>,
}

impl BackendPool {
    /// Takes the most recently used idle connection. Returns `None` if there is none or its last
    /// response is older than `max_idle`.
    pub(crate) fn take_idle(&self, now: Instant, max_idle: Duration) -> Option<BackendConnection> {
        let mut idle = self.lock();
        let last = idle.last()?.last_response_at();
        if now.saturating_duration_since(last) > max_idle {
            return None;
        }
        idle.pop()
    }

    /// Returns a connection to the pool after a complete response.
    pub(crate) fn return_idle(&self, connection: BackendConnection) {
        self.lock().push(connection);
    }

    /// Reserves a connection to be opened. If `max_connections` are open, the oldest idle
    /// connection is closed instead; returns `None` if none is idle.
    pub(crate) fn try_reserve(&self, max_connections: usize) -> Option<ConnectionPermit> {
        let permit = ConnectionPermit {
            open: self.open.clone(),
        };
        if self.open.fetch_add(1, Ordering::AcqRel) < max_connections {
            return Some(permit);
        }
        let mut idle = self.lock();
        if idle.is_empty() {
            return None;
        }
        idle.remove(0);
        Some(permit)
    }

    /// Closes the connections that have been idle for longer than `max_idle`.
    fn close_idle_connections(&self, now: Instant, max_idle: Duration) {
        let is_recent = |connection: &BackendConnection| {
            now.saturating_duration_since(connection.last_response_at()) <= max_idle
        };
        self.lock().retain(is_recent);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<BackendConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One unit in the number of open connections of a pool; dropping the permit frees it.
#[derive(Debug)]
pub(crate) struct ConnectionPermit {
    open: Arc<AtomicUsize>,
}

impl Drop for ConnectionPermit {
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
    /// Returns the pool of a backend server, which is created if there is none.
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

    /// Closes the connections that have been idle for longer than `max_idle`, and removes the
    /// pools without an open connection.
    pub(crate) fn close_idle_connections(&self, now: Instant, max_idle: Duration) {
        let pools = self.pools.load_full();
        for pool in pools.values() {
            pool.close_idle_connections(now, max_idle);
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
