//! Test of the fairness between workspaces, over the whole request path of one VM.
//!
//! One of eight workspaces overloads the targets. Guards against a queue that then refuses or
//! delays requests of the other workspaces. `WAXWING_FUZZ_SEED` sets the seed.

// Not every part of the model daemon is used here.
#[allow(dead_code)]
#[path = "flow_fuzz/records.rs"]
mod records;
#[allow(dead_code)]
#[path = "flow_fuzz/vm.rs"]
mod vm;

use std::collections::{BTreeMap, BinaryHeap};

use fastrand::Rng;
use serde_json::json;
use waxwing_core::{Flow, FlowAction, FlowEvent, FlowId, IncomingRequest};

use records::{Request, RequestKind, apply_record, incoming_request, key_record};
use vm::{ActiveFlow, ModelDaemon};

const WORKSPACES: usize = 8;
/// Targets of the service, with three slots each.
const TARGETS: usize = 8;
/// Mean time in ms for which a request runs. With 24 slots the targets serve 400 requests per
/// second.
const MEAN_RUN_MS: u64 = 60;
/// Requests per second of each workspace except the overloading workspace: 80 % of an eighth of the
/// capacity.
const REQUEST_RATE: f64 = 40.0;
/// Time in ms before which requests are not counted, because the targets are still warming up.
const WARM_UP_END_MS: u64 = 20_000;
/// Length of the simulation in ms.
const SIMULATION_END_MS: u64 = 1_020_000;
/// Number of simulations whose results are combined. In a single simulation the 99th percentile of
/// the wait differs by up to an eighth between equal workspaces.
const SIMULATION_COUNT: u64 = 3;

/// Counts of the requests that a workspace sent after the warm-up.
#[derive(Default)]
struct WorkspaceStats {
    sent: u64,
    /// Requests that got a response from a target.
    served: u64,
    /// Time in ms from the arrival of each request until the request was sent to a target.
    waits_ms: Vec<u64>,
}

struct Simulation {
    now_ms: u64,
    daemon: ModelDaemon,
    rng: Rng,
    /// Scheduled events with time in ms and sequence number. The earliest event is taken first.
    events: BinaryHeap<std::cmp::Reverse<(u64, u64, Event)>>,
    last_seq: u64,
    /// Workspace and arrival time in ms of each unfinished request, by flow id.
    unfinished_requests: BTreeMap<u64, (usize, u64)>,
    stats_by_workspace: Vec<WorkspaceStats>,
    /// Request that each workspace sends.
    request_templates: Vec<IncomingRequest>,
    /// Intervals in ms between the requests of a workspace. All workspaces except the overloading
    /// workspace use the same intervals, each from a different offset. If each workspace drew its
    /// own intervals, a random burst of one workspace would look like unfairness.
    intervals_ms: Vec<u64>,
    /// Index of the last used interval of each workspace.
    interval_indexes: Vec<usize>,
}

/// Scheduled event. The number is a workspace index for `SendRequest`, and otherwise a flow id.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    SendRequest(usize),
    Dequeued(u64),
    Respond(u64),
    ExpireTimer(u64),
}

impl Simulation {
    fn new(seed: u64) -> Self {
        // VM 0, process 1, at 0 ms. Its rate limits reject no request.
        let mut daemon = ModelDaemon::new(0, 1, 0, seed, 0);
        daemon.checks_invariants = false;
        let targets: Vec<_> = (0..TARGETS)
            .map(|i| json!({"name": format!("t{i}"), "domain": "d0", "slots": 3, "address": format!("10.0.0.{}:80", i + 1)}))
            .collect();
        let routes =
            json!([{"method": "GET", "prefix": "/check", "idempotent": true, "timeout_ms": 2000}]);
        let mut records = vec![
            json!({"schema": 1, "kind": "service", "name": "s", "spec": {"routes": routes, "targets": targets}}),
            json!({"schema": 1, "kind": "region", "name": "r0", "spec": {"domains": [{"name": "d0"}], "spare_rate": 1, "spare_burst": 1}}),
        ];
        for workspace in 0..WORKSPACES {
            records.push(json!({"schema": 1, "kind": "workspace", "name": format!("w{workspace}"), "spec": {"rate": 1000, "burst": 1000}}));
            records.push(key_record(workspace, false));
        }
        for (version, record) in (1..).zip(&records) {
            apply_record(&mut daemon.config, 0, version, record);
        }
        Self {
            now_ms: 0,
            daemon,
            rng: Rng::with_seed(seed),
            events: BinaryHeap::new(),
            last_seq: 0,
            unfinished_requests: BTreeMap::new(),
            intervals_ms: Vec::new(),
            interval_indexes: Vec::new(),
            request_templates: (0..WORKSPACES).map(check_request).collect(),
            stats_by_workspace: (0..WORKSPACES).map(|_| WorkspaceStats::default()).collect(),
        }
    }

