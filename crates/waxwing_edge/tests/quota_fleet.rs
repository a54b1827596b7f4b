//! Quotas of a whole fleet with messages that take time.
#![allow(clippy::cast_precision_loss, reason = "rates and counts are small")]

use std::collections::BTreeMap;

use waxwing_edge::{Admission, NoTokenAction, QuotaCoordinator, WorkspaceQuotas, WorkspaceTokens};
use waxwing_records::WorkspaceSpec;
use waxwing_types::{Micros, Millis};

const DOMAINS: usize = 6;
/// Time of a message within a region, and to another one.
const NEAR: u64 = 1;
const FAR: u64 = 56;
/// Pauses of a request that waits for a token of its failure domain, of its region, and of others.
const PAUSES: [u64; 3] = [6, 14, 115];
const EXCHANGE: u64 = 250;

enum Event {
    Credit(usize, u64),
    /// Asker, giver, tokens, whether a request waits or both are of one failure domain.
    Ask(usize, usize, u64, bool),
    /// VM, attempt.
    Request(usize, usize),
}

struct World {
    spec: WorkspaceSpec,
    vms: Vec<WorkspaceQuotas>,
    events: BTreeMap<(u64, u64), Event>,
    serial: u64,
    rng: fastrand::Rng,
    admitted: u64,
    refused: u64,
}

/// Time of a message between two failure domains. Two in a row are of one region.
fn distance(one: usize, two: usize) -> u64 {
    if one / 2 == two / 2 { NEAR } else { FAR }
}

