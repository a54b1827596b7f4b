//! A simulated deployment: VMs whose clocks drift, a faulty network and a faulty store.
//!
//! All times without a type are milliseconds of simulation time, which no VM can read.

// Several tests and an example include this module, and each uses a part of it.
#![allow(dead_code, unreachable_pub)]

mod net;
mod oracle;

use std::collections::{BTreeMap, BTreeSet};

use waxwing_core::{LeaseMode, LimitKey, LimitSpec, RateLimiter, RateLimiterSettings};
use waxwing_types::{DomainId, Incarnation, Micros, Millis, Revision, VmId, WorkspaceId};

use net::Event;
pub use oracle::{Oracle, RateLimit};

/// Longest time for which an old limit may still apply after every VM has the new one: the term of
/// a lease between failure domains, and a margin for the clocks.
const OLD_LIMIT_MAX_MS: u64 = 30_000;

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Setup {
    pub seed: u64,
    pub lease_mode: LeaseMode,
    pub domains: usize,
    /// VMs in each failure domain.
    pub vms: usize,
    /// The limits, which [`limit_key`] names by their index.
    pub limits: Vec<RateLimit>,
    /// Greatest error of the rate of a clock, in thousandths. The rate limiters are configured with
    /// it.
    pub drift_permille: u64,
    /// Probability of a lost message, a duplicated message or a lost reply of the store, in
    /// thousandths.
    pub loss_permille: u64,
    /// Probability of a delayed message, in thousandths.
    pub delayed_permille: u64,
    /// See [`RateLimiterSettings::orphan_timeout`].
    pub orphan_timeout: Millis,
    /// Period in which the rate limiters are ticked.
    pub tick_ms: u64,
}

/// A VM and the process that runs on it.
pub struct Vm {
    pub id: VmId,
    pub domain: usize,
    /// The rate limiter of the running process, `None` if the VM is down.
    pub limiter: Option<RateLimiter>,
    incarnation: u64,
    /// Reading of the clock of this VM at the start of the simulation.
    clock_offset: u64,
    drift_ppm: i64,
    pub paused: bool,
    pub leaving: bool,
    /// Events that occurred while the VM was paused. It handles them when it resumes.
    deferred_events: Vec<Event>,
    /// When the VM last went down or was paused.
    down_since: u64,
    /// Version of the owners table of each domain that the VM saw last.
    seen_versions: BTreeMap<usize, u64>,
    /// Revision of the limits that the VM applies.
    revision: u64,
}

impl Vm {
    pub fn is_running(&self) -> bool {
        self.limiter.is_some()
    }

    pub fn is_serving(&self) -> bool {
        self.is_running() && !self.paused && !self.leaving
    }

    /// Reads the clock of this VM.
    fn clock(&self, now: u64) -> Millis {
        let scaled = i128::from(now) * (1_000_000 + i128::from(self.drift_ppm)) / 1_000_000;
        Millis(self.clock_offset + u64::try_from(scaled).expect("time is positive"))
    }
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Admitted,
    /// The request was refused. `within_limits` tells whether the oracles had enough tokens for it.
    Refused {
        within_limits: bool,
    },
    /// The VM is down or paused.
    VmUnavailable,
}

/// The simulation: all VMs, the network and the store.
pub struct World {
    pub now: u64,
    pub setup: Setup,
    pub vms: Vec<Vm>,
    pub rng: fastrand::Rng,
    pub specs: Vec<LimitSpec>,
    /// The oracle of each limit.
    pub oracles: Vec<Oracle>,
    /// Description of the first violation of a limit.
    pub violation: Option<String>,
    /// Pairs of failure domains that cannot reach each other, the lower index first.
    pub cut_links: BTreeSet<(usize, usize)>,
    pub domains_cut_from_store: BTreeSet<usize>,
    pub store_down: bool,
    /// Bit set of the failure domains that receive requests.
    pub busy_domains: u8,
    /// Tokens spent by the admitted requests, for each limit.
    pub admitted_tokens: Vec<u64>,
    pub message_count: u64,
    pub message_bytes: u64,
    pub store_writes: u64,
    /// The owners table of each failure domain in the store, with its version.
    owners_tables: BTreeMap<usize, (u64, Vec<u8>)>,
    /// Newest revision of the limits.
    revision: u64,
    /// When it was first seen that every VM applies the newest revision.
    applied_everywhere_at: Option<u64>,
    /// Pending events by time and sequence number.
    events: BTreeMap<(u64, u64), Event>,
    /// Sequence number of the event that was scheduled last.
    sequence: u64,
}

