//! A simulated deployment: VMs with drifting clocks, a network and a store with faults.

// Included by several test programs, each of which uses a part.
#![allow(dead_code, unreachable_pub)]

mod net;
mod oracle;

use std::collections::{BTreeMap, BTreeSet};

use waxwing_core::{LeaseMode, Ledger, LedgerSettings, LimitKey, LimitSpec};
use waxwing_types::{DomainId, Incarnation, Micros, Millis, Revision, VmId, WorkspaceId};

use net::Event;
pub use oracle::{Oracle, RateLimit};

/// Longest time that a lowered limit may go on in force after every VM adopted it: a lease
/// between domains, and slack for the clocks.
const LEASES_OVER: u64 = 30_000;

#[derive(Clone, Debug)]
pub struct Setup {
    pub seed: u64,
    pub mode: LeaseMode,
    pub domains: usize,
    pub vms: usize,
    pub limits: Vec<RateLimit>,
    /// Greatest error of a clock's rate in thousandths, which the ledgers know.
    pub drift_permille: u64,
    /// Lost and duplicated messages and lost store answers, in thousandths.
    pub loss_permille: u64,
    /// Delayed messages, in thousandths.
    pub delayed_permille: u64,
    pub orphan_term: Millis,
    pub tick_ms: u64,
}

pub struct Vm {
    pub id: VmId,
    pub domain: usize,
    pub ledger: Option<Ledger>,
    incarnation: u64,
    origin: u64,
    drift_ppm: i64,
    pub paused: bool,
    pub leaving: bool,
    withheld: Vec<Event>,
    /// True time of death or pause.
    gone_at: u64,
    seen: BTreeMap<usize, u64>,
    revision: u64,
}

impl Vm {
    pub fn is_running(&self) -> bool {
        self.ledger.is_some()
    }

    pub fn is_serving(&self) -> bool {
        self.is_running() && !self.paused && !self.leaving
    }

    fn clock(&self, now: u64) -> Millis {
        let scaled = i128::from(now) * (1_000_000 + i128::from(self.drift_ppm)) / 1_000_000;
        Millis(self.origin + u64::try_from(scaled).expect("time is positive"))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Admitted,
    /// Refused; `inside` if the demand was inside rate and burst.
    Refused {
        within_limits: bool,
    },
    /// No VM to serve the request.
    VmUnavailable,
}

pub struct World {
    pub now: u64,
    pub setup: Setup,
    pub vms: Vec<Vm>,
    pub rng: fastrand::Rng,
    pub specs: Vec<LimitSpec>,
    pub oracles: Vec<Oracle>,
    pub violation: Option<String>,
    pub cut_links: BTreeSet<(usize, usize)>,
    pub domains_cut_from_store: BTreeSet<usize>,
    pub store_down: bool,
    /// Bits of the domains that spend.
    pub busy_domains: u8,
    pub admitted_tokens: Vec<u64>,
    pub message_count: u64,
    pub message_bytes: u64,
    pub store_writes: u64,
    objects: BTreeMap<usize, (u64, Vec<u8>)>,
    revision: u64,
    /// When every VM had adopted the newest revision.
    adopted_at: Option<u64>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
}

impl World {
    pub fn new(setup: Setup) -> Self {
        let domains: Vec<DomainId> = (0..setup.domains).map(domain_id).collect();
        let spec = |(index, bound): (usize, &RateLimit)| LimitSpec {
            key: limit_key(index),
            rate: Micros::from_units(bound.rate),
            burst: Micros::from_units(bound.burst),
            domains: domains.clone(),
            revision: Revision(1),
        };
        let specs = setup.limits.iter().enumerate().map(spec).collect();
        let oracles = setup.limits.iter().map(|b| Oracle::new(1, *b)).collect();
        let mut world = Self {
            now: 0,
            rng: fastrand::Rng::with_seed(setup.seed),
            vms: Vec::new(),
            specs,
            oracles,
            violation: None,
            cut_links: BTreeSet::new(),
            domains_cut_from_store: BTreeSet::new(),
            store_down: false,
            busy_domains: u8::MAX,
            admitted_tokens: vec![0; setup.limits.len()],
            message_count: 0,
            message_bytes: 0,
            store_writes: 0,
            objects: BTreeMap::new(),
            revision: 1,
            adopted_at: None,
            events: BTreeMap::new(),
            sequence: 0,
            setup,
        };
        for _ in 0..world.setup.vms {
            for domain in 0..world.setup.domains {
                world.add_vm(domain);
            }
        }
        world
    }

