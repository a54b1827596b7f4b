//! Simulates the workspace quotas of many VMs whose messages are delayed.
#![allow(clippy::cast_precision_loss, reason = "rates and counts are small")]

use std::collections::BTreeMap;

use waxwing_edge::{Admission, NoTokenAction, QuotaCoordinator, WorkspaceQuotas, WorkspaceTokens};
use waxwing_records::WorkspaceSpec;
use waxwing_types::{Micros, Millis};

const DOMAINS: usize = 6;
/// Delay of a message within a region, in ms.
const IN_REGION_DELAY: u64 = 1;
/// Delay of a message to another region, in ms.
const CROSS_REGION_DELAY: u64 = 56;
/// Times in ms that a request waits for a token from its failure domain, its region and other regions.
const TOKEN_WAITS: [u64; 3] = [6, 14, 115];
/// Time between two exchanges of a VM with its coordinator, in ms.
const EXCHANGE_INTERVAL: u64 = 250;

enum Event {
    /// Granted tokens arrive: VM, amount.
    Credit(usize, u64),
    /// A token request arrives: requesting VM, granting VM, amount, and whether a request is waiting or both
    /// VMs are in the same failure domain.
    TokenRequest(usize, usize, u64, bool),
    /// A request takes a token: VM, number of previous attempts.
    Request(usize, usize),
}

struct Simulation {
    spec: WorkspaceSpec,
    vms: Vec<WorkspaceQuotas>,
    /// Scheduled events by time in ms and sequence number.
    events: BTreeMap<(u64, u64), Event>,
    last_sequence_number: u64,
    rng: fastrand::Rng,
    admitted: u64,
    refused: u64,
}

/// Delay of a message between two failure domains. Domains `2 * i` and `2 * i + 1` are in region `i`.
fn message_delay(first: usize, second: usize) -> u64 {
    if first / 2 == second / 2 {
        IN_REGION_DELAY
    } else {
        CROSS_REGION_DELAY
    }
}