impl World {
    pub fn new(setup: Setup) -> Self {
        let domains: Vec<DomainId> = (0..setup.domains).map(domain_id).collect();
        let spec = |(index, limit): (usize, &RateLimit)| LimitSpec {
            key: limit_key(index),
            rate: Micros::from_units(limit.rate),
            burst: Micros::from_units(limit.burst),
            domains: domains.clone(),
            revision: Revision(1),
        };
        let specs = setup.limits.iter().enumerate().map(spec).collect();
        let oracles = setup.limits.iter().map(|l| Oracle::new(1, *l)).collect();
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
            owners_tables: BTreeMap::new(),
            revision: 1,
            applied_everywhere_at: None,
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

    /// Adds a VM with a new id and starts its process.
    pub fn add_vm(&mut self, domain: usize) -> usize {
        let index = self.vms.len();
        let max_drift_ppm =
            i64::try_from(self.setup.drift_permille * 1000).expect("drift is small");
        self.vms.push(Vm {
            id: VmId::from(format!("vm{index}").as_str()),
            domain,
            limiter: None,
            incarnation: 0,
            clock_offset: self.rng.u64(0..1_000_000_000),
            drift_ppm: self.rng.i64(-max_drift_ppm..=max_drift_ppm),
            paused: false,
            leaving: false,
            deferred_events: Vec::new(),
            down_since: 0,
            seen_versions: BTreeMap::new(),
            revision: 0,
        });
        self.start_process(index);
        index
    }

    /// Starts a new process on a VM that is down.
    pub fn start_process(&mut self, index: usize) {
        let now = self.now;
        let setup = &self.setup;
        let vm = &mut self.vms[index];
        vm.incarnation += 1;
        let domain = domain_id(vm.domain);
        let mut settings =
            RateLimiterSettings::new(vm.id.clone(), Incarnation(vm.incarnation), domain);
        settings.lease_mode = setup.lease_mode;
        settings.max_clock_drift_permille = setup.drift_permille;
        settings.orphan_timeout = setup.orphan_timeout;
        settings.entry_rewrite_interval = Millis(setup.orphan_timeout.0 / 12);
        vm.limiter = Some(RateLimiter::new(settings, vm.clock(now)));
        (vm.paused, vm.leaving, vm.revision) = (false, false, 0);
        vm.deferred_events.clear();
        vm.seen_versions.clear();
        self.start_timers(index);
    }

    pub fn kill(&mut self, index: usize) {
        self.vms[index].limiter = None;
        self.vms[index].down_since = self.now;
    }

    pub fn pause(&mut self, index: usize) {
        self.vms[index].paused = true;
        self.vms[index].down_since = self.now;
    }

    pub fn resume(&mut self, index: usize) {
        self.vms[index].paused = false;
        for event in std::mem::take(&mut self.vms[index].deferred_events) {
            self.schedule(0, event);
        }
    }

    /// Begins a planned stop. The VM goes down once it owns no shards.
    pub fn begin_stop(&mut self, index: usize) {
        let now = self.vms[index].clock(self.now);
        self.vms[index].leaving = true;
        if let Some(limiter) = self.vms[index].limiter.as_mut() {
            limiter.stop(now);
        }
    }

    /// Changes a limit, and divides it over the failure domains `domains`.
    pub fn change_limit(&mut self, index: usize, limit: RateLimit, domains: &[usize]) {
        self.revision += 1;
        let spec = &mut self.specs[index];
        spec.rate = Micros::from_units(limit.rate);
        spec.burst = Micros::from_units(limit.burst);
        spec.domains = domains.iter().map(|d| domain_id(*d)).collect();
        spec.revision = Revision(self.revision);
        self.oracles[index].add_limit(self.now, self.revision, limit);
        self.applied_everywhere_at = None;
    }

    /// Sends a request to a VM. It takes `cost` tokens of each of `limits`.
    pub fn admit(&mut self, index: usize, limits: &[usize], cost: u64) -> Outcome {
        let now = self.now;
        let vm = &mut self.vms[index];
        let clock = vm.clock(now);
        let Some(limiter) = vm.limiter.as_mut().filter(|_| !vm.paused) else {
            return Outcome::VmUnavailable;
        };
        let costs: Vec<_> = limits
            .iter()
            .map(|l| (limit_key(*l), Micros::from_units(cost)))
            .collect();
        let result = limiter.admit(clock, &costs);
        let needs_tick = limiter.needs_tick();
        let has_tokens = |o: &mut Oracle| o.available_millitokens(now) >= i128::from(cost) * 1000;
        let within_limits = limits.iter().all(|l| has_tokens(&mut self.oracles[*l]));
        if needs_tick {
            self.tick(index);
        }
        if result.is_err() {
            return Outcome::Refused { within_limits };
        }
        if !within_limits {
            let left = limits
                .iter()
                .map(|l| self.oracles[*l].available_millitokens(now));
            let text = format!(
                "at {now} ms vm{index} exceeded limits {limits:?}: {:?} millitokens left",
                left.min()
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
        self.retire_old_limits();
    }

    /// Retires the limits that no VM can apply any more.
    fn retire_old_limits(&mut self) {
        let revision = self.revision;
        let applied_everywhere = self
            .vms
            .iter()
            .all(|vm| !vm.is_running() || vm.revision >= revision);
        if !applied_everywhere {
            self.applied_everywhere_at = None;
            return;
        }
        let applied_at = *self.applied_everywhere_at.get_or_insert(self.now);
        if self.now >= applied_at + OLD_LIMIT_MAX_MS {
            for oracle in &mut self.oracles {
                oracle.retire_limits_before(self.now, revision);
            }
        }
    }

    /// Records a violation if the VMs together hold a higher rate or burst than a limit has.
    ///
    /// This detects overlapping leases even while the oracle still has tokens. The oracle alone
    /// would miss some, because the VMs reduce their rates to allow for clock drift.
    pub fn check_total_holdings(&mut self) {
        for limit in 0..self.specs.len() {
            let (mut rate, mut burst) = (0, 0);
            for vm in &mut self.vms {
                let clock = vm.clock(self.now);
                let Some(limiter) = vm.limiter.as_mut() else {
                    continue;
                };
                let held = limiter.spendable_quota(clock, &limit_key(limit));
                rate += held.0.0;
                burst += held.1.0;
            }
            let allowed = self.oracles[limit].effective_limit();
            let allowed_rate = allowed.rate * (1000 - self.setup.drift_permille) * 1000;
            if rate > allowed_rate || burst > allowed.burst * 1_000_000 {
                let now = self.now;
                let text = format!(
                    "at {now} ms the VMs hold rate {rate} and burst {burst} of limit {limit}"
                );
                self.violation.get_or_insert(text);
            }
        }
    }

    /// Checks the invariants of all rate limiters, and that no limit was violated.
    pub fn check_invariants(&self) {
        for vm in &self.vms {
            if let Some(limiter) = vm.limiter.as_ref() {
                limiter.check_invariants(vm.clock(self.now));
            }
        }
        assert_eq!(self.violation, None, "a limit was exceeded");
    }
}

impl World {
    /// Reads the clock of a VM.
    pub fn vm_clock(&self, vm: usize) -> Millis {
        self.vms[vm].clock(self.now)
    }

    pub fn domains_connected(&self, a: usize, b: usize) -> bool {
        a == b || !self.cut_links.contains(&(a.min(b), a.max(b)))
    }

    pub fn store_reachable_from(&self, domain: usize) -> bool {
        !self.store_down && !self.domains_cut_from_store.contains(&domain)
    }

    /// The VMs of a failure domain that take requests.
    pub fn serving_vms(&self, domain: usize) -> Vec<usize> {
        let is_serving = |i: &usize| self.vms[*i].domain == domain && self.vms[*i].is_serving();
        (0..self.vms.len()).filter(is_serving).collect()
    }
}

pub fn domain_id(index: usize) -> DomainId {
    DomainId::from(format!("d{index}").as_str())
}

pub fn limit_key(index: usize) -> LimitKey {
    LimitKey::Workspace(WorkspaceId::from(format!("w{index}").as_str()))
}
