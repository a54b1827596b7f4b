//! Serves eight workspaces through the whole request path of one VM whose targets are overloaded
//! by one workspace, and compares the others.
//!
//! Guards against a fair queue in which a workspace that sends too much takes service from the
//! others or makes them wait. `WAXWING_FUZZ_SEED` chooses another seed.

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

use records::{Kind, Request, adopt, arrival, key};
use vm::{Daemon, Live};

const WORKSPACES: usize = 8;
/// Targets of the service, with three slots each.
const TARGETS: usize = 8;
/// Mean time that a request runs, in ms. With 24 slots the targets serve 400 requests a second.
const SERVICE_MS: u64 = 60;
/// Requests a second of each of the seven workspaces: 80 % of an eighth of the capacity.
const RATE: f64 = 40.0;
/// Requests before this time in ms are not counted: the targets start cold.
const START: u64 = 20_000;
/// Simulated time in ms.
const END: u64 = 1_020_000;
/// Runs whose waits are taken together. The 99th percentile of one run differs by up to an eighth
/// between equal workspaces.
const RUNS: u64 = 3;

#[derive(Default)]
struct Tally {
    sent: u64,
    served: u64,
    waits: Vec<u64>,
}

struct Bench {
    now: u64,
    daemon: Daemon,
    rng: Rng,
    /// Time, number and event of a flow, the earliest first.
    events: BinaryHeap<std::cmp::Reverse<(u64, u64, Step)>>,
    seq: u64,
    arrived: BTreeMap<u64, (usize, u64)>,
    tallies: Vec<Tally>,
    arrivals: Vec<IncomingRequest>,
    /// Spans between the requests of a workspace over the counted time. The seven use the same
    /// spans, each from another point on: chance bursts of one alone would look like unfairness.
    spans: Vec<u64>,
    /// Next span of each workspace.
    next: Vec<usize>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    Released(u64),
    Head(u64),
    Timer(u64),
}

impl Bench {
    fn new(seed: u64) -> Self {
        let mut daemon = Daemon::new(0, 1, 0, seed, 0);
        daemon.checks = false;
        let targets: Vec<_> = (0..TARGETS)
            .map(|i| json!({"name": format!("t{i}"), "domain": "d0", "slots": 3, "address": format!("10.0.0.{}:80", i + 1)}))
            .collect();
        let routes =
            json!([{"method": "GET", "prefix": "/check", "idempotent": true, "timeout_ms": 2000}]);
        let mut list = vec![
            json!({"schema": 1, "kind": "service", "name": "s", "spec": {"routes": routes, "targets": targets}}),
            json!({"schema": 1, "kind": "region", "name": "r0", "spec": {"domains": [{"name": "d0"}], "spare_rate": 1, "spare_burst": 1}}),
        ];
        for w in 0..WORKSPACES {
            list.push(json!({"schema": 1, "kind": "workspace", "name": format!("w{w}"), "spec": {"rate": 1000, "burst": 1000}}));
            list.push(key(w, false));
        }
        for (version, record) in (1..).zip(&list) {
            adopt(&mut daemon.config, 0, version, record);
        }
        Self {
            now: 0,
            daemon,
            rng: Rng::with_seed(seed),
            events: BinaryHeap::new(),
            seq: 0,
            arrived: BTreeMap::new(),
            spans: Vec::new(),
            next: Vec::new(),
            arrivals: (0..WORKSPACES).map(check).collect(),
            tallies: (0..WORKSPACES).map(|_| Tally::default()).collect(),
        }
    }

    fn push(&mut self, time: u64, step: Step) {
        self.seq += 1;
        self.events.push(std::cmp::Reverse((time, self.seq, step)));
    }

    /// An exponentially distributed span in ms, at least one.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // positive, below 2^32
    fn span(&mut self, mean: f64) -> u64 {
        (-mean * (1.0 - self.rng.f64()).ln()).ceil().max(1.0) as u64
    }

    fn prepare(&mut self) {
        let mut total = 0;
        while total < END - START {
            let span = self.span(1000.0 / RATE);
            total += span;
            self.spans.push(span);
        }
        let offset = self.spans.len() / (WORKSPACES - 1);
        self.next = (0..WORKSPACES).map(|w| w * offset).collect();
    }

