//! Test of the fairness between workspaces, over the whole request path of one VM.
//!
//! One of eight workspaces overloads the targets. Guards against a fair queue in which requests of
//! the other workspaces are then refused or wait longer. `WAXWING_FUZZ_SEED` sets the seed.

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
/// Requests per second of each workspace but the overloading one: 80 % of an eighth of the
/// capacity.
const REQUEST_RATE: f64 = 40.0;
/// Time in ms before which requests are not counted, because the targets are still warming up.
const WARM_UP_END_MS: u64 = 20_000;
/// Length of the simulation in ms.
const SIMULATION_END_MS: u64 = 1_020_000;
/// Number of simulations whose results are combined. In a single one the 99th percentile of the
/// wait differs by up to an eighth between equal workspaces.
const SIMULATION_COUNT: u64 = 3;

#[derive(Default)]
struct WorkspaceStats {
    sent: u64,
    served: u64,
    /// Time in ms that each request waited until it was sent to a target.
    waits: Vec<u64>,
}

struct Simulation {
    now: u64,
    daemon: ModelDaemon,
    rng: Rng,
    /// Scheduled events with time in ms and sequence number, the earliest first.
    events: BinaryHeap<std::cmp::Reverse<(u64, u64, Event)>>,
    last_seq: u64,
    /// Workspace and start time in ms of each unfinished request, by flow.
    unfinished_requests: BTreeMap<u64, (usize, u64)>,
    stats_by_workspace: Vec<WorkspaceStats>,
    /// Request that each workspace sends.
    request_templates: Vec<IncomingRequest>,
    /// Intervals in ms between the requests of a workspace. All workspaces but the overloading one
    /// use the same intervals, each with another offset: with intervals of its own, a random burst
    /// of one workspace would look like unfairness.
    intervals: Vec<u64>,
    /// Index of the last used interval of each workspace.
    interval_index: Vec<usize>,
}

/// Scheduled event. The number is a workspace or a flow.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    SendRequest(usize),
    Dequeued(u64),
    Respond(u64),
    ExpireTimer(u64),
}

