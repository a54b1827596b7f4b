//! What a run is measured by.

use std::collections::BTreeMap;

use waxwing_core::Refusal;
use waxwing_types::{Ran, RefusalReason};

use super::size::{CAP, REGIONS, SPARE, Size, WORKSPACES};
use super::world::World;

/// Counts of one workspace.
#[derive(Clone, Debug, Default)]
struct Count {
    asked: u64,
    inside: u64,
    served: u64,
    failed: u64,
    refused: u64,
    /// Refused although inside rate and burst.
    refused_inside: u64,
    latencies: Vec<u64>,
}

/// Counters of a run.
#[derive(Debug)]
pub(super) struct Meter {
    on: bool,
    since: u64,
    counts: Vec<Count>,
    /// Tokens in millionths, rate and burst of each workspace, and the time of the last refill.
    buckets: Vec<(u64, u64, u64, u64)>,
    /// The same fed with admissions; the tokens become negative by what exceeds rate and burst.
    spent: Vec<(i64, i64, u64)>,
    overdraft: i64,
    reasons: BTreeMap<RefusalReason, u64>,
    moved: Vec<u64>,
    region_work: Vec<Vec<u64>>,
    /// Time of the last run for each workspace by requests that entered in each failure domain.
    last_runs: Vec<[u64; super::size::DOMAINS]>,
    pub(super) crashes: Vec<u64>,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests sent.
    pub asked: u64,
    /// Requests refused.
    pub refused: u64,
    /// Quantiles of the time until the complete answer in ms: p50, p99, p99.9.
    pub latency: [f64; 3],
    /// Share of target slots free, in percent.
    pub headroom: f64,
    /// Greatest mean utilisation of one target, in percent.
    pub peak_use: f64,
    /// Time in ms in which the leaving target became idle, beyond its longest running request.
    pub drain: Option<f64>,
    /// Served share of the worst and the best workspace, in percent of its demand inside its rate;
    /// without the one that exceeds its rate.
    pub shares: (f64, f64),
    /// p99 of the worst and the best workspace in ms, without the one that exceeds its rate.
    pub tails: (f64, f64),
    /// Refusals although inside rate and burst, in percent of the demand inside them.
    pub false_refusals: f64,
    /// The same without those that lack a reachable store for the idempotency record.
    pub false_without_claims: f64,
    /// Requests without answer, in percent.
    pub failed: f64,
    /// Refusals inside rate and burst, by reason.
    pub reasons: BTreeMap<RefusalReason, u64>,
    /// Greatest number of moved requests in a second, in percent of rate and burst of the cap.
    pub moved: f64,
    /// Requests moved in all.
    pub moved_count: usize,
    /// The same for work that other regions sent to a region, of its spare capacity.
    pub region_work: f64,
    /// Time in ms from the first to the last crash by a poison request.
    pub crash_span: f64,
    /// Requests of a workspace admitted beyond rate and burst, at most.
    pub overdraft: i64,
}

impl Meter {
    pub(super) fn new(size: &Size) -> Self {
        let bucket = |w| (size.burst(w) * 1_000_000, size.rate(w), size.burst(w), 0);
        Self {
            on: false,
            since: 0,
            counts: vec![Count::default(); WORKSPACES],
            buckets: (0..WORKSPACES).map(bucket).collect(),
            spent: (0..WORKSPACES)
                .map(|w| (signed(size.burst(w)) * 1_000_000, signed(size.rate(w)), 0))
                .collect(),
            overdraft: 0,
            reasons: BTreeMap::new(),
            moved: Vec::new(),
            region_work: vec![Vec::new(); REGIONS],
            last_runs: vec![[0; super::size::DOMAINS]; WORKSPACES],
            crashes: Vec::new(),
        }
    }

    /// Takes in a request. Returns whether it is inside rate and burst.
    pub(super) fn offer(&mut self, now: u64, workspace: usize) -> bool {
        let (tokens, rate, burst, at) = &mut self.buckets[workspace];
        *tokens = (*tokens + *rate * (now - *at)).min(*burst * 1_000_000);
        *at = now;
        let inside = *tokens >= 1_000_000;
        *tokens -= if inside { 1_000_000 } else { 0 };
        inside
    }

