//! Idle connections by endpoint.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::conn::Conn;
use crate::{ClientLimits, Endpoint};

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

/// What the pool has for a request.
pub(crate) enum Taken {
    Conn(Conn),
    /// No connection that fulfils the condition.
    Nothing {
        /// Whether the peer has closed one of the endpoint's idle connections.
        is_any_closed: bool,
    },
}

/// Idle connections of each endpoint, the most recently used last.
#[derive(Default)]
struct IdleConnections {
    queues: HashMap<Endpoint, VecDeque<Idle>>,
    count: usize,
}

impl IdleConnections {
    /// Removes the least recently used connection of an endpoint.
    fn remove_oldest_of(&mut self, endpoint: Endpoint) {
        if let Some(queue) = self.queues.get_mut(&endpoint)
            && queue.pop_front().is_some()
        {
            self.count -= 1;
        }
    }

    /// Removes the least recently used connection.
    fn remove_oldest(&mut self) {
        let oldest = self
            .queues
            .iter()
            .filter_map(|(endpoint, queue)| Some((queue.front()?.since, *endpoint)))
            .min_by_key(|(since, _)| *since);
        if let Some((_, endpoint)) = oldest {
            self.remove_oldest_of(endpoint);
        }
    }

    fn recount(&mut self) {
        self.count = self.queues.values().map(VecDeque::len).sum();
    }
}

pub(crate) struct Pool {
    idle: Mutex<IdleConnections>,
    /// Most connections of an endpoint.
    most: usize,
    /// Most connections of all endpoints.
    most_in_all: usize,
    lifetime: Duration,
}

impl Pool {
    pub(crate) fn new(limits: &ClientLimits) -> Self {
        Self {
            idle: Mutex::default(),
            most: limits.idle,
            most_in_all: limits.idle_in_all,
            lifetime: limits.idle_life,
        }
    }

    /// Takes the most recently used connection that fulfils a condition. If none does, closes the least recently used one, so
    /// that requests that need connections of their own do not add idle ones.
    pub(crate) fn take(&self, endpoint: Endpoint, allows: impl Fn(&Conn) -> bool) -> Taken {
        let mut idle = self.lock();
        let Some(queue) = idle.queues.get_mut(&endpoint) else {
            return Taken::Nothing {
                is_any_closed: false,
            };
        };
        let position = queue
            .iter()
            .rposition(|entry| entry.is_fresh() && allows(&entry.conn));
        let entry = position.and_then(|position| queue.remove(position));
        let is_any_closed = queue.iter().any(|entry| entry.conn.is_closed());
        if let Some(entry) = entry {
            idle.count -= 1;
            Taken::Conn(entry.conn)
        } else {
            idle.remove_oldest_of(endpoint);
            Taken::Nothing { is_any_closed }
        }
    }

    pub(crate) fn put(&self, endpoint: Endpoint, conn: Conn) {
        if conn.carried.is_full() {
            return;
        }
        let since = Instant::now();
        let kept = conn.kept.map(|kept| kept * KEPT_PERCENT / 100);
        let lifetime = kept.map_or(self.lifetime, |kept| kept.min(self.lifetime));
        let mut idle = self.lock();
        let queue = idle.queues.entry(endpoint).or_default();
        queue.push_back(Idle {
            conn,
            since,
            lifetime,
        });
        let is_full = queue.len() > self.most;
        idle.count += 1;
        if is_full {
            idle.remove_oldest_of(endpoint);
        }
        if idle.count > self.most_in_all {
            idle.remove_oldest();
        }
    }

    pub(crate) fn remove(&self, address: SocketAddr) {
        let mut idle = self.lock();
        idle.queues
            .retain(|endpoint, _| endpoint.address != address);
        idle.recount();
    }

    pub(crate) fn prune(&self) {
        let mut idle = self.lock();
        for queue in idle.queues.values_mut() {
            queue.retain(Idle::is_fresh);
        }
        idle.queues.retain(|_, queue| !queue.is_empty());
        idle.recount();
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().count
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
