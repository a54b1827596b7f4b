//! Compares the two lease modes: requests refused while the demand was inside rate and burst.
//!
//! `cargo run --release -p waxwing_core --example limit_modes [SCENARIO]`

#[path = "../tests/world/mod.rs"]
mod world;

use waxwing_core::LeaseMode;
use waxwing_types::Millis;
use world::{Outcome, RateLimit, Setup, World};

const RATES: [u64; 8] = [20, 20, 50, 100, 200, 500, 1000, 2000];
const DOMAINS: usize = 6;
const VMS: usize = 3;
const WARM_UP: u64 = 60_000;
/// Time after which a refused request is tried once more, for a column of its own.
const RETRY: u64 = 20;
/// Demand as a part of the rate, in percent.
const DEMAND: u64 = 60;

/// A fault and the time over which refusals are counted.
struct Scenario {
    name: &'static str,
    /// Milliseconds from the start of the fault.
    length: u64,
    start: fn(&mut World),
    /// Called every second with the seconds since the start.
    each_second: fn(&mut World, u64),
}

const SCENARIOS: [Scenario; 8] = [
    Scenario {
        name: "calm",
        length: 300_000,
        start: |_| {},
        each_second: |_, _| {},
    },
    Scenario {
        name: "owner_killed",
        length: 60_000,
        start: kill_owner,
        each_second: |_, _| {},
    },
    Scenario {
        name: "owner_restarted",
        length: 60_000,
        start: kill_owner,
        each_second: restart,
    },
    Scenario {
        name: "vm_paused_30s",
        length: 60_000,
        start: pause_owner,
        each_second: resume,
    },
    Scenario {
        name: "store_down_10min",
        length: 600_000,
        start: |w| w.store_down = true,
        each_second: |_, _| {},
    },
    Scenario {
        name: "domain_cut_1h",
        length: 3_600_000,
        start: cut_domain,
        each_second: |_, _| {},
    },
    Scenario {
        name: "rolling_replace",
        length: 20_000 * (DOMAINS * VMS) as u64,
        start: |_| {},
        each_second: replace_next,
    },
    Scenario {
        name: "all_replaced_store_down_60s",
        length: 120_000,
        start: replace_all,
        each_second: store_back,
    },
];

/// The VM that owns most shards of domain 0.
fn busiest(world: &World) -> usize {
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
    let vm = busiest(world);
    world.kill(vm);
}

fn restart(world: &mut World, second: u64) {
    let dead = (0..world.vms.len()).find(|vm| !world.vms[*vm].is_running());
    if let Some(vm) = dead.filter(|_| second == 2) {
        world.start_process(vm);
    }
}

fn pause_owner(world: &mut World) {
    let vm = busiest(world);
    world.pause(vm);
}

fn resume(world: &mut World, second: u64) {
    let paused = (0..world.vms.len()).find(|vm| world.vms[*vm].paused);
    if let Some(vm) = paused.filter(|_| second == 30) {
        world.resume(vm);
    }
}

fn cut_domain(world: &mut World) {
    world.cut_links.extend((1..DOMAINS).map(|other| (0, other)));
    world.domains_cut_from_store.insert(0);
}

fn replace_next(world: &mut World, second: u64) {
    let vm = usize::try_from(second / 20).expect("the run is short");
    if second.is_multiple_of(20) && vm < DOMAINS * VMS {
        world.begin_stop(vm);
    }
    if second % 20 == 3 && vm < DOMAINS * VMS {
        world.add_vm(world.vms[vm].domain);
    }
}

fn replace_all(world: &mut World) {
    world.store_down = true;
    for vm in 0..world.vms.len() {
        world.kill(vm);
        world.add_vm(world.vms[vm].domain);
    }
}

fn store_back(world: &mut World, second: u64) {
    world.store_down &= second < 60;
}

/// Arrivals of one workspace: their time and the weight of each first VM.
struct Arrivals {
    next: f64,
    gap: f64,
    weights: Vec<u64>,
}

#[derive(Default, Clone)]
struct Count {
    asked: u64,
    refused: u64,
    /// Of these, refused once more when asked again after `RETRY`.
    again: u64,
}

struct Run {
    world: World,
    rng: fastrand::Rng,
    arrivals: Vec<Arrivals>,
    counts: Vec<Count>,
    /// Times, VMs and limits of refused requests that are tried once more.
    retries: std::collections::VecDeque<(u64, usize, usize)>,
}

