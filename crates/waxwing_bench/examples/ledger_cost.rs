//! Processor time, messages and memory of the rate limits of one failure domain, in virtual time.
//!
//! `cargo run --release -p waxwing_bench --example ledger_cost -- [--vms 34] [--limits 1000]
//! [--active 100] [--seconds 60]`
//!
//! Every VM admits requests of `active` limits at 60 % of the rate. Each run measures one size,
//! since memory that was freed stays in the resident size.

use std::time::{Duration, Instant};

use anyhow::Context;
use lexopt::prelude::*;
use waxwing_core::{
    LimitKey, LimitSpec, OwnersTable, OwnersWriteOutcome, RateLimiter, RateLimiterAction,
    RateLimiterSettings,
};
use waxwing_types::{DomainId, Incarnation, Micros, Millis, Revision, VmId, WorkspaceId};

const TICK: Millis = Millis(100);
const WARM_UP: Millis = Millis::from_secs(30);
/// Requests a second of one limit over the domain.
const RATE: u64 = 100;
/// Demand as a share of the rate, in percent.
const DEMAND: u64 = 60;

struct Options {
    vms: usize,
    limits: usize,
    active: usize,
    seconds: u64,
}

#[derive(Default)]
struct Totals {
    spent: Duration,
    borrows: u64,
    asks: u64,
    renews: u64,
    store_calls: u64,
    admitted: u64,
    refused: u64,
}

struct Domain {
    ledgers: Vec<RateLimiter>,
    /// The table of owners with its version, as the store holds it.
    table: Option<(Revision, OwnersTable)>,
    version: u64,
    totals: Totals,
}

fn main() -> anyhow::Result<()> {
    let options = options()?;
    let before = resident_kb()?;
    let mut domain = Domain::new(&options);
    let end = WARM_UP + Millis::from_secs(options.seconds);
    let mut now = Millis(1000);
    while now < end {
        if now.since(WARM_UP) == Millis::ZERO {
            domain.totals = Totals::default();
        }
        domain.demand(now, &options);
        domain.tick(now);
        now += TICK;
    }
    report(
        &options,
        &domain.totals,
        resident_kb()?.saturating_sub(before),
    );
    Ok(())
}

fn options() -> anyhow::Result<Options> {
    let mut options = Options {
        vms: 34,
        limits: 1000,
        active: 100,
        seconds: 60,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("vms") => options.vms = parser.value()?.parse()?,
            Long("limits") => options.limits = parser.value()?.parse()?,
            Long("active") => options.active = parser.value()?.parse()?,
            Long("seconds") => options.seconds = parser.value()?.parse()?,
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(options)
}

fn resident_kb() -> anyhow::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let text = line.and_then(|l| l.split_whitespace().nth(1));
    text.context("no VmRSS in /proc/self/status")?
        .parse()
        .context("VmRSS is not a number")
}

fn workspace(index: usize) -> LimitKey {
    LimitKey::Workspace(WorkspaceId::from(format!("workspace-{index}").as_str()))
}

fn vm(index: usize) -> VmId {
    VmId::from(format!("vm-{index}").as_str())
}

fn index_of(vm: &VmId) -> usize {
    let number = vm.as_str().trim_start_matches("vm-").parse();
    number.expect("ids are made by vm()")
}

fn specs(options: &Options, domain: &DomainId) -> Vec<LimitSpec> {
    let spec = |index| LimitSpec {
        key: workspace(index),
        rate: Micros::from_units(RATE),
        burst: Micros::from_units(RATE),
        domains: vec![domain.clone()],
        revision: Revision(1),
    };
    (0..options.limits).map(spec).collect()
}

impl Domain {
    fn new(options: &Options) -> Self {
        let domain = DomainId::from("domain-0");
        let live: Vec<_> = (0..options.vms).map(vm).collect();
        let now = Millis(1000);
        let ledger = |id: &VmId| {
            let settings = RateLimiterSettings::new(id.clone(), Incarnation(1), domain.clone())
                .with_domain_size(options.vms);
            let mut ledger = RateLimiter::new(settings, now);
            let specs = specs(options, &domain);
            ledger.configure(now, Revision(1), vec![domain.clone()], specs);
            ledger.on_live_vms(now, &live);
            ledger.on_owners_table_absent(now, &domain);
            ledger
        };
        Self {
            ledgers: live.iter().map(ledger).collect(),
            table: None,
            version: 1,
            totals: Totals::default(),
        }
    }