    /// Schedules an event for a time in ms.
    fn schedule(&mut self, time_ms: u64, event: Event) {
        self.last_seq += 1;
        self.events
            .push(std::cmp::Reverse((time_ms, self.last_seq, event)));
    }

    /// Returns an exponentially distributed time in ms, at least 1.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // positive, below 2^32
    fn exponential_ms(&mut self, mean_ms: f64) -> u64 {
        (-mean_ms * (1.0 - self.rng.f64()).ln()).ceil().max(1.0) as u64
    }

    /// Draws the common intervals, and sets the offset of each workspace.
    fn draw_intervals(&mut self) {
        let mut total = 0;
        while total < SIMULATION_END_MS - WARM_UP_END_MS {
            let interval_ms = self.exponential_ms(1000.0 / REQUEST_RATE);
            total += interval_ms;
            self.intervals_ms.push(interval_ms);
        }
        let offset = self.intervals_ms.len() / (WORKSPACES - 1);
        self.interval_indexes = (0..WORKSPACES).map(|w| w * offset).collect();
    }

    /// Runs the simulation to its end.
    fn run(&mut self) {
        self.draw_intervals();
        for workspace in 0..WORKSPACES {
            self.schedule(0, Event::SendRequest(workspace));
        }
        while let Some(std::cmp::Reverse((time_ms, _, event))) = self.events.pop() {
            if time_ms > SIMULATION_END_MS {
                break;
            }
            self.now_ms = time_ms;
            match event {
                Event::SendRequest(workspace) => self.send_request(workspace),
                Event::Dequeued(flow_id) => self.deliver(flow_id, FlowEvent::Dequeued),
                Event::ExpireTimer(flow_id) => {
                    let timer = self.daemon.flows.get(&flow_id).map(|active| active.timer);
                    if timer == Some(time_ms) {
                        self.deliver(flow_id, FlowEvent::Timer);
                    }
                }
                Event::Respond(flow_id) => {
                    let head = FlowEvent::ResponseHead {
                        status: 200,
                        not_run: false,
                    };
                    self.deliver(flow_id, head);
                    self.deliver(
                        flow_id,
                        FlowEvent::ResponseComplete {
                            bytes_out: 0,
                            bytes_in: 0,
                        },
                    );
                }
            }
        }
    }

    /// Sends a request of the workspace and schedules the next request.
    fn send_request(&mut self, workspace: usize) {
        // The first workspace sends five times as many requests as each of the others.
        let interval_ms = if workspace == 0 {
            self.exponential_ms(1000.0 / REQUEST_RATE / 5.0)
        } else {
            self.interval_indexes[workspace] += 1;
            self.intervals_ms[self.interval_indexes[workspace] % self.intervals_ms.len()]
        };
        self.schedule(self.now_ms + interval_ms, Event::SendRequest(workspace));
        let request = self.request_templates[workspace].clone();
        let flow_id = self.last_seq;
        let flow = Flow::new(FlowId(flow_id), request);
        // The request index is not used in this test.
        let active = ActiveFlow::new(flow, 0, None);
        self.daemon.flows.insert(flow_id, active);
        self.unfinished_requests
            .insert(flow_id, (workspace, self.now_ms));
        self.stats_by_workspace[workspace].sent += u64::from(self.now_ms >= WARM_UP_END_MS);
        self.deliver(flow_id, FlowEvent::Start);
    }

