//! Idle connections by address.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::conn::Conn;

/// Part in percent of a target's own idle time-out for which a connection is kept. A request that
/// crosses the target's close may have run.
const KEPT_PERCENT: u32 = 60;

struct Idle {
    conn: Conn,
    since: Instant,
    lifetime: Duration,
}

impl Idle {
    fn is_fresh(&self) -> bool {
        self.since.elapsed() < self.lifetime
    }
}

/// Idle connections, the most recently used last.
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, VecDeque<Idle>>>,
    most: usize,
    lifetime: Duration,
}

impl Pool {
    pub(crate) fn new(most: usize, lifetime: Duration) -> Self {
        Self {
            idle: Mutex::default(),
            most,
            lifetime,
        }
    }

    pub(crate) fn take(&self, address: SocketAddr) -> Option<Conn> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = idle.get_mut(&address)?.pop_back()?;
        entry.is_fresh().then_some(entry.conn)
    }

    pub(crate) fn put(&self, address: SocketAddr, conn: Conn) {
        let since = Instant::now();
        let kept = conn.kept.map(|kept| kept * KEPT_PERCENT / 100);
        let lifetime = kept.map_or(self.lifetime, |kept| kept.min(self.lifetime));
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = idle.entry(address).or_default();
        if queue.len() >= self.most {
            queue.pop_front();
        }
        queue.push_back(Idle {
            conn,
            since,
            lifetime,
        });
    }

    pub(crate) fn remove(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&address);
    }

    pub(crate) fn prune(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for queue in idle.values_mut() {
            queue.retain(Idle::is_fresh);
        }
        idle.retain(|_, queue| !queue.is_empty());
    }

    pub(crate) fn len(&self) -> usize {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.values().map(VecDeque::len).sum()
    }
}
