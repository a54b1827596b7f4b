//! The queues of one service, one for each workspace, served by deficit round robin.
//!
//! The deficit of a queue is the cost of the requests that it may still send. A new round adds the
//! weight of each workspace to its deficit. Within a round the queues take turns with one request
//! each, until no queue has enough deficit for its first request. A workspace with a large weight
//! therefore does not send its whole share of a round in one burst.

use std::collections::{BTreeMap, VecDeque};

use waxwing_types::{Millis, WorkspaceId};

use super::{QueuedRequest, to_f64};
use crate::FlowId;

/// Weight of a new sample in the exponential moving average of the time between turns.
const TURN_TIME_SMOOTHING: f64 = 0.05;

/// The queue of one workspace.
#[derive(Debug, Default)]
struct WorkspaceQueue {
    requests: VecDeque<QueuedRequest>,
    /// Cost of requests that the queue may still send in this round.
    deficit: u64,
    /// Cost that the queue may send per round.
    weight: u64,
    /// Sum of the costs of all requests in the queue.
    total_cost: u64,
    /// Time of the last turn, or of the first request if there was no turn yet.
    last_turn: Millis,
    /// Average time in ms between turns, per unit of cost. 0 if unknown.
    ms_per_cost: f64,
}

/// The queues of one service.
#[derive(Debug, Default)]
pub(super) struct WorkspaceQueues {
    queues: BTreeMap<WorkspaceId, WorkspaceQueue>,
    /// Workspaces that have waiting requests. The first workspace with enough deficit has the next
    /// turn, and then moves to the end.
    turn_order: VecDeque<WorkspaceId>,
    /// Number of requests in all queues.
    len: usize,
    /// Sum of the costs of all requests in all queues.
    total_cost: u64,
}

impl WorkspaceQueues {
    /// Adds a request to the end of its workspace's queue.
    pub(super) fn push_back(&mut self, now: Millis, request: QueuedRequest) {
        self.prepare_push(now, &request).requests.push_back(request);
    }

    /// Puts a request that was dequeued before back at the front of its workspace's queue.
    pub(super) fn push_front(&mut self, now: Millis, request: QueuedRequest) {
        // The cost was subtracted from the deficit when the request was dequeued. Adds the cost
        // back, because the request will be dequeued again.
        let cost = u64::from(request.cost);
        let queue = self.prepare_push(now, &request);
        queue.deficit += cost;
        queue.requests.push_front(request);
    }

    /// Removes the next request in turn. Returns its flow and its deadline.
    pub(super) fn pop(&mut self, now: Millis) -> Option<(FlowId, Millis)> {
        if self.turn_order.is_empty() {
            return None;
        }
        if self.first_eligible_index().is_none() {
            self.start_next_rounds();
        }
        let index = self.first_eligible_index()?;
        let workspace = self.turn_order.remove(index)?;
        self.turn_order.push_back(workspace.clone());
        let queue = self.queues.get_mut(&workspace)?;
        let request = queue.requests.pop_front()?;
        queue.deficit = queue.deficit.saturating_sub(u64::from(request.cost));
        if request.deadline > now {
            queue.record_turn(now, request.cost);
        }
        self.on_removed(&workspace, u64::from(request.cost));
        Some((request.flow_id, request.deadline))
    }

    /// Removes a request, if it is waiting.
    pub(super) fn remove(&mut self, workspace: &WorkspaceId, flow_id: FlowId) {
        self.remove_where(workspace, |request| request.flow_id == flow_id);
    }

    /// Removes all requests that were sent with an API key.
    pub(super) fn remove_requests_of_key(&mut self, key_id: &str) -> Vec<FlowId> {
        let workspaces: Vec<_> = self.turn_order.iter().cloned().collect();
        workspaces
            .iter()
            .flat_map(|workspace| {
                self.remove_where(workspace, |request| {
                    request.key_id.as_deref() == Some(key_id)
                })
            })
            .collect()
    }

    fn remove_where(
        &mut self,
        workspace: &WorkspaceId,
        matches: impl Fn(&QueuedRequest) -> bool,
    ) -> Vec<FlowId> {
        let Some(queue) = self.queues.get_mut(workspace) else {
            return Vec::new();
        };
        let (removed, kept): (Vec<_>, Vec<_>) = queue.requests.drain(..).partition(matches);
        queue.requests = kept.into();
        for request in &removed {
            self.on_removed(workspace, u64::from(request.cost));
        }
        removed.into_iter().map(|request| request.flow_id).collect()
    }

