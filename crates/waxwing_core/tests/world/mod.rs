//! A simulated deployment: VMs with drifting clocks, a network and a store with faults.

// Included by several test programs, each of which uses a part.
#![allow(dead_code, unreachable_pub)]

mod net;
mod oracle;

use std::collections::{BTreeMap, BTreeSet};

use waxwing_core::{LeaseMode, LimitKey, LimitSpec, RateLimiter, RateLimiterSettings};
use waxwing_types::{DomainId, Incarnation, Micros, Millis, Revision, VmId, WorkspaceId};

use net::Event;
pub use oracle::{Bound, Oracle};

/// Longest time that a lowered limit may go on in force after every VM adopted it: a lease
/// between domains, and slack for the clocks.
const LEASES_OVER: u64 = 30_000;

#[derive(Clone, Debug)]
pub struct Setup {
    pub seed: u64,
    pub mode: LeaseMode,
    pub domains: usize,
    pub vms: usize,
    pub bounds: Vec<Bound>,
    /// Greatest error of a clock's rate in thousandths, which the ledgers know.
    pub drift_permille: u64,
    /// Lost and duplicated messages and lost store answers, in thousandths.
    pub loss: u64,
    /// Delayed messages, in thousandths.
    pub slow: u64,
    pub orphan_term: Millis,
    pub tick: u64,
}

pub struct Vm {
    pub id: VmId,
    pub domain: usize,
    pub ledger: Option<RateLimiter>,
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
    pub fn alive(&self) -> bool {
        self.ledger.is_some()
    }

    pub fn serves(&self) -> bool {
        self.alive() && !self.paused && !self.leaving
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
        inside: bool,
    },
    /// No VM to serve the request.
    Absent,
}

pub struct World {
    pub now: u64,
    pub setup: Setup,
    pub vms: Vec<Vm>,
    pub rng: fastrand::Rng,
    pub specs: Vec<LimitSpec>,
    pub oracles: Vec<Oracle>,
    pub overdrawn: Option<String>,
    pub cut: BTreeSet<(usize, usize)>,
    pub cut_store: BTreeSet<usize>,
    pub store_down: bool,
    /// Bits of the domains that spend.
    pub busy: u8,
    pub admitted: Vec<u64>,
    pub messages: u64,
    pub bytes: u64,
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
        let spec = |(index, bound): (usize, &Bound)| LimitSpec {
            key: key(index),
            rate: Micros::from_units(bound.rate),
            burst: Micros::from_units(bound.burst),
            domains: domains.clone(),
            revision: Revision(1),
        };
        let specs = setup.bounds.iter().enumerate().map(spec).collect();
        let oracles = setup.bounds.iter().map(|b| Oracle::new(1, *b)).collect();
        let mut world = Self {
            now: 0,
            rng: fastrand::Rng::with_seed(setup.seed),
            vms: Vec::new(),
            specs,
            oracles,
            overdrawn: None,
            cut: BTreeSet::new(),
            cut_store: BTreeSet::new(),
            store_down: false,
            busy: u8::MAX,
            admitted: vec![0; setup.bounds.len()],
            messages: 0,
            bytes: 0,
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
        self.start(index);
        index
    }