    /// Takes in an admission.
    pub(super) fn on_admission(&mut self, now: u64, workspace: usize) {
        let most = signed(self.buckets[workspace].2) * 1_000_000;
        let (tokens, rate, at) = &mut self.spent[workspace];
        *tokens = (*tokens + *rate * signed(now - *at)).min(most) - 1_000_000;
        *at = now;
        self.overdraft = self.overdraft.max(-*tokens);
    }

    pub(super) fn on_moved(&mut self, now: u64) {
        self.moved.push(now);
    }

    pub(super) fn on_region_work(&mut self, now: u64, region: usize) {
        self.region_work[region].push(now);
    }

    pub(super) fn on_run(&mut self, now: u64, workspace: usize, domain: usize) {
        self.last_runs[workspace][domain] = now;
    }

    /// The count of a request's workspace, if the request was sent while measuring.
    fn count(&mut self, sent: u64, workspace: usize) -> Option<&mut Count> {
        (self.on && sent >= self.since).then(|| &mut self.counts[workspace])
    }
}

impl World {
    /// Begins to measure: requests sent from now on count.
    pub fn begin_measuring(&mut self) {
        self.meter.on = true;
        self.meter.since = self.now;
        self.meter.moved.clear();
        self.meter.region_work = vec![Vec::new(); REGIONS];
        for target in self.targets.iter_mut().flatten() {
            target.account(self.now);
            target.area = 0;
        }
    }

    pub(super) fn serve(&mut self, root: usize, vm: usize) {
        if std::mem::replace(&mut self.roots[root].done, true) {
            return;
        }
        let state = self.roots[root].clone();
        let delay = self.caller_delay(state.caller, vm);
        let span = self.now + delay - state.sent;
        if let Some(count) = self.meter.count(state.sent, state.workspace) {
            count.asked += 1;
            count.inside += u64::from(state.inside);
            count.served += 1;
            count.latencies.push(span);
        }
    }

    pub(super) fn fail(&mut self, root: usize) {
        if std::mem::replace(&mut self.roots[root].done, true) {
            return;
        }
        let state = self.roots[root].clone();
        if let Some(count) = self.meter.count(state.sent, state.workspace) {
            count.asked += 1;
            count.inside += u64::from(state.inside);
            count.failed += 1;
        }
    }

    pub(super) fn refuse(&mut self, root: usize, refusal: Refusal) {
        if refusal.ran != Ran::No {
            self.fail(root);
            return;
        }
        if std::mem::replace(&mut self.roots[root].done, true) {
            return;
        }
        let state = self.roots[root].clone();
        let Some(count) = self.meter.count(state.sent, state.workspace) else {
            return;
        };
        count.asked += 1;
        count.inside += u64::from(state.inside);
        count.refused += 1;
        count.refused_inside += u64::from(state.inside);
        if state.inside && self.demand[state.workspace] <= 100 {
            *self.meter.reasons.entry(refusal.reason).or_default() += 1;
        }
    }

    /// The result for the requests that are answered by now.
    pub fn outcome(&mut self) -> Outcome {
        for target in self.targets.iter_mut().flatten() {
            target.account(self.now);
        }
        let span = (self.now - self.meter.since).max(1);
        let slots: usize = self.targets.iter().flatten().map(|t| t.slots).sum();
        let area: u64 = self.targets.iter().flatten().map(|t| t.area).sum();
        let uses = self.targets.iter().flatten();
        let uses = uses.map(|t| part(t.area, span * t.slots as u64));
        let meter = &self.meter;
        let mut all: Vec<u64> = meter
            .counts
            .iter()
            .flat_map(|c| c.latencies.clone())
            .collect();
        all.sort_unstable();
        let steady: Vec<_> = (0..WORKSPACES).filter(|w| self.demand[*w] <= 100).collect();
        let shares = steady.iter().map(|w| meter.counts[*w].share());
        let tails = steady.iter().map(|w| meter.counts[*w].tail());
        let (wrong, inside) = meter.counts.iter().fold((0, 0), |sum, count| {
            (sum.0 + count.wrong(), sum.1 + count.inside)
        });
        let claims = meter.reasons.get(&RefusalReason::ClaimUnavailable);
        let claims = claims.copied().unwrap_or(0).min(wrong);
        let asked: u64 = meter.counts.iter().map(|c| c.asked).sum();
        let failed: u64 = meter.counts.iter().map(|c| c.failed).sum();
        let regions = meter.region_work.iter().map(|t| peak(t, SPARE));
        Outcome {
            asked,
            refused: meter.counts.iter().map(|c| c.refused).sum(),
            latency: [500, 990, 999].map(|q| quantile(&all, q)),
            headroom: 100.0 - part(area, span * slots as u64),
            peak_use: uses.fold(0.0, f64::max),
            drain: self.drain_time(),
            shares: bounds(shares),
            tails: swap(bounds(tails)),
            false_refusals: part(wrong, inside),
            false_without_claims: part(wrong - claims, inside),
            failed: part(failed, asked),
            reasons: self.meter.reasons.clone(),
            moved: peak(&self.meter.moved, CAP),
            moved_count: self.meter.moved.len(),
            region_work: regions.fold(0.0, f64::max),
            crash_span: self.crash_span(),
            overdraft: self.meter.overdraft / 1_000_000,
        }
    }

