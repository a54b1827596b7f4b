//! Queues of waiting requests: one for each service and workspace, served by deficit round robin.

mod lanes;

use std::collections::BTreeMap;

use smol_str::SmolStr;
use waxwing_types::{Millis, ServiceId, WorkspaceId, common_derives};

use crate::{Capacity, FlowId};
use lanes::Lanes;

/// Greatest number of requests of one workspace that wait for one service.
const MAX_WAITING: usize = 1024;
/// Time after which a released request that did not come forward no longer holds its place.
const RELEASE_TERM: Millis = Millis::from_secs(1);
/// Part of a new sample in the average time that a request holds a slot.
const HOLD_GAIN: f64 = 0.05;

common_derives! {
    /// A request that waits.
    pub struct QueuedRequest {
        /// The request.
        pub flow_id: FlowId,
        /// Service that it waits for.
        pub service: ServiceId,
        /// Workspace in whose queue it waits. The empty name stands for callers without a key.
        pub workspace: WorkspaceId,
        /// Weight of the workspace.
        pub weight: u32,
        /// Cost of the request.
        pub cost: u32,
        /// Time until which it can be sent.
        pub deadline: Millis,
        /// Public id of the caller's key.
        pub key_id: Option<SmolStr>,
    }
}

/// The queues of one service.
#[derive(Debug, Default)]
struct Line {
    lanes: Lanes,
    /// Requests that were released and have not come forward yet.
    released: Vec<(FlowId, Millis)>,
    /// Average time in ms for which a request holds a slot, per unit of cost. 0: not known.
    hold: f64,
}

impl Line {
    /// Removes a request from the released ones. Returns whether it was among them.
    fn take_released(&mut self, flow: FlowId) -> bool {
        let at = self.released.iter().position(|(f, _)| *f == flow);
        at.map(|at| self.released.swap_remove(at)).is_some()
    }
}

/// The queues of one daemon.
#[derive(Debug, Default)]
pub struct FairQueue {
    lines: BTreeMap<ServiceId, Line>,
    places: BTreeMap<FlowId, (ServiceId, WorkspaceId)>,
}

impl FairQueue {
    /// Adds a request at the end of its workspace's queue.
    ///
    /// # Errors
    /// The estimated wait, if it exceeds the deadline or the queue is full.
    pub fn enqueue(
        &mut self,
        now: Millis,
        ticket: QueuedRequest,
        room: Capacity,
    ) -> Result<(), Millis> {
        let service = &ticket.service;
        let wait = self.estimate_wait(service, &ticket.workspace, ticket.weight, room.limit);
        if !meets_deadline(now, wait, ticket.deadline, room) {
            return Err(wait);
        }
        let line = self.lines.entry(service.clone()).or_default();
        if line.lanes.len_of(&ticket.workspace) >= MAX_WAITING {
            return Err(wait);
        }
        let place = (service.clone(), ticket.workspace.clone());
        self.places.insert(ticket.flow_id, place);
        line.lanes.push_back(now, ticket);
        Ok(())
    }

    /// Puts a request whose turn came but which found no free target back in front.
    pub fn requeue_first(&mut self, now: Millis, ticket: QueuedRequest) {
        let place = (ticket.service.clone(), ticket.workspace.clone());
        self.places.insert(ticket.flow_id, place);
        let line = self.lines.entry(ticket.service.clone()).or_default();
        line.lanes.push_front(now, ticket);
    }

    /// Removes a request that no longer waits, or whose turn it no longer takes.
    pub fn remove(&mut self, flow: FlowId) {
        let Some((service, workspace)) = self.places.remove(&flow) else {
            return;
        };
        if let Some(line) = self.lines.get_mut(&service)
            && !line.take_released(flow)
        {
            line.lanes.remove(&workspace, flow);
        }
    }

    /// Takes the turn of a released request. `false`: it was dropped from the queue instead.
    pub fn take_dequeued(&mut self, flow: FlowId) -> bool {
        let Some((service, _)) = self.places.remove(&flow) else {
            return false;
        };
        self.lines
            .get_mut(&service)
            .is_some_and(|line| line.take_released(flow))
    }