impl World {
    fn new(vms: usize, rate: u64) -> Self {
        let spec = WorkspaceSpec {
            id: "w".into(),
            keys: Vec::new(),
            rank: 0,
            rate: rate * 1000,
            burst: rate,
            homes: Vec::new(),
        };
        let mut quotas: Vec<WorkspaceQuotas> =
            (0..vms).map(|_| WorkspaceQuotas::default()).collect();
        for quota in &mut quotas {
            quota.set_vm_count(vms);
            quota.update_specs(Millis::ZERO, std::iter::once(&spec));
        }
        Self {
            spec,
            vms: quotas,
            events: BTreeMap::new(),
            serial: 0,
            rng: fastrand::Rng::with_seed(7),
            admitted: 0,
            refused: 0,
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.serial += 1;
        self.events.insert((at, self.serial), event);
    }

    /// The keeper of a failure domain is its first VM; VM `i` is in domain `i % DOMAINS`.
    fn exchange(&mut self, now: u64, vm: usize) {
        let keeper = vm % DOMAINS;
        let time = Millis(now);
        let parts = self.vms.len() / DOMAINS + usize::from(keeper < self.vms.len() % DOMAINS);
        let known = if vm == keeper {
            QuotaCoordinator::Local { vm_shares: parts }
        } else {
            QuotaCoordinator::Remote(keeper)
        };
        let news = self.vms[vm].prepare_exchanges(time, |_| known.clone());
        for news in news.into_values() {
            for part in news.granted {
                self.push(now + NEAR, Event::Credit(keeper, part.amount.0));
            }
            for part in news.requested {
                self.push(now + NEAR, Event::Ask(vm, keeper, part.amount.0, true));
            }
        }
        for part in self.vms[vm].shortages(time) {
            let other = (keeper + self.rng.usize(1..DOMAINS)) % DOMAINS;
            for other in [keeper ^ 1, other] {
                let delay = distance(keeper, other);
                self.push(now + delay, Event::Ask(vm, other, part.amount.0 / 2, false));
            }
        }
    }

    fn handle(&mut self, now: u64, event: &Event) {
        let time = Millis(now);
        match *event {
            Event::Credit(vm, amount) => {
                let part = WorkspaceTokens {
                    workspace: self.spec.id.clone(),
                    amount: Micros(amount),
                };
                self.vms[vm].credit(time, &part);
            }
            Event::Ask(vm, giver, amount, near) => {
                let id = &self.spec.id;
                let granted = if near {
                    self.vms[giver].grant(time, id, Micros(amount))
                } else {
                    self.vms[giver].grant_surplus(time, id, Micros(amount))
                };
                let delay = distance(vm % DOMAINS, giver % DOMAINS);
                self.push(now + delay, Event::Credit(vm, granted.0));
            }
            Event::Request(vm, attempt) => self.request(now, vm, attempt),
        }
    }

    fn request(&mut self, now: u64, vm: usize, attempt: usize) {
        let time = Millis(now);
        let admission = match attempt {
            0 => self.vms[vm].admit(time, &self.spec),
            _ => self.vms[vm].retry_admit(time, &self.spec),
        };
        if admission == Admission::Admitted {
            self.admitted += 1;
            return;
        }
        let Some(pause) = PAUSES.get(attempt) else {
            self.refused += 1;
            return;
        };
        let keeper = vm % DOMAINS;
        if attempt == PAUSES.len() - 1 {
            let region = keeper / 2;
            let far = |i: usize| (region * 2 + 2 + i) % DOMAINS;
            for giver in [far(self.rng.usize(..2)), far(2 + self.rng.usize(..2))] {
                let delay = distance(keeper, giver);
                let one = Micros::from_units(1).0;
                self.push(now + delay, Event::Ask(vm, giver, one, true));
            }
            self.push(now + pause, Event::Request(vm, attempt + 1));
            return;
        }
        match self.vms[vm].on_no_token(time, &self.spec.id) {
            NoTokenAction::RequestTokens(part) => {
                let near = vm != keeper && attempt == 0;
                let giver = if near { keeper } else { keeper ^ 1 };
                self.push(now + NEAR, Event::Ask(vm, giver, part.amount.0, true));
            }
            NoTokenAction::Refuse if attempt == 0 => {
                self.refused += 1;
                return;
            }
            NoTokenAction::Wait | NoTokenAction::Refuse => {}
        }
        self.push(now + pause, Event::Request(vm, attempt + 1));
    }

    /// Requests at a part of the rate, uneven over domains and time like the users' demand.
    fn run(&mut self, from: u64, secs: u64, load: f64) {
        let count = self.vms.len();
        for now in from..from + secs * 1000 {
            for vm in 0..count {
                if (now + vm as u64 * 17).is_multiple_of(EXCHANGE) {
                    self.exchange(now, vm);
                }
                let phase = (vm % DOMAINS / 2) as f64 / 3.0 + now as f64 / 36_000.0;
                let wave = 1.0 + 0.55 * (phase * std::f64::consts::TAU).sin();
                let chance = self.spec.rate as f64 / 1e6 * load * wave / count as f64;
                if self.rng.f64() < chance {
                    self.request(now, vm, 0);
                }
            }
            while let Some(first) = self.events.first_entry() {
                if first.key().0 > now {
                    break;
                }
                let event = first.remove();
                self.handle(now, &event);
            }
        }
    }
}

/// Guards against tokens that lie idle at some VMs while requests inside the rate are refused at others.
/// The users ask for less than 1 % of such refusals.
#[test]
fn demand_inside_the_rate_is_admitted() {
    for (vms, rate) in [(16, 60), (16, 300), (120, 30), (120, 130)] {
        assert_admitted(vms, rate);
    }
}

/// Guards against the same where a failure domain's part of the burst is two requests.
#[test]
fn small_demand_inside_the_rate_is_admitted() {
    assert_admitted(120, 12);
}

fn assert_admitted(vms: usize, rate: u64) {
    let mut world = World::new(vms, rate);
    world.run(0, 5, 0.0);
    world.run(5_000, 36, 0.625);
    let (refused, total) = (world.refused, world.admitted + world.refused);
    assert!(
        refused * 100 <= total,
        "{vms} VMs, rate {rate}: {refused} of {total} refused"
    );
}

/// Guards against a limit that hands out much less than the rate to a workspace that asks for more.
#[test]
fn demand_above_the_rate_gets_the_rate() {
    for (vms, rate) in [(16, 60), (120, 130)] {
        let mut world = World::new(vms, rate);
        world.run(0, 5, 0.0);
        world.run(5_000, 36, 2.0);
        let (due, admitted) = (rate * 36, world.admitted);
        assert!(admitted <= due + rate, "{admitted} of {due}");
        assert!(admitted * 100 >= due * 90, "{admitted} of {due}");
    }
}
