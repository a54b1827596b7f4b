//! Which target a request goes to.
//!
//! Own observations decide: of two random candidates the one with the lower load times latency
//! gets the request. A target's load report only breaks near ties and lowers its concurrency, so
//! that a stale or wrong report cannot draw all traffic to one target.

mod state;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use fastrand::Rng;
use waxwing_records::{Service, Target};
use waxwing_types::{DomainId, Millis, Revision, ServiceId, TargetId, common_derives};

use crate::Config;
use state::{Distance, State};

pub use state::{LoadReport, Observation};

/// Ratio of two scores up to which the load report decides.
const NEAR_TIE: f64 = 1.05;

common_derives! {
    /// A slot of a target that a request holds.
    pub struct Slot {
        /// Service of the target.
        pub service: ServiceId,
        /// The target.
        pub target: TargetId,
        /// Address of the target.
        pub address: SocketAddr,
        generation: u64,
    }
}

common_derives! {
    copy
    /// What the targets of a service in reach can take.
    #[derive(Default)]
    pub struct Capacity {
        /// Targets that may get new work.
        pub usable: usize,
        /// Sum of their concurrency limits.
        pub limit: u32,
        /// Requests that may be sent now.
        pub free: u32,
        /// Average time to the head of an answer. Zero while nothing is known.
        pub latency: Millis,
    }
}

impl Capacity {
    /// Share of the concurrency in use, in thousandths.
    pub fn load(&self) -> u64 {
        let used = u64::from(self.limit.saturating_sub(self.free));
        used * 1000 / u64::from(self.limit.max(1))
    }
}

/// The targets of one service.
#[derive(Debug, Default)]
struct Pool {
    record: Option<Arc<Service>>,
    revision: Revision,
    states: Vec<State>,
    generations: u64,
}

/// Observations of all targets.
#[derive(Debug)]
pub struct TargetTable {
    domain: DomainId,
    pools: BTreeMap<ServiceId, Pool>,
}

impl TargetTable {
    /// A table without observations, of a daemon in this failure domain.
    pub fn new(domain: DomainId) -> Self {
        Self {
            domain,
            pools: BTreeMap::new(),
        }
    }

    /// Takes over the service's targets from the records in force. Observations are kept while
    /// name and address stay the same.
    pub fn sync(&mut self, now: Millis, config: &Config, service: &ServiceId) {
        if !self.pools.contains_key(service) && config.service(service).is_none() {
            return;
        }
        let pool = self.pools.entry(service.clone()).or_default();
        let record = config.service(service);
        let same = match (&pool.record, record) {
            (Some(old), Some(new)) => Arc::ptr_eq(old, new),
            (None, None) => true,
            (Some(_), None) | (None, Some(_)) => false,
        };
        if same && pool.revision == config.revision() {
            return;
        }
        pool.record = record.cloned();
        pool.revision = config.revision();
        pool.adopt(now, config, &self.domain);
    }

    /// Takes a slot: near targets first, of two random ones the better. Targets in `avoid` are
    /// taken only if no other has a free slot.
    pub fn take(
        &mut self,
        now: Millis,
        service: &ServiceId,
        avoid: &[TargetId],
        rng: &mut Rng,
    ) -> Option<Slot> {
        let pool = self.pools.get_mut(service)?;
        let at = pool.choose(now, avoid, rng)?;
        let state = &mut pool.states[at];
        state.in_flight += 1;
        Some(Slot {
            service: service.clone(),
            target: state.spec.name.clone(),
            address: state.spec.address,
            generation: state.generation,
        })
    }

    /// Gives a slot back.
    pub fn give_back(&mut self, slot: &Slot) {
        let Some(pool) = self.pools.get_mut(&slot.service) else {
            return;
        };
        if let Some(state) = pool.state(slot) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
        pool.states.retain(|s| !s.gone || s.in_flight > 0);
    }

    /// Takes in what an attempt showed.
    pub fn observe(&mut self, now: Millis, slot: &Slot, seen: Observation) {
        let Some(pool) = self.pools.get_mut(&slot.service) else {
            return;
        };
        let may_eject = pool.may_eject(now, slot);
        if let Some(state) = pool.state(slot) {
            state.observe(now, seen, may_eject);
        }
    }

    /// Takes in a target's load report.
    pub fn on_report(
        &mut self,
        now: Millis,
        service: &ServiceId,
        target: &TargetId,
        report: LoadReport,
    ) {
        let states = self.pools.get_mut(service).map(|p| &mut p.states);
        let named = |s: &&mut State| s.spec.name == *target && !s.gone;
        if let Some(state) = states.into_iter().flatten().find(named) {
            state.on_report(now, report);
        }
    }
}

impl TargetTable {
    /// What the service's targets in this region can take.
    pub fn capacity(&self, now: Millis, service: &ServiceId) -> Capacity {
        let Some(pool) = self.pools.get(service) else {
            return Capacity::default();
        };
        let mut sum = Capacity {
            latency: state::span(pool.known_latency().unwrap_or(0.0)),
            ..Capacity::default()
        };
        for state in &pool.states {
            if state.is_usable(now) {
                sum.usable += 1;
                sum.limit += state.limit(now);
                sum.free += state.free(now);
            }
        }
        sum
    }

