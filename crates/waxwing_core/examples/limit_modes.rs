//! Compares the lease modes under faults by the requests that are refused although the demand is
//! within rate and burst.
//!
//! `cargo run --release -p waxwing_core --example limit_modes [SCENARIO]`

#[path = "../tests/world/mod.rs"]
mod world;

use waxwing_core::LeaseMode;
use waxwing_types::Millis;
use world::{Outcome, RateLimit, Setup, World};

/// Requests per second of each workspace's limit.
const RATES: [u64; 8] = [20, 20, 50, 100, 200, 500, 1000, 2000];
const DOMAINS: usize = 6;
/// VMs per failure domain.
const VMS: usize = 3;
const WARM_UP_MS: u64 = 60_000;
/// Time after which a refused request is retried once. Retries are counted separately.
const RETRY_DELAY_MS: u64 = 20;
/// Demand in percent of the rate.
const DEMAND_PERCENT: u64 = 60;

/// A fault, and the time for which refusals are counted.
struct Scenario {
    name: &'static str,
    /// Time from the start of the fault for which refusals are counted.
    duration_ms: u64,
    start_fault: fn(&mut World),
    /// Called every second with the number of seconds since the start of the fault.
    each_second: fn(&mut World, u64),
}

const SCENARIOS: [Scenario; 8] = [
    Scenario {
        name: "calm",
        duration_ms: 300_000,
        start_fault: |_| {},
        each_second: |_, _| {},
    },
    Scenario {
        name: "owner_killed",
        duration_ms: 60_000,
        start_fault: kill_owner,
        each_second: |_, _| {},
    },
    Scenario {
        name: "owner_restarted",
        duration_ms: 60_000,
        start_fault: kill_owner,
        each_second: restart,
    },
    Scenario {
        name: "vm_paused_30s",
        duration_ms: 60_000,
        start_fault: pause_owner,
        each_second: resume,
    },
    Scenario {
        name: "store_down_10min",
        duration_ms: 600_000,
        start_fault: |w| w.store_down = true,
        each_second: |_, _| {},
    },
    Scenario {
        name: "domain_cut_1h",
        duration_ms: 3_600_000,
        start_fault: cut_domain,
        each_second: |_, _| {},
    },
    Scenario {
        name: "rolling_replace",
        duration_ms: 20_000 * (DOMAINS * VMS) as u64,
        start_fault: |_| {},
        each_second: replace_next,
    },
    Scenario {
        name: "all_replaced_store_down_60s",
        duration_ms: 120_000,
        start_fault: replace_all,
        each_second: restore_store,
    },
];

/// The VM of domain 0 that owns the most shards.
fn vm_with_most_shards(world: &World) -> usize {
    let vms = world.serving_vms(0);
    let owned = |vm: &usize| {
        world.vms[*vm]
            .limiter
            .as_ref()
            .map_or(0, |l| l.owned_shards().len())
    };
    vms.into_iter().max_by_key(owned).expect("a VM serves")
}

fn kill_owner(world: &mut World) {
    let vm = vm_with_most_shards(world);
    world.kill(vm);
}

/// Restarts the killed VM after 2 s.
fn restart(world: &mut World, second: u64) {
    let dead = (0..world.vms.len()).find(|vm| !world.vms[*vm].is_running());
    if let Some(vm) = dead.filter(|_| second == 2) {
        world.start_process(vm);
    }
}

fn pause_owner(world: &mut World) {
    let vm = vm_with_most_shards(world);
    world.pause(vm);
}

/// Resumes the paused VM after 30 s.
fn resume(world: &mut World, second: u64) {
    let paused = (0..world.vms.len()).find(|vm| world.vms[*vm].paused);
    if let Some(vm) = paused.filter(|_| second == 30) {
        world.resume(vm);
    }
}

/// Cuts domain 0 off from the other domains and from the store.
fn cut_domain(world: &mut World) {
    world.cut_links.extend((1..DOMAINS).map(|other| (0, other)));
    world.domains_cut_from_store.insert(0);
}

/// Replaces one VM after the other: every 20 s one stops, and 3 s later a new one starts.
fn replace_next(world: &mut World, second: u64) {
    let vm = usize::try_from(second / 20).expect("the run is short");
    if second.is_multiple_of(20) && vm < DOMAINS * VMS {
        world.begin_stop(vm);
    }
    if second % 20 == 3 && vm < DOMAINS * VMS {
        world.add_vm(world.vms[vm].domain);
    }
}