    /// Starts a process of a VM that is down.
    pub fn start(&mut self, index: usize) {
        let now = self.now;
        let setup = &self.setup;
        let vm = &mut self.vms[index];
        vm.incarnation += 1;
        let domain = domain_id(vm.domain);
        let mut settings =
            RateLimiterSettings::new(vm.id.clone(), Incarnation(vm.incarnation), domain);
        settings.lease_mode = setup.mode;
        settings.max_clock_drift_permille = setup.drift_permille;
        settings.orphan_timeout = setup.orphan_term;
        settings.entry_rewrite_interval = Millis(setup.orphan_term.0 / 12);
        vm.ledger = Some(RateLimiter::new(settings, vm.clock(now)));
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
    pub fn stop(&mut self, index: usize) {
        let now = self.vms[index].clock(self.now);
        self.vms[index].leaving = true;
        if let Some(ledger) = self.vms[index].ledger.as_mut() {
            ledger.stop(now);
        }
    }

    /// Changes a limit; `domains` are those over which it is divided.
    pub fn change_limit(&mut self, index: usize, bound: Bound, domains: &[usize]) {
        self.revision += 1;
        let spec = &mut self.specs[index];
        spec.rate = Micros::from_units(bound.rate);
        spec.burst = Micros::from_units(bound.burst);
        spec.domains = domains.iter().map(|d| domain_id(*d)).collect();
        spec.revision = Revision(self.revision);
        self.oracles[index].change(self.now, self.revision, bound);
        self.adopted_at = None;
    }

    /// One request to a VM.
    pub fn admit(&mut self, index: usize, limits: &[usize], cost: u64) -> Outcome {
        let now = self.now;
        let vm = &mut self.vms[index];
        let clock = vm.clock(now);
        let Some(ledger) = vm.ledger.as_mut().filter(|_| !vm.paused) else {
            return Outcome::Absent;
        };
        let costs: Vec<_> = limits
            .iter()
            .map(|l| (key(*l), Micros::from_units(cost)))
            .collect();
        let result = ledger.admit(clock, &costs);
        let urgent = ledger.needs_tick();
        let covered = |o: &mut Oracle| o.level(now) >= i128::from(cost) * 1000;
        let inside = limits.iter().all(|l| covered(&mut self.oracles[*l]));
        if urgent {
            self.tick(index);
        }
        if result.is_err() {
            return Outcome::Refused { inside };
        }
        if !inside {
            let level = limits.iter().map(|l| self.oracles[*l].level(now));
            let text = format!(
                "at {now} ms vm{index} overdrew {limits:?}: {:?}",
                level.min()
            );
            self.overdrawn.get_or_insert(text);
        }
        for limit in limits {
            self.oracles[*limit].admit(now, cost);
            self.admitted[*limit] += cost;
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
            .all(|vm| !vm.alive() || vm.revision >= revision);
        if !all {
            self.adopted_at = None;
            return;
        }
        let since = *self.adopted_at.get_or_insert(self.now);
        if self.now >= since + LEASES_OVER {
            for oracle in &mut self.oracles {
                oracle.retire_before(self.now, revision);
            }
        }
    }

    /// Notes if the VMs together hold more rate or burst than a limit has. This shows an overlap of
    /// leases even while the oracle has tokens left, because rates are slowed for the drift.
    pub fn check_holdings(&mut self) {
        for limit in 0..self.specs.len() {
            let (mut rate, mut burst) = (0, 0);
            for vm in &mut self.vms {
                let clock = vm.clock(self.now);
                let Some(ledger) = vm.ledger.as_mut() else {
                    continue;
                };
                let held = ledger.spendable_quota(clock, &key(limit));
                rate += held.0.0;
                burst += held.1.0;
            }
            let bound = self.oracles[limit].bound();
            let slowed = bound.rate * (1000 - self.setup.drift_permille) * 1000;
            if rate > slowed || burst > bound.burst * 1_000_000 {
                let now = self.now;
                let text = format!("at {now} ms limit {limit}: held rate {rate}, burst {burst}");
                self.overdrawn.get_or_insert(text);
            }
        }
    }

    pub fn check(&self) {
        for vm in &self.vms {
            if let Some(ledger) = vm.ledger.as_ref() {
                ledger.check_invariants(vm.clock(self.now));
            }
        }
        assert_eq!(self.overdrawn, None, "more than rate and burst");
    }
}

impl World {
    /// The reading of a VM's clock.
    pub fn clock_of(&self, vm: usize) -> Millis {
        self.vms[vm].clock(self.now)
    }

    pub fn reaches(&self, a: usize, b: usize) -> bool {
        a == b || !self.cut.contains(&(a.min(b), a.max(b)))
    }

    pub fn reaches_store(&self, domain: usize) -> bool {
        !self.store_down && !self.cut_store.contains(&domain)
    }

    pub fn vms_of(&self, domain: usize) -> Vec<usize> {
        let serving = |i: &usize| self.vms[*i].domain == domain && self.vms[*i].serves();
        (0..self.vms.len()).filter(serving).collect()
    }
}

pub fn domain_id(index: usize) -> DomainId {
    DomainId::from(format!("d{index}").as_str())
}

pub fn key(index: usize) -> LimitKey {
    LimitKey::Workspace(WorkspaceId::from(format!("w{index}").as_str()))
}