impl Simulation {
    fn new(seed: u64) -> Self {
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
            now: 0,
            daemon,
            rng: Rng::with_seed(seed),
            events: BinaryHeap::new(),
            last_seq: 0,
            unfinished_requests: BTreeMap::new(),
            intervals: Vec::new(),
            interval_index: Vec::new(),
            request_templates: (0..WORKSPACES).map(check_request).collect(),
            stats_by_workspace: (0..WORKSPACES).map(|_| WorkspaceStats::default()).collect(),
        }
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.last_seq += 1;
        self.events
            .push(std::cmp::Reverse((time, self.last_seq, event)));
    }

    /// Returns an exponentially distributed time in ms, at least 1.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // positive, below 2^32
    fn exponential_ms(&mut self, mean: f64) -> u64 {
        (-mean * (1.0 - self.rng.f64()).ln()).ceil().max(1.0) as u64
    }

    fn draw_intervals(&mut self) {
        let mut total = 0;
        while total < SIMULATION_END_MS - WARM_UP_END_MS {
            let interval = self.exponential_ms(1000.0 / REQUEST_RATE);
            total += interval;
            self.intervals.push(interval);
        }
        let offset = self.intervals.len() / (WORKSPACES - 1);
        self.interval_index = (0..WORKSPACES).map(|w| w * offset).collect();
    }

    fn run(&mut self) {
        self.draw_intervals();
        for workspace in 0..WORKSPACES {
            self.schedule(0, Event::SendRequest(workspace));
        }
        while let Some(std::cmp::Reverse((time, _, event))) = self.events.pop() {
            if time > SIMULATION_END_MS {
                break;
            }
            self.now = time;
            match event {
                Event::SendRequest(workspace) => self.send_request(workspace),
                Event::Dequeued(flow) => self.deliver(flow, FlowEvent::Dequeued),
                Event::ExpireTimer(flow) => {
                    let timer = self.daemon.flows.get(&flow).map(|active| active.timer);
                    if timer == Some(time) {
                        self.deliver(flow, FlowEvent::Timer);
                    }
                }
                Event::Respond(flow) => {
                    let head = FlowEvent::ResponseHead {
                        status: 200,
                        not_run: false,
                    };
                    self.deliver(flow, head);
                    self.deliver(
                        flow,
                        FlowEvent::ResponseComplete {
                            bytes_out: 0,
                            bytes_in: 0,
                        },
                    );
                }
            }
        }
    }

    fn send_request(&mut self, workspace: usize) {
        // The first workspace sends five times as many requests as each of the others.
        let interval = if workspace == 0 {
            self.exponential_ms(1000.0 / REQUEST_RATE / 5.0)
        } else {
            self.interval_index[workspace] += 1;
            self.intervals[self.interval_index[workspace] % self.intervals.len()]
        };
        self.schedule(self.now + interval, Event::SendRequest(workspace));
        let request = self.request_templates[workspace].clone();
        let id = self.last_seq;
        let flow = Flow::new(FlowId(id), request);
        let active = ActiveFlow::new(flow, 0, None);
        self.daemon.flows.insert(id, active);
        self.unfinished_requests.insert(id, (workspace, self.now));
        self.stats_by_workspace[workspace].sent += u64::from(self.now >= WARM_UP_END_MS);
        self.deliver(id, FlowEvent::Start);
    }

    fn deliver(&mut self, flow: u64, event: FlowEvent) {
        for action in self.daemon.step(self.now, flow, event) {
            match action {
                FlowAction::SetTimer(time) => {
                    if let Some(active) = self.daemon.flows.get_mut(&flow) {
                        active.timer = time.0;
                    }
                    self.schedule(time.0, Event::ExpireTimer(flow));
                }
                FlowAction::NotifyDequeued(other) => {
                    self.schedule(self.now, Event::Dequeued(other.0));
                }
                FlowAction::SendToTarget { .. } => {
                    let (workspace, sent_at) = self.unfinished_requests[&flow];
                    if sent_at >= WARM_UP_END_MS {
                        self.stats_by_workspace[workspace]
                            .waits
                            .push(self.now - sent_at);
                    }
                    // Uniformly distributed around the mean.
                    let run_ms = self.rng.u64(MEAN_RUN_MS / 2..MEAN_RUN_MS * 3 / 2);
                    self.schedule(self.now + run_ms, Event::Respond(flow));
                }
                FlowAction::RelayResponse => {
                    let (workspace, sent_at) = self.unfinished_requests[&flow];
                    self.stats_by_workspace[workspace].served +=
                        u64::from(sent_at >= WARM_UP_END_MS);
                }
                FlowAction::Refuse(_) | FlowAction::WaitInQueue | FlowAction::CancelAttempt => {}
                other => panic!("unexpected {other:?}"),
            }
        }
        let is_finished = self
            .daemon
            .flows
            .get(&flow)
            .is_some_and(|active| active.flow.is_finished());
        if is_finished {
            self.daemon.flows.remove(&flow);
            self.unfinished_requests.remove(&flow);
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
    let mut waits = Vec::new();
    for (workspace, stats) in stats_by_workspace.iter_mut().enumerate() {
        stats.waits.sort_unstable();
        let share = stats.served as f64 / stats.sent as f64;
        let p99 = stats.waits[stats.waits.len() * 99 / 100] as f64;
        println!(
            "w{workspace}: sent {}, served share {share:.4}, p99 wait {p99} ms",
            stats.sent
        );
        if workspace > 0 {
            shares.push(share);
            waits.push(p99);
        }
    }
    let (min, max) = min_and_max(&shares);
    assert!(min >= 0.9 * max, "served shares {min:.4} to {max:.4}");
    assert!(
        min >= 0.99,
        "served share {min:.4} of workspaces that demand less than their fair share"
    );
    let (min, max) = min_and_max(&waits);
    assert!(max <= 1.1 * min, "p99 waits {min} to {max} ms");
}

/// Combined results of several simulations.
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
        total.waits.extend(stats.waits);
    }
    totals
}

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
