//! Fair queue of the requests that wait for a free slot of a target. A slot lets a target run one
//! request. Each service has one queue for each workspace.
//!
//! The queues of a service are served by deficit round robin: each workspace sends requests in
//! proportion to its weight, counted by the cost of the requests. The cost of a request is set by
//! its route. The slot time of a request is the time for which the request holds its slot.

mod workspace_queues;

use std::collections::BTreeMap;

use smol_str::SmolStr;
use waxwing_types::{Millis, ServiceId, WorkspaceId, common_derives};

use crate::{Capacity, FlowId};
use workspace_queues::WorkspaceQueues;

/// Largest number of requests of one workspace that may wait for one service.
const MAX_WAITING_PER_WORKSPACE: usize = 1024;
/// Longest time for which a dequeued request reserves a slot. The reservation ends earlier if
/// [`FairQueue::take_dequeued`] is called.
const DEQUEUED_TIMEOUT: Millis = Millis::from_secs(1);
/// Weight of a new sample in the exponential moving average of the slot time.
const SLOT_TIME_SMOOTHING: f64 = 0.05;

common_derives! {
    /// A request that waits in the fair queue.
    pub struct QueuedRequest {
        /// Flow of the request.
        pub flow_id: FlowId,
        /// Service that the request calls.
        pub service: ServiceId,
        /// Workspace in whose queue the request waits. Empty for callers without a valid key.
        pub workspace: WorkspaceId,
        /// Weight of the workspace, in proportion to which its requests are served.
        pub weight: u32,
        /// Cost of the request, set by its route. A request of cost 2 counts as much as two
        /// requests of cost 1.
        pub cost: u32,
        /// Time after which the request can no longer be sent.
        pub deadline: Millis,
        /// Public id of the caller's API key.
        pub key_id: Option<SmolStr>,
    }
}

/// The queues of one service.
#[derive(Debug, Default)]
struct ServiceQueue {
    waiting: WorkspaceQueues,
    /// Requests that were dequeued but not yet taken, with the time when they were dequeued. Each
    /// reserves a slot.
    dequeued: Vec<(FlowId, Millis)>,
    /// Average slot time in ms per unit of cost. 0 if unknown.
    slot_ms_per_cost: f64,
}

impl ServiceQueue {
    /// Removes a request from the dequeued requests. Returns whether it was one of them.
    fn take_dequeued(&mut self, flow_id: FlowId) -> bool {
        let index = self.dequeued.iter().position(|(id, _)| *id == flow_id);
        index
            .map(|index| self.dequeued.swap_remove(index))
            .is_some()
    }
}

/// All queues of one daemon.
#[derive(Debug, Default)]
pub struct FairQueue {
    services: BTreeMap<ServiceId, ServiceQueue>,
    /// Service and workspace of each request that waits or was dequeued but not yet taken.
    locations: BTreeMap<FlowId, (ServiceId, WorkspaceId)>,
}

impl FairQueue {
    /// Adds a request to the end of its workspace's queue.
    ///
    /// # Errors
    /// The estimated wait, if the request would miss its deadline or the workspace's queue is full.
    pub fn enqueue(
        &mut self,
        now: Millis,
        request: QueuedRequest,
        capacity: Capacity,
    ) -> Result<(), Millis> {
        let service = &request.service;
        let wait = self.estimate_wait(service, &request.workspace, request.weight, capacity.limit);
        if !meets_deadline(now, wait, request.deadline, capacity) {
            return Err(wait);
        }
        let queue = self.services.entry(service.clone()).or_default();
        if queue.waiting.len_of(&request.workspace) >= MAX_WAITING_PER_WORKSPACE {
            return Err(wait);
        }
        let location = (service.clone(), request.workspace.clone());
        self.locations.insert(request.flow_id, location);
        queue.waiting.push_back(now, request);
        Ok(())
    }

    /// Adds a request to the front of its workspace's queue, because its turn already came but no
    /// target was free.
    pub fn requeue_first(&mut self, now: Millis, request: QueuedRequest) {
        let location = (request.service.clone(), request.workspace.clone());
        self.locations.insert(request.flow_id, location);
        let queue = self.services.entry(request.service.clone()).or_default();
        queue.waiting.push_front(now, request);
    }

    /// Removes a request that is waiting, or was dequeued but not yet taken.
    pub fn remove(&mut self, flow_id: FlowId) {
        let Some((service, workspace)) = self.locations.remove(&flow_id) else {
            return;
        };
        if let Some(queue) = self.services.get_mut(&service)
            && !queue.take_dequeued(flow_id)
        {
            queue.waiting.remove(&workspace, flow_id);
        }
    }

    /// Ends the reservation of a dequeued request, which may now take a slot. Returns `false` if
    /// the request has no reservation, because it was removed or was dequeued too long ago.
    pub fn take_dequeued(&mut self, flow_id: FlowId) -> bool {
        let Some((service, _)) = self.locations.remove(&flow_id) else {
            return false;
        };
        self.services
            .get_mut(&service)
            .is_some_and(|queue| queue.take_dequeued(flow_id))
    }