/// Takes the store down and replaces all VMs at once.
fn replace_all(world: &mut World) {
    world.store_down = true;
    for vm in 0..world.vms.len() {
        world.kill(vm);
        world.add_vm(world.vms[vm].domain);
    }
}

/// Ends the store outage after 60 s.
fn restore_store(world: &mut World, second: u64) {
    world.store_down &= second < 60;
}

/// Arrivals of the requests of one workspace, as a Poisson process.
struct Arrivals {
    /// Time of the next request in milliseconds.
    next_at_ms: f64,
    mean_gap_ms: f64,
    /// How often each VM is chosen as the first one, relative to the others.
    vm_weights: Vec<u64>,
}

#[derive(Default, Clone)]
struct RequestCounts {
    requests: u64,
    /// Requests that were refused although the demand was within rate and burst.
    refused: u64,
    /// Of these, requests that were refused again when retried after `RETRY_DELAY_MS`.
    refused_again: u64,
}

/// The simulated deployment with the requests that it receives.
struct Simulation {
    world: World,
    rng: fastrand::Rng,
    arrivals: Vec<Arrivals>,
    /// Counts per workspace.
    counts: Vec<RequestCounts>,
    /// Times, VMs and limits of refused requests to retry.
    retries: std::collections::VecDeque<(u64, usize, usize)>,
}

impl Simulation {
    fn new(mode: LeaseMode, seed: u64, burst_ms: u64) -> Self {
        let bound = |rate: &u64| RateLimit {
            rate: *rate,
            burst: rate * burst_ms / 1000,
        };
        let world = World::new(Setup {
            seed,
            lease_mode: mode,
            domains: DOMAINS,
            vms: VMS,
            limits: RATES.iter().map(bound).collect(),
            drift_permille: 10,
            loss_permille: 0,
            delayed_permille: 0,
            orphan_timeout: Millis::from_secs(21_600),
            tick_ms: 100,
        });
        let mut rng = fastrand::Rng::with_seed(seed + 1);
        let mut arrivals = Vec::new();
        for rate in RATES {
            #[allow(clippy::cast_precision_loss)]
            let mean_gap_ms = 100_000.0 / (rate * DEMAND_PERCENT) as f64;
            let vm_weights = (0..DOMAINS * VMS).map(|_| rng.u64(1..=10)).collect();
            arrivals.push(Arrivals {
                next_at_ms: 0.0,
                mean_gap_ms,
                vm_weights,
            });
        }
        let counts = vec![RequestCounts::default(); RATES.len()];
        Self {
            world,
            rng,
            arrivals,
            counts,
            retries: std::collections::VecDeque::new(),
        }
    }

    /// Runs the simulation until `until`, and passes the number of each second to `each_second`.
    fn run(&mut self, until: u64, mut each_second: impl FnMut(&mut World, u64)) {
        let start = self.world.now;
        let mut second = 0;
        while self.world.now < until {
            let due = start + second * 1000;
            let limit = (0..RATES.len())
                .min_by(|a, b| {
                    self.arrivals[*a]
                        .next_at_ms
                        .total_cmp(&self.arrivals[*b].next_at_ms)
                })
                .expect("workspaces exist");
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let at = self.arrivals[limit].next_at_ms as u64;
            if due <= at {
                self.world.run_until(due.max(self.world.now));
                each_second(&mut self.world, second);
                second += 1;
                continue;
            }
            self.retry_until(at);
            self.world.run_until(at.max(self.world.now));
            self.request(limit);
            let gap = -self.arrivals[limit].mean_gap_ms * (1.0 - self.rng.f64()).ln();
            self.arrivals[limit].next_at_ms += gap;
        }
    }

    /// Retries the refused requests that are due up to `until`.
    fn retry_until(&mut self, until: u64) {
        while let Some((at, vm, limit)) = self.retries.pop_front_if(|r| r.0 <= until) {
            self.world.run_until(at.max(self.world.now));
            let outcome = self.world.admit(vm, &[limit], 1);
            self.counts[limit].refused_again += u64::from(
                outcome
                    == Outcome::Refused {
                        within_limits: true,
                    },
            );
        }
    }

    /// Sends a request of a workspace to one VM.
    fn request(&mut self, limit: usize) {
        let Some(vm) = self.serving_vm(limit) else {
            return;
        };
        let count = &mut self.counts[limit];
        match self.world.admit(vm, &[limit], 1) {
            Outcome::Admitted => count.requests += 1,
            Outcome::Refused {
                within_limits: inside,
            } => {
                count.requests += 1;
                count.refused += u64::from(inside);
                if inside {
                    self.retries
                        .push_back((self.world.now + RETRY_DELAY_MS, vm, limit));
                }
            }
            Outcome::VmUnavailable => {}
        }
    }