    /// Updates the totals for a request that is about to be added, and returns its queue. Creates
    /// the queue and appends the workspace to the turn order if needed.
    fn prepare_push(&mut self, now: Millis, request: &QueuedRequest) -> &mut WorkspaceQueue {
        self.len += 1;
        self.total_cost += u64::from(request.cost);
        let queue = self.queues.entry(request.workspace.clone()).or_default();
        if queue.requests.is_empty() {
            self.turn_order.push_back(request.workspace.clone());
            queue.last_turn = now;
        }
        queue.weight = u64::from(request.weight.max(1));
        queue.total_cost += u64::from(request.cost);
        queue
    }

    /// Updates the totals for a request that was removed. Drops the queue, and with it its deficit,
    /// if it is empty.
    fn on_removed(&mut self, workspace: &WorkspaceId, cost: u64) {
        self.len -= 1;
        self.total_cost -= cost;
        let Some(queue) = self.queues.get_mut(workspace) else {
            return;
        };
        queue.total_cost -= cost;
        if queue.requests.is_empty() {
            self.queues.remove(workspace);
            self.turn_order.retain(|w| w != workspace);
        }
    }

    /// Index in the turn order of the first queue whose deficit covers its first request.
    fn first_eligible_index(&self) -> Option<usize> {
        self.turn_order.iter().position(|workspace| {
            self.queues
                .get(workspace)
                .is_some_and(|queue| queue.shortfall() == 0)
        })
    }

    /// Starts as many rounds as are needed until at least one queue can send its first request.
    /// Each round adds the weight of each queue to the deficit of that queue.
    fn start_next_rounds(&mut self) {
        let rounds = self
            .queues
            .values()
            .map(|queue| queue.shortfall().div_ceil(queue.weight))
            .min()
            .unwrap_or(0);
        for queue in self.queues.values_mut() {
            queue.deficit += rounds * queue.weight;
        }
    }
}

impl WorkspaceQueues {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn total_cost(&self) -> u64 {
        self.total_cost
    }

    pub(super) fn len_of(&self, workspace: &WorkspaceId) -> usize {
        self.queue(workspace)
            .map_or(0, |queue| queue.requests.len())
    }

    pub(super) fn cost_of(&self, workspace: &WorkspaceId) -> u64 {
        self.queue(workspace).map_or(0, |queue| queue.total_cost)
    }

    /// Recent average time in ms to serve one unit of cost from the workspace's queue. 0 if
    /// unknown.
    pub(super) fn ms_per_cost_of(&self, workspace: &WorkspaceId) -> f64 {
        self.queue(workspace).map_or(0.0, |queue| queue.ms_per_cost)
    }

    /// Sum of the weights of all other workspaces that have waiting requests.
    pub(super) fn weight_of_others(&self, workspace: &WorkspaceId) -> u64 {
        let own_weight = self.queue(workspace).map_or(0, |queue| queue.weight);
        self.queues.values().map(|queue| queue.weight).sum::<u64>() - own_weight
    }

    pub(super) fn check_invariants(&self) {
        let len: usize = self.queues.values().map(|queue| queue.requests.len()).sum();
        assert_eq!(len, self.len, "length of the queues");
        let cost: u64 = self.queues.values().map(|queue| queue.total_cost).sum();
        assert_eq!(cost, self.total_cost, "cost of the queues");
        assert_eq!(
            self.turn_order.len(),
            self.queues.len(),
            "queues in the turn order"
        );
        for (workspace, queue) in &self.queues {
            assert!(
                !queue.requests.is_empty(),
                "{workspace:?}: empty queue kept"
            );
            let cost: u64 = queue
                .requests
                .iter()
                .map(|request| u64::from(request.cost))
                .sum();
            assert_eq!(cost, queue.total_cost, "{workspace:?}: cost of the queue");
            assert!(
                self.turn_order.contains(workspace),
                "{workspace:?}: not in the turn order"
            );
        }
    }

    fn queue(&self, workspace: &WorkspaceId) -> Option<&WorkspaceQueue> {
        self.queues.get(workspace)
    }
}

impl WorkspaceQueue {
    /// Updates the average time between turns.
    fn record_turn(&mut self, now: Millis, cost: u32) {
        let sample = to_f64(now.since(self.last_turn).0) / f64::from(cost.max(1));
        self.ms_per_cost += TURN_TIME_SMOOTHING * (sample - self.ms_per_cost);
        self.last_turn = now;
    }

    /// Cost by which the deficit is too small for the first request. 0 if the request may be sent.
    fn shortfall(&self) -> u64 {
        self.requests.front().map_or(0, |request| {
            u64::from(request.cost).saturating_sub(self.deficit)
        })
    }
}
