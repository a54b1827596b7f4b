//! Bounds of the memory that requests and responses may hold at a time, over the whole process.
//!
//! Each open connection and each running request holds a limited amount. Bodies beyond [`SMALL_BODY_BYTES`] are buffered only
//! within a common budget; without room in it they are passed on while they arrive. So faulty targets and slow callers
//! cannot fill the memory of the VM, however many there are.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use waxwing_http::MAX_IDS_BYTES;

/// Bytes of a body that are buffered without room in the budget.
pub(crate) const SMALL_BODY_BYTES: usize = 8 * 1024;
/// Most bytes that one read of a connection returns, the buffer of the HTTP library.
pub(crate) const MAX_FRAME_BYTES: usize = 64 * 1024;
/// Bytes that an open connection of a caller holds between two requests: the first buffer of the HTTP library, and a small
/// response that the caller has not read.
const CONNECTION_BYTES: usize = 8 * 1024 + SMALL_BODY_BYTES;
/// Bytes that a running request holds in addition: two buffers of the connection of the caller and two of that to the target,
/// which has a shorter head, and a small body in each direction.
const REQUEST_BYTES: usize = 2 * MAX_FRAME_BYTES + 2 * 32 * 1024 + 2 * SMALL_BODY_BYTES;
/// Bytes that an idle connection to a target holds: the buffers of the HTTP library, and the ids that it has carried.
const IDLE_TARGET_BYTES: usize = 16 * 1024 + MAX_IDS_BYTES;
/// Percentages of the memory of the VM. The rest is for the program, its tables, and connections to the directory, readiness and
/// metrics servers.
const CONNECTIONS_PERCENT: usize = 22;
const IDLE_TARGETS_PERCENT: usize = 3;
const REQUESTS_PERCENT: usize = 40;
const LARGE_BODIES_PERCENT: usize = 20;

/// What the process may hold at a time.
#[derive(Clone, Copy)]
pub(crate) struct MemoryLimits {
    /// Open connections of callers.
    pub(crate) connections: usize,
    /// Idle connections to targets.
    pub(crate) idle_targets: usize,
    /// Running requests, and responses that are passed on while they arrive.
    pub(crate) requests: usize,
    /// Bytes of buffered bodies beyond [`SMALL_BODY_BYTES`].
    pub(crate) large_bodies: usize,
}

impl MemoryLimits {
    /// The limits of a VM with `memory` bytes.
    pub(crate) fn new(memory: usize) -> Self {
        let part = |percent| memory / 100 * percent;
        Self {
            connections: (part(CONNECTIONS_PERCENT) / CONNECTION_BYTES).max(1),
            idle_targets: (part(IDLE_TARGETS_PERCENT) / IDLE_TARGET_BYTES).max(1),
            requests: (part(REQUESTS_PERCENT) / REQUEST_BYTES).max(1),
            large_bodies: part(LARGE_BODIES_PERCENT),
        }
    }
}

/// The bytes that are left for large bodies.
pub(crate) struct BodyBudget {
    left: AtomicUsize,
}

impl BodyBudget {
    pub(crate) fn new(bytes: usize) -> Arc<Self> {
        let left = AtomicUsize::new(bytes);
        Arc::new(Self { left })
    }

    /// Takes bytes out of the budget. `None` if fewer are left.
    pub(crate) fn reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let take = |left: usize| left.checked_sub(bytes);
        let order = Ordering::Relaxed;
        self.left.fetch_update(order, order, take).ok()?;
        Some(Reservation {
            budget: Arc::clone(self),
            bytes,
        })
    }
}

/// Bytes that were taken out of a budget. They return when it is dropped.
pub(crate) struct Reservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl Reservation {
    /// Gives back what exceeds `bytes`.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.bytes -= excess;
        self.budget.left.fetch_add(excess, Ordering::Relaxed);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
