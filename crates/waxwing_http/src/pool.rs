//! Idle connections by address.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::conn::Conn;

struct Idle {
    conn: Conn,
    since: Instant,
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
        (entry.since.elapsed() < self.lifetime).then_some(entry.conn)
    }

    pub(crate) fn put(&self, address: SocketAddr, conn: Conn) {
        let since = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = idle.entry(address).or_default();
        if queue.len() >= self.most {
            queue.pop_front();
        }
        queue.push_back(Idle { conn, since });
    }

    pub(crate) fn prune(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for queue in idle.values_mut() {
            queue.retain(|entry| entry.since.elapsed() < self.lifetime);
        }
        idle.retain(|_, queue| !queue.is_empty());
    }

    pub(crate) fn len(&self) -> usize {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.values().map(VecDeque::len).sum()
    }
}