    /// Starts a VM under a new id.
    pub fn add_vm(&mut self, domain: usize) -> usize {
        let index = self.vms.len();
        let bound = i64::try_from(self.setup.drift_permille * 1000).expect("drift is small");
        self.vms.push(Vm {
            id: VmId::from(format!("vm{index}").as_str()),
            domain,
            ledger: None,
            incarnation: 0,
            origin: self.rng.u64(0..1_000_000_000),
            drift_ppm: self.rng.i64(-bound..=bound),
            paused: false,
            leaving: false,
            withheld: Vec::new(),
            gone_at: 0,
            seen: BTreeMap::new(),
            revision: 0,
        });
        self.start_process(index);
        index
    }

    /// Starts a process of a VM that is down.
    pub fn start_process(&mut self, index: usize) {
        let now = self.now;
        let setup = &self.setup;
        let vm = &mut self.vms[index];
        vm.incarnation += 1;
        let domain = domain_id(vm.domain);
        let mut settings = LedgerSettings::new(vm.id.clone(), Incarnation(vm.incarnation), domain);
        settings.mode = setup.mode;
        settings.drift_permille = setup.drift_permille;
        settings.orphan_term = setup.orphan_term;
        settings.rewrite_period = Millis(setup.orphan_term.0 / 12);
        vm.ledger = Some(Ledger::new(settings, vm.clock(now)));
        (vm.paused, vm.leaving, vm.revision) = (false, false, 0);
        vm.withheld.clear();
        vm.seen.clear();
        self.start_timers(index);
    }

    pub fn kill(&mut self, index: usize) {
        self.vms[index].ledger = None;
        self.vms[index].gone_at = self.now;
    }

    pub fn pause(&mut self, index: usize) {
        self.vms[index].paused = true;
        self.vms[index].gone_at = self.now;
    }

    pub fn resume(&mut self, index: usize) {
        self.vms[index].paused = false;
        for event in std::mem::take(&mut self.vms[index].withheld) {
            self.schedule(0, event);
        }
    }

    /// Begins a planned stop.
    pub fn begin_stop(&mut self, index: usize) {
        let now = self.vms[index].clock(self.now);
        self.vms[index].leaving = true;
        if let Some(ledger) = self.vms[index].ledger.as_mut() {
            ledger.stop(now);
        }
    }

    /// Changes a limit; `domains` are those over which it is divided.
    pub fn change_limit(&mut self, index: usize, bound: RateLimit, domains: &[usize]) {
        self.revision += 1;
        let spec = &mut self.specs[index];
        spec.rate = Micros::from_units(bound.rate);
        spec.burst = Micros::from_units(bound.burst);
        spec.domains = domains.iter().map(|d| domain_id(*d)).collect();
        spec.revision = Revision(self.revision);
        self.oracles[index].add_limit(self.now, self.revision, bound);
        self.adopted_at = None;
    }