    /// Picks a VM at random by weight. If it is not serving, picks another one of its domain, or of
    /// any domain if that has none, as lookups do.
    fn serving_vm(&mut self, limit: usize) -> Option<usize> {
        let weights = &self.arrivals[limit].vm_weights;
        let mut remaining = self.rng.u64(0..weights.iter().sum());
        let mut vm = 0;
        while remaining >= weights[vm] {
            remaining -= weights[vm];
            vm += 1;
        }
        if self.world.vms[vm].is_serving() {
            return Some(vm);
        }
        let domain = self.world.vms[vm].domain;
        let mut serving = self.world.serving_vms(domain);
        if serving.is_empty() {
            serving = (0..DOMAINS)
                .flat_map(|d| self.world.serving_vms(d))
                .collect();
        }
        let index = self.rng.usize(0..serving.len().max(1));
        serving.get(index).copied()
    }
}

/// `count` in percent of `of`.
fn percent(count: u64, of: u64) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let part = count as f64 / of.max(1) as f64;
    part * 100.0
}

/// Runs a scenario in one lease mode, and prints its row of the table.
fn measure(scenario: &Scenario, mode: LeaseMode, burst_ms: u64) {
    let mut sim = Simulation::new(mode, 5, burst_ms);
    sim.run(WARM_UP_MS, |_, _| {});
    sim.counts.fill(RequestCounts::default());
    let (messages, bytes) = (sim.world.message_count, sim.world.message_bytes);
    let writes = sim.world.store_writes;
    (scenario.start_fault)(&mut sim.world);
    let end = sim.world.now + scenario.duration_ms;
    sim.run(end, scenario.each_second);
    let total = sim
        .counts
        .iter()
        .fold(RequestCounts::default(), |sum, c| RequestCounts {
            requests: sum.requests + c.requests,
            refused: sum.refused + c.refused,
            refused_again: sum.refused_again + c.refused_again,
        });
    let worst = sim.counts.iter().map(|c| percent(c.refused, c.requests));
    let worst = worst.fold(0.0, f64::max);
    let worst_again = sim
        .counts
        .iter()
        .map(|c| percent(c.refused_again, c.requests));
    let worst_again = worst_again.fold(0.0, f64::max);
    let seconds = scenario.duration_ms / 1000;
    println!(
        "{:28} {:8} {burst_ms:6} {:9} {:8} {:8.3} {worst:9.3} {worst_again:8.3} {:9} {:8} {:8} {}",
        scenario.name,
        format!("{mode:?}"),
        total.requests,
        total.refused,
        percent(total.refused, total.requests),
        (sim.world.message_count - messages) / seconds,
        (sim.world.message_bytes - bytes) / seconds / (DOMAINS * VMS) as u64,
        sim.world.store_writes - writes,
        if sim.world.violation.is_some() {
            "OVERDRAWN"
        } else {
            ""
        },
    );
    if std::env::var_os("LIMIT_MODES_DETAIL").is_some() {
        for (rate, count) in RATES.iter().zip(&sim.counts) {
            println!(
                "    rate {rate:5}: {:8} refused {:6} {:.3} %",
                count.requests,
                count.refused,
                percent(count.refused, count.requests)
            );
        }
    }
}

/// Prints one line of the table's header.
fn print_header(cells: [&str; 11]) {
    let [name, mode, cells @ ..] = cells;
    let widths = [6, 9, 8, 8, 9, 8, 9, 8, 8];
    let cells = cells.iter().zip(widths).map(|(c, w)| format!("{c:>w$}"));
    println!("{name:28} {mode:8} {}", cells.collect::<Vec<_>>().join(" "));
}

fn main() {
    let selected = std::env::args().nth(1);
    print_header([
        "scenario", "mode", "burst", "requests", "refused", "percent", "worst %", "retried",
        "messages", "B/s", "writes",
    ]);
    print_header([
        "",
        "",
        "ms",
        "",
        "in limit",
        "",
        "workspace",
        "worst %",
        "per s",
        "per VM",
        "total",
    ]);
    for scenario in &SCENARIOS {
        if selected.as_ref().is_some_and(|w| w != scenario.name) {
            continue;
        }
        for mode in [LeaseMode::Standby, LeaseMode::Store] {
            measure(scenario, mode, 2_000);
        }
    }
}
