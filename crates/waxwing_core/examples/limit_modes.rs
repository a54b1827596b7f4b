//! Compares the lease modes under faults. Counts requests that are wrongly refused, that is,
//! although the demand is within rate and burst. The `highest` columns show the largest percentage
//! of one workspace's requests that were wrongly refused at first, and also when retried. A row
//! ends in LIMIT EXCEEDED if the VMs together admitted or held more than a limit allows.
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
const VMS_PER_DOMAIN: usize = 3;
const WARM_UP_MS: u64 = 60_000;
/// Time after which a wrongly refused request is retried once.
const RETRY_DELAY_MS: u64 = 20;
/// Demand in percent of the rate.
const DEMAND_PERCENT: u64 = 60;

/// A fault to simulate.
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
        duration_ms: 20_000 * (DOMAINS * VMS_PER_DOMAIN) as u64,
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
    vms.into_iter()
        .max_by_key(owned)
        .expect("domain 0 has a serving VM")
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

/// Replaces the VMs in turn: every 20 s one VM stops, and 3 s later its replacement starts.
fn replace_next(world: &mut World, second: u64) {
    let vm = usize::try_from(second / 20).expect("the number of seconds fits in a usize");
    if second.is_multiple_of(20) && vm < DOMAINS * VMS_PER_DOMAIN {
        world.begin_stop(vm);
    }
    if second % 20 == 3 && vm < DOMAINS * VMS_PER_DOMAIN {
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
    /// Relative probability of each VM to be the first choice for a request.
    vm_weights: Vec<u64>,
}

#[derive(Default, Clone)]
struct RequestCounts {
    requests: u64,
    /// Wrongly refused requests.
    refused: u64,
    /// Wrongly refused requests whose retry was wrongly refused too.
    retry_refused: u64,
}

/// The simulated deployment with the requests that it receives.
struct Simulation {
    world: World,
    rng: fastrand::Rng,
    arrivals: Vec<Arrivals>,
    /// Counts per workspace.
    counts: Vec<RequestCounts>,
    /// Time in milliseconds, VM and workspace of each retry to send.
    retries: std::collections::VecDeque<(u64, usize, usize)>,
}

impl Simulation {
    /// The burst of each limit is what its rate refills in `burst_ms`.
    fn new(mode: LeaseMode, seed: u64, burst_ms: u64) -> Self {
        let limit_with_rate = |rate: &u64| RateLimit {
            rate: *rate,
            burst: rate * burst_ms / 1000,
        };
        let world = World::new(Setup {
            seed,
            lease_mode: mode,
            domains: DOMAINS,
            vms: VMS_PER_DOMAIN,
            limits: RATES.iter().map(limit_with_rate).collect(),
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
            let vm_weights = (0..DOMAINS * VMS_PER_DOMAIN)
                .map(|_| rng.u64(1..=10))
                .collect();
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

    /// Runs the simulation until `until_ms`, and calls `each_second` for each second.
    fn run(&mut self, until_ms: u64, mut each_second: impl FnMut(&mut World, u64)) {
        let start_ms = self.world.now;
        let mut second = 0;
        while self.world.now < until_ms {
            let next_second_ms = start_ms + second * 1000;
            let workspace = (0..RATES.len())
                .min_by(|a, b| {
                    self.arrivals[*a]
                        .next_at_ms
                        .total_cmp(&self.arrivals[*b].next_at_ms)
                })
                .expect("there is at least one workspace");
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let at_ms = self.arrivals[workspace].next_at_ms as u64;
            if next_second_ms <= at_ms {
                self.world.run_until(next_second_ms.max(self.world.now));
                each_second(&mut self.world, second);
                second += 1;
                continue;
            }
            self.retry_until(at_ms);
            self.world.run_until(at_ms.max(self.world.now));
            self.request(workspace);
            let gap_ms = -self.arrivals[workspace].mean_gap_ms * (1.0 - self.rng.f64()).ln();
            self.arrivals[workspace].next_at_ms += gap_ms;
        }
    }

    /// Sends the retries whose time is at most `until_ms`.
    fn retry_until(&mut self, until_ms: u64) {
        while let Some((at_ms, vm, workspace)) = self.retries.pop_front_if(|r| r.0 <= until_ms) {
            self.world.run_until(at_ms.max(self.world.now));
            let outcome = self.world.admit(vm, &[workspace], 1);
            self.counts[workspace].retry_refused += u64::from(
                outcome
                    == Outcome::Refused {
                        within_limits: true,
                    },
            );
        }
    }

    /// Sends a request of a workspace to one VM. Sends nothing if no VM is serving.
    fn request(&mut self, workspace: usize) {
        let Some(vm) = self.serving_vm(workspace) else {
            return;
        };
        let count = &mut self.counts[workspace];
        match self.world.admit(vm, &[workspace], 1) {
            Outcome::Admitted => count.requests += 1,
            Outcome::Refused { within_limits } => {
                count.requests += 1;
                count.refused += u64::from(within_limits);
                if within_limits {
                    self.retries
                        .push_back((self.world.now + RETRY_DELAY_MS, vm, workspace));
                }
            }
            Outcome::VmUnavailable => {}
        }
    }

    /// Picks a VM at random by weight. If that VM is not serving, picks a serving VM of its domain.
    /// If the domain has no serving VM, picks a serving VM of any domain.
    fn serving_vm(&mut self, workspace: usize) -> Option<usize> {
        let weights = &self.arrivals[workspace].vm_weights;
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
    let (messages_before, bytes_before) = (sim.world.message_count, sim.world.message_bytes);
    let writes_before = sim.world.store_writes;
    (scenario.start_fault)(&mut sim.world);
    let end_ms = sim.world.now + scenario.duration_ms;
    sim.run(end_ms, scenario.each_second);
    let total = sim
        .counts
        .iter()
        .fold(RequestCounts::default(), |sum, c| RequestCounts {
            requests: sum.requests + c.requests,
            refused: sum.refused + c.refused,
            retry_refused: sum.retry_refused + c.retry_refused,
        });
    let refused_percents = sim.counts.iter().map(|c| percent(c.refused, c.requests));
    let max_refused_percent = refused_percents.fold(0.0, f64::max);
    let retry_percents = sim
        .counts
        .iter()
        .map(|c| percent(c.retry_refused, c.requests));
    let max_retry_percent = retry_percents.fold(0.0, f64::max);
    let seconds = scenario.duration_ms / 1000;
    println!(
        "{:28} {:8} {burst_ms:6} {:9} {:8} {:8.3} {max_refused_percent:9.3} \
         {max_retry_percent:8.3} {:9} {:8} {:8} {}",
        scenario.name,
        format!("{mode:?}"),
        total.requests,
        total.refused,
        percent(total.refused, total.requests),
        (sim.world.message_count - messages_before) / seconds,
        (sim.world.message_bytes - bytes_before) / seconds / (DOMAINS * VMS_PER_DOMAIN) as u64,
        sim.world.store_writes - writes_before,
        if sim.world.violation.is_some() {
            "LIMIT EXCEEDED"
        } else {
            ""
        },
    );
    if std::env::var_os("LIMIT_MODES_DETAIL").is_some() {
        for (rate, count) in RATES.iter().zip(&sim.counts) {
            println!(
                "    rate {rate:5}: {:8} requests, {:6} wrongly refused, {:.3} %",
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
        "scenario", "mode", "burst", "requests", "wrongly", "refused", "highest", "highest",
        "messages", "B/s", "writes",
    ]);
    print_header([
        "", "", "ms", "", "refused", "percent", "refused%", "retry %", "per s", "per VM", "total",
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