    fn run(&mut self) {
        self.prepare();
        for w in 0..WORKSPACES {
            self.push(0, Step::Arrive(w));
        }
        while let Some(std::cmp::Reverse((time, _, step))) = self.events.pop() {
            if time > END {
                break;
            }
            self.now = time;
            match step {
                Step::Arrive(w) => self.arrive(w),
                Step::Released(flow) => self.deliver(flow, FlowEvent::Dequeued),
                Step::Timer(flow) => {
                    let timer = self.daemon.flows.get(&flow).map(|l| l.timer);
                    if timer == Some(time) {
                        self.deliver(flow, FlowEvent::Timer);
                    }
                }
                Step::Head(flow) => {
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

    fn arrive(&mut self, w: usize) {
        // The first workspace sends five times what each of the others sends.
        let span = if w == 0 {
            self.span(1000.0 / RATE / 5.0)
        } else {
            self.next[w] += 1;
            self.spans[self.next[w] % self.spans.len()]
        };
        self.push(self.now + span, Step::Arrive(w));
        let arrival = self.arrivals[w].clone();
        let id = self.seq;
        let flow = Flow::new(FlowId(id), arrival);
        let live = Live::new(flow, 0, None);
        self.daemon.flows.insert(id, live);
        self.arrived.insert(id, (w, self.now));
        self.tallies[w].sent += u64::from(self.now >= START);
        self.deliver(id, FlowEvent::Start);
    }

    fn deliver(&mut self, flow: u64, event: FlowEvent) {
        for action in self.daemon.step(self.now, flow, event) {
            match action {
                FlowAction::SetTimer(time) => {
                    if let Some(live) = self.daemon.flows.get_mut(&flow) {
                        live.timer = time.0;
                    }
                    self.push(time.0, Step::Timer(flow));
                }
                FlowAction::NotifyDequeued(other) => self.push(self.now, Step::Released(other.0)),
                FlowAction::SendToTarget { .. } => {
                    let (w, since) = self.arrived[&flow];
                    if since >= START {
                        self.tallies[w].waits.push(self.now - since);
                    }
                    // Spread evenly around the mean.
                    let span = self.rng.u64(SERVICE_MS / 2..SERVICE_MS * 3 / 2);
                    self.push(self.now + span, Step::Head(flow));
                }
                FlowAction::RelayResponse => {
                    let (w, since) = self.arrived[&flow];
                    self.tallies[w].served += u64::from(since >= START);
                }
                FlowAction::Refuse(_) | FlowAction::WaitInQueue | FlowAction::CancelAttempt => {}
                other => panic!("unexpected {other:?}"),
            }
        }
        let finished = self
            .daemon
            .flows
            .get(&flow)
            .is_some_and(|l| l.flow.is_finished());
        if finished {
            self.daemon.flows.remove(&flow);
            self.arrived.remove(&flow);
        }
    }
}

#[test]
#[allow(clippy::cast_precision_loss)] // counts far below 2^52
fn one_workspace_at_five_times_its_rate_takes_nothing_from_the_others() {
    let seed = std::env::var("WAXWING_FUZZ_SEED").ok();
    let seed = seed.and_then(|s| s.parse().ok()).unwrap_or(7);

    let mut tallies = run_all(seed);

    let mut shares = Vec::new();
    let mut waits = Vec::new();
    for (w, tally) in tallies.iter_mut().enumerate() {
        tally.waits.sort_unstable();
        let share = tally.served as f64 / tally.sent as f64;
        let p99 = tally.waits[tally.waits.len() * 99 / 100] as f64;
        println!(
            "w{w}: sent {}, served share {share:.4}, p99 wait {p99} ms",
            tally.sent
        );
        if w > 0 {
            shares.push(share);
            waits.push(p99);
        }
    }
    let (min, max) = range(&shares);
    assert!(min >= 0.9 * max, "served shares {min:.4} to {max:.4}");
    assert!(
        min >= 0.99,
        "served share {min:.4} of a demand below the fair share"
    );
    let (min, max) = range(&waits);
    assert!(max <= 1.1 * min, "p99 waits {min} to {max} ms");
}

/// Tallies of several runs together.
fn run_all(seed: u64) -> Vec<Tally> {
    let run = |part| {
        let mut bench = Bench::new(seed * RUNS + part);
        bench.run();
        bench.tallies
    };
    let parts: Vec<Vec<Tally>> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..RUNS).map(|p| scope.spawn(move || run(p))).collect();
        let joined = threads.into_iter().map(|t| t.join().expect("a run"));
        joined.collect()
    });
    let mut sum: Vec<Tally> = (0..WORKSPACES).map(|_| Tally::default()).collect();
    for (total, part) in parts.into_iter().flat_map(|p| (0..).zip(p)) {
        let total: &mut Tally = &mut sum[total];
        total.sent += part.sent;
        total.served += part.served;
        total.waits.extend(part.waits);
    }
    sum
}

fn check(workspace: usize) -> IncomingRequest {
    arrival(Request {
        workspace,
        kind: Kind::Check,
        number: 0,
        poison: false,
    })
}

fn range(values: &[f64]) -> (f64, f64) {
    let min = values.iter().copied().fold(f64::MAX, f64::min);
    (min, values.iter().copied().fold(0.0, f64::max))
}