    /// Requests in flight at a target.
    pub fn in_flight(&self, service: &ServiceId, target: &TargetId) -> u32 {
        self.pools
            .get(service)
            .iter()
            .flat_map(|p| &p.states)
            .filter(|s| s.spec.name == *target)
            .map(|s| s.in_flight)
            .sum()
    }

    /// Targets that are ejected now, with their services.
    pub fn ejected(&self, now: Millis) -> impl Iterator<Item = (&ServiceId, &TargetId)> {
        self.pools.iter().flat_map(move |(service, pool)| {
            let states = pool.states.iter().filter(move |s| s.is_ejected(now));
            states.map(move |s| (service, &s.spec.name))
        })
    }

    /// Asserts what must hold after every call.
    ///
    /// # Panics
    /// An invariant does not hold.
    pub fn check_invariants(&self) {
        for state in self.pools.values().flat_map(|p| &p.states) {
            state.check_invariants();
            let idle = state.gone && state.in_flight == 0;
            assert!(!idle, "{}: idle target of no record kept", state.spec.name);
        }
    }
}

impl Pool {
    fn adopt(&mut self, now: Millis, config: &Config, domain: &DomainId) {
        let record = self.record.clone();
        for state in &mut self.states {
            state.gone = true;
        }
        for spec in record.iter().flat_map(|r| &r.targets) {
            let distance = distance(config, domain, spec);
            let same = |s: &&mut State| s.spec.name == spec.name && s.spec.address == spec.address;
            if let Some(state) = self.states.iter_mut().find(same) {
                state.set_spec(spec.clone(), distance);
                continue;
            }
            self.generations += 1;
            let state = State::new(now, spec.clone(), distance, self.generations);
            self.states.push(state);
        }
        self.states.retain(|s| !s.gone || s.in_flight > 0);
    }

    fn state(&mut self, slot: &Slot) -> Option<&mut State> {
        let mut states = self.states.iter_mut();
        states.find(|s| s.generation == slot.generation)
    }
}

impl Pool {
    fn choose(&self, now: Millis, avoid: &[TargetId], rng: &mut Rng) -> Option<usize> {
        let free = |at: &usize| {
            let state = &self.states[*at];
            state.is_usable(now) && state.free(now) > 0
        };
        let all: Vec<usize> = (0..self.states.len()).filter(free).collect();
        let rank = |at: &usize| {
            let state = &self.states[*at];
            let avoided = avoid.contains(&state.spec.name);
            (avoided, state.is_last(now), state.distance)
        };
        let best = all.iter().map(rank).min()?;
        let candidates: Vec<usize> = all.into_iter().filter(|at| rank(at) == best).collect();
        let first = rng.usize(..candidates.len());
        if candidates.len() == 1 {
            return Some(candidates[0]);
        }
        let step = rng.usize(1..candidates.len());
        let second = (first + step) % candidates.len();
        Some(self.better(now, candidates[first], candidates[second]))
    }

    fn better(&self, now: Millis, a: usize, b: usize) -> usize {
        let usual = self.known_latency().unwrap_or(1.0);
        let score = |at: usize| self.states[at].score(now, usual);
        let (score_a, score_b) = (score(a), score(b));
        let near = score_a.max(score_b) <= score_a.min(score_b) * NEAR_TIE;
        // A target that nothing is known of could be kept unknown by another's report.
        let known = |at: usize| self.states[at].known_latency().is_some();
        if near
            && known(a)
            && known(b)
            && let (Some(load_a), Some(load_b)) =
                (self.states[a].reported(now), self.states[b].reported(now))
            && load_a != load_b
        {
            return if load_a < load_b { a } else { b };
        }
        if score_a <= score_b { a } else { b }
    }

    /// Mean latency of the targets on which something is known.
    fn known_latency(&self) -> Option<f64> {
        let known = self.states.iter().filter_map(State::known_latency);
        let (count, sum) = known.fold((0.0, 0.0), |(n, sum), l| (n + 1.0, sum + l));
        (count > 0.0).then_some(sum / count)
    }

    /// Whether the target may be ejected: never more than half of those of its failure domain.
    fn may_eject(&self, now: Millis, slot: &Slot) -> bool {
        let own = self.states.iter().find(|s| s.generation == slot.generation);
        let Some(own) = own else {
            return false;
        };
        let same = |s: &&State| s.spec.domain == own.spec.domain && !s.spec.leaving && !s.gone;
        let peers = self.states.iter().filter(same);
        let (mut total, mut ejected) = (0, 0);
        for state in peers {
            total += 1;
            let other = state.generation != own.generation;
            ejected += usize::from(other && state.is_ejected(now));
        }
        (ejected + 1) * 2 <= total
    }
}

fn distance(config: &Config, domain: &DomainId, spec: &Target) -> Distance {
    if spec.domain == *domain {
        return Distance::Domain;
    }
    let here = config.region_of(domain);
    if here.is_some() && config.region_of(&spec.domain) == here {
        return Distance::Region;
    }
    Distance::Remote
}