    /// Requests of one tick, spread over the VMs by turns.
    fn demand(&mut self, now: Millis, options: &Options) {
        let requests = RATE * DEMAND * TICK.0 / 100_000;
        let mut turn = usize::try_from(now.0 / TICK.0 * requests).unwrap_or_default();
        for index in 0..options.active {
            let key = workspace(index);
            for _ in 0..requests {
                turn += 1;
                self.admit(now, turn % options.vms, &key);
            }
        }
    }

    /// Admits one request, after a second attempt that follows an early tick.
    fn admit(&mut self, now: Millis, index: usize, key: &LimitKey) {
        let costs = [(key.clone(), Micros::from_units(1))];
        let mut admitted = self.ledgers[index].admit(now, &costs).is_ok();
        if !admitted {
            self.tick_one(now, index);
            admitted = self.ledgers[index].try_take(now, &costs).is_ok();
        }
        if admitted {
            self.totals.admitted += 1;
        } else {
            self.totals.refused += 1;
        }
    }

    fn tick(&mut self, now: Millis) {
        for index in 0..self.ledgers.len() {
            self.tick_one(now, index);
        }
    }

    fn tick_one(&mut self, now: Millis, index: usize) {
        let started = Instant::now();
        let actions = self.ledgers[index].tick(now);
        for action in actions {
            self.run(now, index, action);
        }
        self.totals.spent += started.elapsed();
    }

    fn run(&mut self, now: Millis, index: usize, action: RateLimiterAction) {
        match action {
            RateLimiterAction::Borrow { to, request } => {
                self.totals.borrows += 1;
                self.totals.asks += request.limits.len() as u64;
                let reply = self.ledgers[index_of(&to)].on_borrow_request(now, &request);
                self.ledgers[index].on_borrow_reply(now, now, &to, &reply);
            }
            RateLimiterAction::RenewShardLeases { to, request } => {
                self.totals.renews += 1;
                let reply = self.ledgers[index_of(&to)].on_renew_request(now, &request);
                self.ledgers[index].on_renew_reply(now, now, &to, &reply);
            }
            RateLimiterAction::ReadOwners { .. } => {
                self.totals.store_calls += 1;
                let domain = DomainId::from("domain-0");
                match &self.table {
                    Some((version, table)) => {
                        self.ledgers[index].on_owners_table(now, &domain, *version, table);
                    }
                    None => self.ledgers[index].on_owners_table_absent(now, &domain),
                }
            }
            RateLimiterAction::WriteOwners {
                value,
                expected_version,
                ..
            } => {
                self.totals.store_calls += 1;
                let outcome = self.write(&value, expected_version);
                self.ledgers[index].on_owners_write_outcome(now, now, outcome);
                self.announce(now);
            }
        }
    }

    /// Passes the table on, as the watches of the daemons do.
    fn announce(&mut self, now: Millis) {
        let Some((version, table)) = &self.table else {
            return;
        };
        let domain = DomainId::from("domain-0");
        for ledger in &mut self.ledgers {
            ledger.on_owners_table(now, &domain, *version, table);
        }
    }

    fn write(&mut self, value: &[u8], expected: Option<Revision>) -> OwnersWriteOutcome {
        if self.table.as_ref().map(|(version, _)| *version) != expected {
            return OwnersWriteOutcome::Conflict;
        }
        let table = OwnersTable::parse(value).expect("ledgers write valid tables");
        self.version += 1;
        let version = Revision(self.version);
        self.table = Some((version, table));
        OwnersWriteOutcome::Written(version)
    }
}

#[allow(clippy::cast_precision_loss, reason = "figures for people")]
fn report(options: &Options, totals: &Totals, grown_kb: u64) {
    let vm_seconds = options.vms as f64 * options.seconds as f64;
    println!(
        "{} VMs, {} limits, {} active: {:.3} % of a core, {:.2} borrows, {:.1} asks and {:.2} renewals \
         a second, {:.3} store calls a second, each a VM; {:.0} kB a VM; {:.3} % refused",
        options.vms,
        options.limits,
        options.active,
        totals.spent.as_secs_f64() / vm_seconds * 100.0,
        totals.borrows as f64 / vm_seconds,
        totals.asks as f64 / vm_seconds,
        totals.renews as f64 / vm_seconds,
        totals.store_calls as f64 / vm_seconds,
        grown_kb as f64 / options.vms as f64,
        totals.refused as f64 / (totals.admitted + totals.refused).max(1) as f64 * 100.0,
    );
}