    /// One request to a VM.
    pub fn admit(&mut self, index: usize, limits: &[usize], cost: u64) -> Outcome {
        let now = self.now;
        let vm = &mut self.vms[index];
        let clock = vm.clock(now);
        let Some(ledger) = vm.ledger.as_mut().filter(|_| !vm.paused) else {
            return Outcome::VmUnavailable;
        };
        let costs: Vec<_> = limits
            .iter()
            .map(|l| (limit_key(*l), Micros::from_units(cost)))
            .collect();
        let result = ledger.admit(clock, &costs);
        let urgent = ledger.wants_tick();
        let covered = |o: &mut Oracle| o.available_millitokens(now) >= i128::from(cost) * 1000;
        let within_limits = limits.iter().all(|l| covered(&mut self.oracles[*l]));
        if urgent {
            self.tick(index);
        }
        if result.is_err() {
            return Outcome::Refused { within_limits };
        }
        if !within_limits {
            let level = limits
                .iter()
                .map(|l| self.oracles[*l].available_millitokens(now));
            let text = format!(
                "at {now} ms vm{index} overdrew {limits:?}: {:?}",
                level.min()
            );
            self.violation.get_or_insert(text);
        }
        for limit in limits {
            self.oracles[*limit].spend(now, cost);
            self.admitted_tokens[*limit] += cost;
        }
        Outcome::Admitted
    }

    /// Runs all events up to `until`.
    pub fn run_until(&mut self, until: u64) {
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= until
        {
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = until;
        self.retire_bounds();
    }

    /// Drops the bounds that can no longer be in force.
    fn retire_bounds(&mut self) {
        let revision = self.revision;
        let all = self
            .vms
            .iter()
            .all(|vm| !vm.is_running() || vm.revision >= revision);
        if !all {
            self.adopted_at = None;
            return;
        }
        let since = *self.adopted_at.get_or_insert(self.now);
        if self.now >= since + LEASES_OVER {
            for oracle in &mut self.oracles {
                oracle.retire_limits_before(self.now, revision);
            }
        }
    }

    /// Notes if the VMs together hold more rate or burst than a limit has. This shows an overlap of
    /// leases even while the oracle has tokens left, because rates are slowed for the drift.
    pub fn check_total_holdings(&mut self) {
        for limit in 0..self.specs.len() {
            let (mut rate, mut burst) = (0, 0);
            for vm in &mut self.vms {
                let clock = vm.clock(self.now);
                let Some(ledger) = vm.ledger.as_mut() else {
                    continue;
                };
                let held = ledger.holding(clock, &limit_key(limit));
                rate += held.0.0;
                burst += held.1.0;
            }
            let bound = self.oracles[limit].effective_limit();
            let slowed = bound.rate * (1000 - self.setup.drift_permille) * 1000;
            if rate > slowed || burst > bound.burst * 1_000_000 {
                let now = self.now;
                let text = format!("at {now} ms limit {limit}: held rate {rate}, burst {burst}");
                self.violation.get_or_insert(text);
            }
        }
    }

    pub fn check_invariants(&self) {
        for vm in &self.vms {
            if let Some(ledger) = vm.ledger.as_ref() {
                ledger.check_invariants(vm.clock(self.now));
            }
        }
        assert_eq!(self.violation, None, "more than rate and burst");
    }
}

impl World {
    /// The reading of a VM's clock.
    pub fn vm_clock(&self, vm: usize) -> Millis {
        self.vms[vm].clock(self.now)
    }

    pub fn domains_connected(&self, a: usize, b: usize) -> bool {
        a == b || !self.cut_links.contains(&(a.min(b), a.max(b)))
    }

    pub fn store_reachable_from(&self, domain: usize) -> bool {
        !self.store_down && !self.domains_cut_from_store.contains(&domain)
    }

    pub fn serving_vms(&self, domain: usize) -> Vec<usize> {
        let serving = |i: &usize| self.vms[*i].domain == domain && self.vms[*i].is_serving();
        (0..self.vms.len()).filter(serving).collect()
    }
}

pub fn domain_id(index: usize) -> DomainId {
    DomainId::from(format!("d{index}").as_str())
}

pub fn limit_key(index: usize) -> LimitKey {
    LimitKey::Workspace(WorkspaceId::from(format!("w{index}").as_str()))
}