    /// Time of the last run of a workspace, in ms, by requests that entered outside a domain.
    pub fn last_run(&self, workspace: usize, except: Option<usize>) -> u64 {
        let runs = self.meter.last_runs[workspace].iter().enumerate();
        let runs = runs.filter(|(domain, _)| Some(*domain) != except);
        runs.map(|(_, time)| time / 1000).max().unwrap_or(0)
    }

    /// Infinite if no request crashed a target, so that a bound on it cannot be met by accident.
    fn crash_span(&self) -> f64 {
        let crashes = &self.meter.crashes;
        let (Some(first), Some(last)) = (crashes.first(), crashes.last()) else {
            return f64::INFINITY;
        };
        millis(last - first)
    }

    fn drain_time(&self) -> Option<f64> {
        let target = self
            .targets
            .iter()
            .flatten()
            .find(|t| t.leaving_since.is_some())?;
        let marked = target.leaving_since?;
        let (last, longest) = target.drained;
        if !target.running.is_empty() {
            return Some(f64::INFINITY);
        }
        Some(millis(last.saturating_sub(marked).saturating_sub(longest)))
    }
}

impl Count {
    /// Served part of what was inside the rate, in percent.
    fn share(&self) -> f64 {
        part(self.served.min(self.inside), self.inside)
    }

    fn tail(&self) -> f64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        quantile(&sorted, 990)
    }

    /// Refusals of demand inside the rate. A workspace that exceeds its rate may have other
    /// requests refused than the bucket names, so only what is missing in all counts.
    fn wrong(&self) -> u64 {
        let admitted = self.asked - self.refused;
        if self.inside < self.asked {
            return self
                .inside
                .saturating_sub(admitted)
                .min(self.refused_inside);
        }
        self.refused_inside
    }
}

/// Greatest count in any second, in percent of rate and burst.
fn peak(times: &[u64], (rate, burst): (u64, u64)) -> f64 {
    let mut first = 0;
    let mut most = 0;
    for (last, time) in times.iter().enumerate() {
        while time - times[first] >= 1_000_000 {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    part(most as u64, rate + burst)
}

fn signed(amount: u64) -> i64 {
    i64::try_from(amount).unwrap_or(i64::MAX)
}

fn bounds(values: impl Iterator<Item = f64>) -> (f64, f64) {
    values.fold((f64::INFINITY, 0.0), |(low, high), v| {
        (low.min(v), high.max(v))
    })
}

fn swap((a, b): (f64, f64)) -> (f64, f64) {
    (b, a)
}

#[allow(clippy::cast_precision_loss)]
fn part(amount: u64, whole: u64) -> f64 {
    amount as f64 * 100.0 / whole.max(1) as f64
}

#[allow(clippy::cast_precision_loss)]
fn millis(micros: u64) -> f64 {
    micros as f64 / 1000.0
}

fn quantile(sorted: &[u64], permille: usize) -> f64 {
    let at = (sorted.len() * permille / 1000).min(sorted.len().saturating_sub(1));
    sorted.get(at).map_or(0.0, |v| millis(*v))
}
