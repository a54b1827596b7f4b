//! The queues of one service, one for each workspace, and the order in which they are served.
//!
//! Deficit round robin. Within a round the queues take turns with one request each until no
//! queue has enough left for its first request, so that a heavy workspace does not send its whole
//! share of a round in one run.

use std::collections::{BTreeMap, VecDeque};

use waxwing_types::{Millis, WorkspaceId};

use super::{QueuedRequest, units};
use crate::FlowId;

/// Part of a new sample in the average time between turns.
const PACE_GAIN: f64 = 0.05;

/// The queue of one workspace.
#[derive(Debug, Default)]
struct Lane {
    tickets: VecDeque<QueuedRequest>,
    deficit: u64,
    weight: u64,
    cost: u64,
    /// Time of the last turn, or of the first request if there was none.
    last: Millis,
    /// Average time in ms between turns, per unit of cost. 0: not known.
    pace: f64,
}

/// The queues of one service.
#[derive(Debug, Default)]
pub(super) struct Lanes {
    table: BTreeMap<WorkspaceId, Lane>,
    /// Workspaces with waiting requests, in the order of their turns.
    ring: VecDeque<WorkspaceId>,
    len: usize,
    cost: u64,
}

impl Lanes {
    pub(super) fn push_back(&mut self, now: Millis, ticket: QueuedRequest) {
        self.enter(now, &ticket).tickets.push_back(ticket);
    }

    pub(super) fn push_front(&mut self, now: Millis, ticket: QueuedRequest) {
        // The request paid for its turn already.
        let cost = u64::from(ticket.cost);
        let lane = self.enter(now, &ticket);
        lane.deficit += cost;
        lane.tickets.push_front(ticket);
    }

    /// Takes out the request whose turn it is.
    pub(super) fn pop(&mut self, now: Millis) -> Option<(FlowId, Millis)> {
        if self.ring.is_empty() {
            return None;
        }
        if self.eligible().is_none() {
            self.next_round();
        }
        let at = self.eligible()?;
        let workspace = self.ring.remove(at)?;
        self.ring.push_back(workspace.clone());
        let lane = self.table.get_mut(&workspace)?;
        let ticket = lane.tickets.pop_front()?;
        lane.deficit = lane.deficit.saturating_sub(u64::from(ticket.cost));
        if ticket.deadline > now {
            lane.on_turn(now, ticket.cost);
        }
        self.left(&workspace, u64::from(ticket.cost));
        Some((ticket.flow_id, ticket.deadline))
    }

    pub(super) fn remove(&mut self, workspace: &WorkspaceId, flow: FlowId) {
        self.remove_where(workspace, |ticket| ticket.flow_id == flow);
    }

    pub(super) fn remove_key(&mut self, key: &str) -> Vec<FlowId> {
        let ring: Vec<_> = self.ring.iter().cloned().collect();
        ring.iter()
            .flat_map(|w| self.remove_where(w, |ticket| ticket.key_id.as_deref() == Some(key)))
            .collect()
    }

    fn remove_where(
        &mut self,
        workspace: &WorkspaceId,
        matches: impl Fn(&QueuedRequest) -> bool,
    ) -> Vec<FlowId> {
        let Some(lane) = self.table.get_mut(workspace) else {
            return Vec::new();
        };
        let (gone, kept): (Vec<_>, Vec<_>) = lane.tickets.drain(..).partition(matches);
        lane.tickets = kept.into();
        for ticket in &gone {
            self.left(workspace, u64::from(ticket.cost));
        }
        gone.into_iter().map(|ticket| ticket.flow_id).collect()
    }

    /// The lane for a ticket that is about to be added.
    fn enter(&mut self, now: Millis, ticket: &QueuedRequest) -> &mut Lane {
        self.len += 1;
        self.cost += u64::from(ticket.cost);
        let lane = self.table.entry(ticket.workspace.clone()).or_default();
        if lane.tickets.is_empty() {
            self.ring.push_back(ticket.workspace.clone());
            lane.last = now;
        }
        lane.weight = u64::from(ticket.weight.max(1));
        lane.cost += u64::from(ticket.cost);
        lane
    }

    /// Accounts for a ticket that was taken out. An empty lane keeps no deficit.
    fn left(&mut self, workspace: &WorkspaceId, cost: u64) {
        self.len -= 1;
        self.cost -= cost;
        let Some(lane) = self.table.get_mut(workspace) else {
            return;
        };
        lane.cost -= cost;
        if lane.tickets.is_empty() {
            self.table.remove(workspace);
            self.ring.retain(|w| w != workspace);
        }
    }

    /// Position in the ring of the first queue that can pay for its first request.
    fn eligible(&self) -> Option<usize> {
        self.ring.iter().position(|workspace| {
            self.table
                .get(workspace)
                .is_some_and(|lane| lane.missing() == 0)
        })
    }

    /// Adds each queue's weight to its deficit, as often as needed until one can pay.
    fn next_round(&mut self) {
        let rounds = self
            .table
            .values()
            .map(|lane| lane.missing().div_ceil(lane.weight))
            .min()
            .unwrap_or(0);
        for lane in self.table.values_mut() {
            lane.deficit += rounds * lane.weight;
        }
    }
}

impl Lanes {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn cost(&self) -> u64 {
        self.cost
    }

    pub(super) fn len_of(&self, workspace: &WorkspaceId) -> usize {
        self.lane(workspace).map_or(0, |lane| lane.tickets.len())
    }

    pub(super) fn cost_of(&self, workspace: &WorkspaceId) -> u64 {
        self.lane(workspace).map_or(0, |lane| lane.cost)
    }

    /// Time in ms that the workspace's queue took lately to serve a unit of cost. 0: not known.
    pub(super) fn pace_of(&self, workspace: &WorkspaceId) -> f64 {
        self.lane(workspace).map_or(0.0, |lane| lane.pace)
    }

    /// Weights of all other workspaces with waiting requests.
    pub(super) fn weight_without(&self, workspace: &WorkspaceId) -> u64 {
        let own = self.lane(workspace).map_or(0, |lane| lane.weight);
        self.table.values().map(|lane| lane.weight).sum::<u64>() - own
    }

    pub(super) fn check_invariants(&self) {
        let len: usize = self.table.values().map(|lane| lane.tickets.len()).sum();
        assert_eq!(len, self.len, "length of the queues");
        let cost: u64 = self.table.values().map(|lane| lane.cost).sum();
        assert_eq!(cost, self.cost, "cost of the queues");
        assert_eq!(self.ring.len(), self.table.len(), "queues in the ring");
        for (workspace, lane) in &self.table {
            assert!(!lane.tickets.is_empty(), "{workspace:?}: empty queue kept");
            let cost: u64 = lane.tickets.iter().map(|t| u64::from(t.cost)).sum();
            assert_eq!(cost, lane.cost, "{workspace:?}: cost of the queue");
            assert!(self.ring.contains(workspace), "{workspace:?}: no turn");
        }
    }

    fn lane(&self, workspace: &WorkspaceId) -> Option<&Lane> {
        self.table.get(workspace)
    }
}

impl Lane {
    fn on_turn(&mut self, now: Millis, cost: u32) {
        let sample = units(now.since(self.last).0) / f64::from(cost.max(1));
        self.pace += PACE_GAIN * (sample - self.pace);
        self.last = now;
    }

    /// Deficit that the queue lacks for its first request.
    fn missing(&self) -> u64 {
        self.tickets
            .front()
            .map_or(0, |t| u64::from(t.cost).saturating_sub(self.deficit))
    }
}