    /// Dequeues as many requests as there are free slots without a reservation, and reserves a slot
    /// for each. A request that is past its deadline is also dequeued, but reserves no slot.
    pub fn dequeue(&mut self, now: Millis, service: &ServiceId, free_slots: u32) -> Vec<FlowId> {
        let Some(queue) = self.services.get_mut(service) else {
            return Vec::new();
        };
        queue
            .dequeued
            .retain(|(_, dequeued_at)| now.since(*dequeued_at) < DEQUEUED_TIMEOUT);
        let mut dequeued_ids = Vec::new();
        while queue.dequeued.len() < free_slots as usize {
            let Some((flow_id, deadline)) = queue.waiting.pop(now) else {
                break;
            };
            if deadline > now {
                queue.dequeued.push((flow_id, now));
            }
            dequeued_ids.push(flow_id);
        }
        dequeued_ids
    }

    /// Removes all waiting requests that were sent with an API key. The daemon must deliver
    /// [`FlowEvent::Dequeued`] to each of the returned flows.
    ///
    /// [`FlowEvent::Dequeued`]: crate::FlowEvent::Dequeued
    pub fn remove_requests_of_key(&mut self, key_id: &str) -> Vec<FlowId> {
        let mut removed = Vec::new();
        for queue in self.services.values_mut() {
            removed.append(&mut queue.waiting.remove_requests_of_key(key_id));
        }
        for flow_id in &removed {
            self.locations.remove(flow_id);
        }
        removed
    }

    /// Updates the average slot time with the time for which a request of this cost held its slot.
    pub fn record_slot_time(&mut self, service: &ServiceId, cost: u32, slot_time: Millis) {
        let queue = self.services.entry(service.clone()).or_default();
        // A slot time of 0 ms means less than a millisecond and counts as half a millisecond.
        let sample = to_f64(slot_time.0).max(0.5) / f64::from(cost.max(1));
        queue.slot_ms_per_cost = if queue.slot_ms_per_cost == 0.0 {
            sample
        } else {
            queue.slot_ms_per_cost + SLOT_TIME_SMOOTHING * (sample - queue.slot_ms_per_cost)
        };
    }
}

impl FairQueue {
    /// Estimates the wait of a request that is added now.
    ///
    /// The estimate is the smaller of two times: the time to serve all waiting requests of the
    /// service, and the time to serve the workspace's queue at its share of the slots. The share
    /// ignores workspaces whose requests are served without waiting long. The estimate is therefore
    /// at least the time to serve the workspace's queue at the rate of its recent turns.
    pub fn estimate_wait(
        &self,
        service: &ServiceId,
        workspace: &WorkspaceId,
        weight: u32,
        slots: u32,
    ) -> Millis {
        let Some(queue) = self.services.get(service) else {
            return Millis::ZERO;
        };
        let own_cost = to_f64(queue.waiting.cost_of(workspace));
        let other_weights = to_f64(queue.waiting.weight_of_others(workspace));
        let share = f64::from(weight) / (f64::from(weight) + other_weights);
        let cost_ahead = (own_cost / share).min(to_f64(queue.waiting.total_cost()));
        let wait_by_share = cost_ahead * queue.slot_ms_per_cost / f64::from(slots.max(1));
        to_millis(wait_by_share.max(own_cost * queue.waiting.ms_per_cost_of(workspace)))
    }

    /// Whether the request is waiting, or was dequeued but not yet taken.
    pub fn contains(&self, flow_id: FlowId) -> bool {
        self.locations.contains_key(&flow_id)
    }

    /// Services that have waiting requests.
    pub fn waiting_services(&self) -> Vec<ServiceId> {
        self.services
            .iter()
            .filter(|(_, queue)| queue.waiting.len() > 0)
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Number of requests that wait for a service.
    pub fn waiting_count(&self, service: &ServiceId) -> usize {
        self.services
            .get(service)
            .map_or(0, |queue| queue.waiting.len())
    }

    /// Number of waiting requests of all services.
    pub fn len(&self) -> usize {
        self.services
            .values()
            .map(|queue| queue.waiting.len())
            .sum()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Panics if an invariant is broken. Called by tests.
    pub fn check_invariants(&self) {
        for queue in self.services.values() {
            queue.waiting.check_invariants();
        }
    }
}

/// Whether a request with this estimated wait can be answered before its deadline.
///
/// Adds a quarter of the wait for the error of the estimate, and twice the average latency for the
/// response. A request that is sent with less time left is likely to time out, and its slot is then
/// wasted. A request that need not wait is always accepted.
pub(crate) fn meets_deadline(
    now: Millis,
    wait: Millis,
    deadline: Millis,
    capacity: Capacity,
) -> bool {
    wait == Millis::ZERO
        || now + wait + Millis(wait.0 / 4) + capacity.latency + capacity.latency <= deadline
}

#[allow(clippy::cast_precision_loss)] // times, costs and weights are far below 2^52
fn to_f64(count: u64) -> f64 {
    count as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // saturates, never negative
fn to_millis(ms: f64) -> Millis {
    Millis(ms as u64)
}