    /// Releases requests into `free` slots, less those that were released before and have not come
    /// forward. Requests past their deadline are released too and take no slot.
    pub fn dequeue(&mut self, now: Millis, service: &ServiceId, free: u32) -> Vec<FlowId> {
        let Some(line) = self.lines.get_mut(service) else {
            return Vec::new();
        };
        line.released
            .retain(|(_, since)| now.since(*since) < RELEASE_TERM);
        let mut woken = Vec::new();
        while line.released.len() < free as usize {
            let Some((flow, deadline)) = line.lanes.pop(now) else {
                break;
            };
            if deadline > now {
                line.released.push((flow, now));
            }
            woken.push(flow);
        }
        woken
    }

    /// Drops all waiting requests of a key, which the daemon must give `Released`.
    pub fn remove_key(&mut self, key: &str) -> Vec<FlowId> {
        let mut dropped = Vec::new();
        for line in self.lines.values_mut() {
            dropped.append(&mut line.lanes.remove_key(key));
        }
        for flow in &dropped {
            self.places.remove(flow);
        }
        dropped
    }

    /// Takes in how long a request of this cost held its slot.
    pub fn record_slot_time(&mut self, service: &ServiceId, cost: u32, hold: Millis) {
        let line = self.lines.entry(service.clone()).or_default();
        // A hold below a millisecond counts as half of one.
        let sample = units(hold.0).max(0.5) / f64::from(cost.max(1));
        line.hold = if line.hold == 0.0 {
            sample
        } else {
            line.hold + HOLD_GAIN * (sample - line.hold)
        };
    }
}

impl FairQueue {
    /// Estimated wait of a request that joins now: the smaller of the time for everything ahead,
    /// and the time for its own workspace's queue at the workspace's share; but at least the time
    /// at the pace at which this queue was served lately, because workspaces that are served
    /// before they have to wait long are not seen as competitors.
    pub fn estimate_wait(
        &self,
        service: &ServiceId,
        workspace: &WorkspaceId,
        weight: u32,
        slots: u32,
    ) -> Millis {
        let Some(line) = self.lines.get(service) else {
            return Millis::ZERO;
        };
        let own = units(line.lanes.cost_of(workspace));
        let others = units(line.lanes.weight_without(workspace));
        let share = f64::from(weight) / (f64::from(weight) + others);
        let ahead = (own / share).min(units(line.lanes.cost()));
        let by_share = ahead * line.hold / f64::from(slots.max(1));
        to_millis(by_share.max(own * line.lanes.pace_of(workspace)))
    }

    /// Whether the request waits, or was released and has not come forward.
    pub fn contains(&self, flow: FlowId) -> bool {
        self.places.contains_key(&flow)
    }

    /// Services for which requests wait.
    pub fn waiting_services(&self) -> Vec<ServiceId> {
        self.lines
            .iter()
            .filter(|(_, line)| line.lanes.len() > 0)
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Requests that wait for a service.
    pub fn waiting_count(&self, service: &ServiceId) -> usize {
        self.lines.get(service).map_or(0, |line| line.lanes.len())
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.lines.values().map(|line| line.lanes.len()).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Panics if an invariant is broken. Called by tests.
    pub fn check_invariants(&self) {
        for line in self.lines.values() {
            line.lanes.check_invariants();
        }
    }
}

/// Whether a request that waits can be answered before its deadline. A quarter of the estimated
/// wait is added for its error, and twice the average latency for the answer: a request that is
/// sent with less left is likely to be given up while it holds a slot.
pub(crate) fn meets_deadline(now: Millis, wait: Millis, deadline: Millis, room: Capacity) -> bool {
    wait == Millis::ZERO
        || now + wait + Millis(wait.0 / 4) + room.latency + room.latency <= deadline
}

#[allow(clippy::cast_precision_loss)] // spans, costs and weights are far below 2^52
fn units(count: u64) -> f64 {
    count as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // saturates, never negative
fn to_millis(ms: f64) -> Millis {
    Millis(ms as u64)
}