    /// Delivers an event to a flow and executes the returned actions.
    fn deliver(&mut self, flow_id: u64, event: FlowEvent) {
        for action in self.daemon.step(self.now_ms, flow_id, event) {
            match action {
                FlowAction::SetTimer(time) => {
                    if let Some(active) = self.daemon.flows.get_mut(&flow_id) {
                        active.timer = time.0;
                    }
                    self.schedule(time.0, Event::ExpireTimer(flow_id));
                }
                FlowAction::NotifyDequeued(dequeued_id) => {
                    self.schedule(self.now_ms, Event::Dequeued(dequeued_id.0));
                }
                FlowAction::SendToTarget { .. } => {
                    let (workspace, sent_at_ms) = self.unfinished_requests[&flow_id];
                    if sent_at_ms >= WARM_UP_END_MS {
                        self.stats_by_workspace[workspace]
                            .waits_ms
                            .push(self.now_ms - sent_at_ms);
                    }
                    // Uniformly distributed around the mean.
                    let run_ms = self.rng.u64(MEAN_RUN_MS / 2..MEAN_RUN_MS * 3 / 2);
                    self.schedule(self.now_ms + run_ms, Event::Respond(flow_id));
                }
                FlowAction::RelayResponse => {
                    let (workspace, sent_at_ms) = self.unfinished_requests[&flow_id];
                    self.stats_by_workspace[workspace].served +=
                        u64::from(sent_at_ms >= WARM_UP_END_MS);
                }
                FlowAction::Refuse(_) | FlowAction::WaitInQueue | FlowAction::CancelAttempt => {}
                other => panic!("unexpected {other:?}"),
            }
        }
        let is_finished = self
            .daemon
            .flows
            .get(&flow_id)
            .is_some_and(|active| active.flow.is_finished());
        if is_finished {
            self.daemon.flows.remove(&flow_id);
            self.unfinished_requests.remove(&flow_id);
        }
    }
}

#[test]
#[allow(clippy::cast_precision_loss)] // counts far below 2^52
fn one_workspace_at_five_times_the_rate_does_not_slow_down_the_others() {
    let seed = std::env::var("WAXWING_FUZZ_SEED").ok();
    let seed = seed.and_then(|s| s.parse().ok()).unwrap_or(7);

    let mut stats_by_workspace = run_simulations(seed);

    let mut shares = Vec::new();
    let mut waits_ms = Vec::new();
    for (workspace, stats) in stats_by_workspace.iter_mut().enumerate() {
        stats.waits_ms.sort_unstable();
        let share = stats.served as f64 / stats.sent as f64;
        let p99_ms = stats.waits_ms[stats.waits_ms.len() * 99 / 100] as f64;
        println!(
            "w{workspace}: sent {}, served share {share:.4}, p99 wait {p99_ms} ms",
            stats.sent
        );
        if workspace > 0 {
            shares.push(share);
            waits_ms.push(p99_ms);
        }
    }
    let (min_share, max_share) = min_and_max(&shares);
    assert!(
        min_share >= 0.9 * max_share,
        "served shares {min_share:.4} to {max_share:.4}"
    );
    assert!(
        min_share >= 0.99,
        "served share {min_share:.4} of workspaces that demand less than their fair share"
    );
    let (min_wait_ms, max_wait_ms) = min_and_max(&waits_ms);
    assert!(
        max_wait_ms <= 1.1 * min_wait_ms,
        "p99 waits {min_wait_ms} to {max_wait_ms} ms"
    );
}

/// Runs [`SIMULATION_COUNT`] simulations and returns the combined counts of each workspace.
fn run_simulations(seed: u64) -> Vec<WorkspaceStats> {
    let run = |index| {
        let mut simulation = Simulation::new(seed * SIMULATION_COUNT + index);
        simulation.run();
        simulation.stats_by_workspace
    };
    let results: Vec<Vec<WorkspaceStats>> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..SIMULATION_COUNT)
            .map(|index| scope.spawn(move || run(index)))
            .collect();
        let joined = threads
            .into_iter()
            .map(|t| t.join().expect("simulation thread panicked"));
        joined.collect()
    });
    let mut totals: Vec<WorkspaceStats> =
        (0..WORKSPACES).map(|_| WorkspaceStats::default()).collect();
    for (workspace, stats) in results.into_iter().flat_map(|stats| (0..).zip(stats)) {
        let total: &mut WorkspaceStats = &mut totals[workspace];
        total.sent += stats.sent;
        total.served += stats.served;
        total.waits_ms.extend(stats.waits_ms);
    }
    totals
}

/// An idempotent request of the workspace.
fn check_request(workspace: usize) -> IncomingRequest {
    incoming_request(Request {
        workspace,
        kind: RequestKind::Check,
        number: 0,
        poison: false,
    })
}

fn min_and_max(values: &[f64]) -> (f64, f64) {
    let min = values.iter().copied().fold(f64::MAX, f64::min);
    (min, values.iter().copied().fold(0.0, f64::max))
}