impl Run {
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
            let gap = 100_000.0 / (rate * DEMAND) as f64;
            let weights = (0..DOMAINS * VMS).map(|_| rng.u64(1..=10)).collect();
            arrivals.push(Arrivals {
                next: 0.0,
                gap,
                weights,
            });
        }
        let counts = vec![Count::default(); RATES.len()];
        Self {
            world,
            rng,
            arrivals,
            counts,
            retries: std::collections::VecDeque::new(),
        }
    }

    fn run(&mut self, until: u64, mut each_second: impl FnMut(&mut World, u64)) {
        let start = self.world.now;
        let mut second = 0;
        while self.world.now < until {
            let due = start + second * 1000;
            let limit = (0..RATES.len())
                .min_by(|a, b| self.arrivals[*a].next.total_cmp(&self.arrivals[*b].next))
                .expect("workspaces exist");
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let at = self.arrivals[limit].next as u64;
            if due <= at {
                self.world.run_until(due.max(self.world.now));
                each_second(&mut self.world, second);
                second += 1;
                continue;
            }
            self.retry_until(at);
            self.world.run_until(at.max(self.world.now));
            self.request(limit);
            let gap = -self.arrivals[limit].gap * (1.0 - self.rng.f64()).ln();
            self.arrivals[limit].next += gap;
        }
    }

    fn retry_until(&mut self, until: u64) {
        while let Some((at, vm, limit)) = self.retries.pop_front_if(|r| r.0 <= until) {
            self.world.run_until(at.max(self.world.now));
            let outcome = self.world.admit(vm, &[limit], 1);
            self.counts[limit].again += u64::from(
                outcome
                    == Outcome::Refused {
                        within_limits: true,
                    },
            );
        }
    }

    fn request(&mut self, limit: usize) {
        let Some(vm) = self.serving_vm(limit) else {
            return;
        };
        let count = &mut self.counts[limit];
        match self.world.admit(vm, &[limit], 1) {
            Outcome::Admitted => count.asked += 1,
            Outcome::Refused {
                within_limits: inside,
            } => {
                count.asked += 1;
                count.refused += u64::from(inside);
                if inside {
                    self.retries.push_back((self.world.now + RETRY, vm, limit));
                }
            }
            Outcome::VmUnavailable => {}
        }
    }

    /// A weighted choice; a VM that does not serve is replaced by one of its domain, or else of
    /// any domain, as in lookups.
    fn serving_vm(&mut self, limit: usize) -> Option<usize> {
        let weights = &self.arrivals[limit].weights;
        let mut left = self.rng.u64(0..weights.iter().sum());
        let mut vm = 0;
        while left >= weights[vm] {
            left -= weights[vm];
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

fn percent(count: u64, of: u64) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let part = count as f64 / of.max(1) as f64;
    part * 100.0
}

fn measure(scenario: &Scenario, mode: LeaseMode, burst_ms: u64) {
    let mut run = Run::new(mode, 5, burst_ms);
    run.run(WARM_UP, |_, _| {});
    run.counts.fill(Count::default());
    let (messages, bytes) = (run.world.message_count, run.world.message_bytes);
    let writes = run.world.store_writes;
    (scenario.start)(&mut run.world);
    let end = run.world.now + scenario.length;
    run.run(end, scenario.each_second);
    let total = run.counts.iter().fold(Count::default(), |sum, c| Count {
        asked: sum.asked + c.asked,
        refused: sum.refused + c.refused,
        again: sum.again + c.again,
    });
    let worst = run.counts.iter().map(|c| percent(c.refused, c.asked));
    let worst = worst.fold(0.0, f64::max);
    let again = run.counts.iter().map(|c| percent(c.again, c.asked));
    let again = again.fold(0.0, f64::max);
    let seconds = scenario.length / 1000;
    println!(
        "{:28} {:8} {burst_ms:6} {:9} {:8} {:8.3} {worst:9.3} {again:8.3} {:9} {:8} {:8} {}",
        scenario.name,
        format!("{mode:?}"),
        total.asked,
        total.refused,
        percent(total.refused, total.asked),
        (run.world.message_count - messages) / seconds,
        (run.world.message_bytes - bytes) / seconds / (DOMAINS * VMS) as u64,
        run.world.store_writes - writes,
        if run.world.violation.is_some() {
            "OVERDRAWN"
        } else {
            ""
        },
    );
    if std::env::var_os("LIMIT_MODES_DETAIL").is_some() {
        for (rate, count) in RATES.iter().zip(&run.counts) {
            println!(
                "    rate {rate:5}: {:8} refused {:6} {:.3} %",
                count.asked,
                count.refused,
                percent(count.refused, count.asked)
            );
        }
    }
}

fn header(cells: [&str; 11]) {
    let [name, mode, cells @ ..] = cells;
    let widths = [6, 9, 8, 8, 9, 8, 9, 8, 8];
    let cells = cells.iter().zip(widths).map(|(c, w)| format!("{c:>w$}"));
    println!("{name:28} {mode:8} {}", cells.collect::<Vec<_>>().join(" "));
}

fn main() {
    let wanted = std::env::args().nth(1);
    header([
        "scenario", "mode", "burst", "requests", "refused", "percent", "worst %", "retried",
        "messages", "B/s", "writes",
    ]);
    header([
        "",
        "",
        "ms",
        "",
        "inside",
        "",
        "workspace",
        "worst %",
        "a second",
        "per VM",
        "in all",
    ]);
    for scenario in &SCENARIOS {
        if wanted.as_ref().is_some_and(|w| w != scenario.name) {
            continue;
        }
        for mode in [LeaseMode::Standby, LeaseMode::Store] {
            measure(scenario, mode, 2_000);
        }
    }
}