impl Simulation {
    fn new(vm_count: usize, rate: u64) -> Self {
        let spec = WorkspaceSpec {
            id: "w".into(),
            keys: Vec::new(),
            rank: 0,
            rate: rate * 1000,
            burst: rate,
            homes: Vec::new(),
        };
        let mut quotas: Vec<WorkspaceQuotas> =
            (0..vm_count).map(|_| WorkspaceQuotas::default()).collect();
        for quota in &mut quotas {
            quota.set_vm_count(vm_count);
            quota.update_specs(Millis::ZERO, std::iter::once(&spec));
        }
        Self {
            spec,
            vms: quotas,
            events: BTreeMap::new(),
            last_sequence_number: 0,
            rng: fastrand::Rng::with_seed(7),
            admitted: 0,
            refused: 0,
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.last_sequence_number += 1;
        self.events.insert((at, self.last_sequence_number), event);
    }

    /// Runs the regular exchange of a VM. VM `i` is in failure domain `i % DOMAINS`, and the first VM of a domain
    /// is its coordinator, so that the coordinator has the index of its domain.
    fn exchange(&mut self, now: u64, vm: usize) {
        let coordinator = vm % DOMAINS;
        let time = Millis(now);
        let vm_shares =
            self.vms.len() / DOMAINS + usize::from(coordinator < self.vms.len() % DOMAINS);
        let coordinator_of_vm = if vm == coordinator {
            QuotaCoordinator::Local { vm_shares }
        } else {
            QuotaCoordinator::Remote(coordinator)
        };
        let exchanges = self.vms[vm].prepare_exchanges(time, |_| coordinator_of_vm.clone());
        for exchange in exchanges.into_values() {
            for tokens in exchange.granted {
                self.schedule(
                    now + IN_REGION_DELAY,
                    Event::Credit(coordinator, tokens.amount.0),
                );
            }
            for tokens in exchange.requested {
                self.schedule(
                    now + IN_REGION_DELAY,
                    Event::TokenRequest(vm, coordinator, tokens.amount.0, true),
                );
            }
        }
        for tokens in self.vms[vm].shortages(time) {
            let random_domain = (coordinator + self.rng.usize(1..DOMAINS)) % DOMAINS;
            for peer in [coordinator ^ 1, random_domain] {
                let delay = message_delay(coordinator, peer);
                self.schedule(
                    now + delay,
                    Event::TokenRequest(vm, peer, tokens.amount.0 / 2, false),
                );
            }
        }
    }

    fn handle(&mut self, now: u64, event: &Event) {
        let time = Millis(now);
        match *event {
            Event::Credit(vm, amount) => {
                let tokens = WorkspaceTokens {
                    workspace: self.spec.id.clone(),
                    amount: Micros(amount),
                };
                self.vms[vm].credit(time, &tokens);
            }
            Event::TokenRequest(vm, peer, amount, urgent_or_same_domain) => {
                let id = &self.spec.id;
                let granted = if urgent_or_same_domain {
                    self.vms[peer].grant(time, id, Micros(amount))
                } else {
                    self.vms[peer].grant_surplus(time, id, Micros(amount))
                };
                let delay = message_delay(vm % DOMAINS, peer % DOMAINS);
                self.schedule(now + delay, Event::Credit(vm, granted.0));
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
        let Some(wait) = TOKEN_WAITS.get(attempt) else {
            self.refused += 1;
            return;
        };
        let coordinator = vm % DOMAINS;
        if attempt == TOKEN_WAITS.len() - 1 {
            let region = coordinator / 2;
            let other_region_domain = |i: usize| (region * 2 + 2 + i) % DOMAINS;
            for peer in [
                other_region_domain(self.rng.usize(..2)),
                other_region_domain(2 + self.rng.usize(..2)),
            ] {
                let delay = message_delay(coordinator, peer);
                let one_token = Micros::from_units(1).0;
                self.schedule(now + delay, Event::TokenRequest(vm, peer, one_token, true));
            }
            self.schedule(now + wait, Event::Request(vm, attempt + 1));
            return;
        }
        match self.vms[vm].on_no_token(time, &self.spec.id) {
            NoTokenAction::RequestTokens(tokens) => {
                let ask_coordinator = vm != coordinator && attempt == 0;
                let peer = if ask_coordinator {
                    coordinator
                } else {
                    coordinator ^ 1
                };
                self.schedule(
                    now + IN_REGION_DELAY,
                    Event::TokenRequest(vm, peer, tokens.amount.0, true),
                );
            }
            NoTokenAction::Refuse if attempt == 0 => {
                self.refused += 1;
                return;
            }
            NoTokenAction::Wait | NoTokenAction::Refuse => {}
        }
        self.schedule(now + wait, Event::Request(vm, attempt + 1));
    }

    /// Simulates requests at `load` times the rate for some seconds. The demand varies over regions and time, as
    /// that of users does.
    fn run(&mut self, start: u64, secs: u64, load: f64) {
        let vm_count = self.vms.len();
        for now in start..start + secs * 1000 {
            for vm in 0..vm_count {
                if (now + vm as u64 * 17).is_multiple_of(EXCHANGE_INTERVAL) {
                    self.exchange(now, vm);
                }
                let phase = (vm % DOMAINS / 2) as f64 / 3.0 + now as f64 / 36_000.0;
                let wave = 1.0 + 0.55 * (phase * std::f64::consts::TAU).sin();
                let probability = self.spec.rate as f64 / 1e6 * load * wave / vm_count as f64;
                if self.rng.f64() < probability {
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

/// Guards against tokens that stay unused at some VMs while others refuse requests within the rate. Users
/// require that less than 1 % of such requests are refused.
#[test]
fn demand_within_the_rate_is_admitted() {
    for (vm_count, rate) in [(16, 60), (16, 300), (120, 30), (120, 130)] {
        assert_demand_is_admitted(vm_count, rate);
    }
}

/// Guards against unused tokens and refusals within the rate when a failure domain's share of the burst is
/// only two requests.
#[test]
fn small_demand_within_the_rate_is_admitted() {
    assert_demand_is_admitted(120, 12);
}

/// Asserts that at most 1 % of the requests at 62.5 % of the rate are refused.
fn assert_demand_is_admitted(vm_count: usize, rate: u64) {
    let mut simulation = Simulation::new(vm_count, rate);
    simulation.run(0, 5, 0.0);
    simulation.run(5_000, 36, 0.625);
    let (refused, total) = (simulation.refused, simulation.admitted + simulation.refused);
    assert!(
        refused * 100 <= total,
        "{vm_count} VMs, rate {rate}: {refused} of {total} requests refused"
    );
}

/// Guards against a limit that admits much less than the rate when the demand is higher.
#[test]
fn demand_above_the_rate_gets_the_rate() {
    for (vm_count, rate) in [(16, 60), (120, 130)] {
        let mut simulation = Simulation::new(vm_count, rate);
        simulation.run(0, 5, 0.0);
        simulation.run(5_000, 36, 2.0);
        let (expected, admitted) = (rate * 36, simulation.admitted);
        assert!(
            admitted <= expected + rate,
            "{admitted} requests admitted, expected {expected}"
        );
        assert!(
            admitted * 100 >= expected * 90,
            "{admitted} requests admitted, expected {expected}"
        );
    }
}
