//! The cases: faults, and when they begin and end.

use serde::Deserialize;
use waxwing_types::Millis;

use super::System;
use super::event::Event;
use super::measure::Outcome;
use super::size::{DEMAND, SPIKER, Size, key, shift};
use super::vm::Daemon;
use super::world::World;

/// Time in ms before the measurement begins.
const WARM_UP: u64 = 60_000;
/// Time in ms from the start of the measurement to the fault.
const LEAD: u64 = 5_000;
/// Time in ms from the mark on the leaving target to the end of the measurement.
const DRAIN: u64 = 8_000;
/// Time in ms for requests to end after the measurement.
const TAIL: u64 = 6_000;
/// Longest time in µs in which a record reaches a VM.
const PROPAGATION: u64 = 1_500_000;
/// VM that is killed or paused.
const VM: usize = 2;
/// Failure domain that is cut off. It is not in the store's region.
const CUT: usize = 3;
/// Region that is lost. The store is in another.
const REGION: usize = 2;
/// Target of the first service that crashes, is slow or lies.
const TARGET: usize = 2;
/// Target of the first service that leaves.
const LEAVER: usize = 1;

/// A fault of the environment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// None.
    Calm,
    /// A workspace sends five times its rate.
    Spike,
    /// A VM's process is killed.
    KillVm,
    /// A VM is paused.
    PauseVm,
    /// A target's process crashes and starts again after 10 s.
    CrashTarget,
    /// A target takes five times as long.
    SlowTarget,
    /// A target whose slots are mostly taken by other work reports itself as idle.
    Lie,
    /// The store does not respond.
    StoreDown,
    /// A failure domain is cut off from everything but its callers.
    CutDomain,
    /// A region is lost.
    LoseRegion,
    /// A planned shift into cold caches.
    Shift,
    /// A workspace's key is withdrawn.
    WithdrawKey,
    /// A request that crashes its targets is sent, and sent again each second.
    Poison,
}

/// A case: a fault and its length.
#[derive(Debug)]
pub struct Case {
    /// Name on the command line.
    pub name: &'static str,
    /// The fault.
    pub fault: Fault,
    /// Length of the fault in seconds.
    pub fault_secs: u64,
    /// Length of the measurement in seconds.
    pub secs: u64,
}

const fn case(name: &'static str, fault: Fault, fault_secs: u64, secs: u64) -> Case {
    Case {
        name,
        fault,
        fault_secs,
        secs,
    }
}

/// Every case of the table.
pub const CASES: [Case; 12] = [
    case("calm", Fault::Calm, 0, 60),
    case("spike", Fault::Spike, 60, 60),
    case("vm_killed", Fault::KillVm, 60, 60),
    case("vm_paused", Fault::PauseVm, 20, 60),
    case("target_crashed", Fault::CrashTarget, 0, 60),
    case("target_slow", Fault::SlowTarget, 60, 60),
    case("lying_report", Fault::Lie, 60, 60),
    case("store_outage", Fault::StoreDown, 600, 620),
    case("domain_cut", Fault::CutDomain, 60, 60),
    case("region_lost", Fault::LoseRegion, 60, 60),
    case("shift_cold", Fault::Shift, 60, 60),
    case("vm_restarted", Fault::KillVm, 3, 60),
];

impl Case {
    /// Runs the case.
    pub fn run(&self, size: &'static Size, system: System, seed: u64) -> Outcome {
        let mut world = World::new(size, system, seed);
        world.run_until(WARM_UP);
        world.begin_measuring();
        let begin = WARM_UP + LEAD;
        world.run_until(begin);
        world.start(self.fault);
        let end = WARM_UP + self.secs * 1000;
        let healed = begin + self.fault_secs * 1000;
        if healed < end - DRAIN {
            world.run_until(healed);
            world.end(self.fault);
        }
        world.run_until(end - DRAIN);
        world.drain();
        world.run_until(end);
        world.settle(end + TAIL)
    }
}

impl World {
    /// Stops the demand, lets the running requests end, and returns the result.
    pub(super) fn settle(&mut self, until: u64) -> Outcome {
        let uses = self.outcome();
        self.stop_arrivals();
        self.run_until(until);
        let outcome = self.outcome();
        Outcome {
            headroom: uses.headroom,
            peak_use: uses.peak_use,
            ..outcome
        }
    }

    /// Sets the demand of all workspaces, in percent of their rates.
    pub fn set_demand(&mut self, percent: u64) {
        self.demand.fill(percent);
    }

    /// Begins a fault.
    pub fn start(&mut self, fault: Fault) {
        let target = &mut self.targets[0][TARGET];
        match fault {
            Fault::Calm => {}
            Fault::Spike => self.demand[SPIKER] = 500,
            Fault::KillVm => self.kill(VM),
            Fault::PauseVm => self.vms[VM].paused = true,
            Fault::CrashTarget => self.crash(0, TARGET),
            Fault::SlowTarget => target.factor = 5.0,
            Fault::Lie => {
                target.account(self.now);
                target.busy = target.slots * 2 / 3;
                target.lies = true;
            }
            Fault::StoreDown => self.store_down = true,
            Fault::CutDomain => self.cut = Some(CUT),
            Fault::LoseRegion => self.lose_region(),
            Fault::Shift => {
                for target in self.targets.iter_mut().flatten() {
                    target.cold = 200;
                }
                self.publish(shift());
            }
            Fault::WithdrawKey => self.publish(key(SPIKER, true)),
            Fault::Poison => self.request(SPIKER + 1, Some(0), true),
        }
    }

    /// Ends a fault.
    pub fn end(&mut self, fault: Fault) {
        match fault {
            Fault::Spike => self.demand[SPIKER] = DEMAND,
            Fault::KillVm => self.boot(VM),
            Fault::PauseVm => {
                self.vms[VM].paused = false;
                for event in std::mem::take(&mut self.vms[VM].withheld) {
                    self.schedule(0, event);
                }
            }
            Fault::SlowTarget => self.targets[0][TARGET].factor = 1.0,
            Fault::Lie => {
                let now = self.now;
                let target = &mut self.targets[0][TARGET];
                target.account(now);
                (target.busy, target.lies) = (0, false);
            }
            Fault::StoreDown => self.store_down = false,
            Fault::CutDomain => self.cut = None,
            Fault::Calm
            | Fault::CrashTarget
            | Fault::LoseRegion
            | Fault::Shift
            | Fault::WithdrawKey
            | Fault::Poison => {}
        }
    }

    /// Marks a target as leaving, unless the store is out of reach.
    pub fn drain(&mut self) {
        if self.store_down {
            return;
        }
        self.targets[0][LEAVER].leaving_since = Some(self.now);
        self.publish(self.size.service(0, Some(LEAVER)));
    }

    fn publish(&mut self, record: serde_json::Value) {
        self.version += 1;
        self.records.push((self.version, record));
        for vm in 0..self.vms.len() {
            let delay = self.plan.u64(200_000..PROPAGATION);
            self.schedule(delay, Event::Adopt { vm });
        }
    }

    fn kill(&mut self, vm: usize) {
        let flows = std::mem::take(&mut self.vms[vm].flows);
        self.vms[vm].alive = false;
        let mut flows: Vec<_> = flows.into_iter().collect();
        flows.sort_unstable_by_key(|(id, _)| *id);
        for (id, live) in flows {
            if let Some((service, target)) = live.target {
                let at = super::vm::Link {
                    vm,
                    process: self.vms[vm].process,
                    flow: id,
                    attempt: live.attempt,
                };
                self.schedule(
                    1_000,
                    Event::CancelRun {
                        at,
                        service,
                        target,
                    },
                );
            }
            match live.parent {
                Some(parent) => {
                    self.later(
                        1_000,
                        parent,
                        true,
                        waxwing_core::FlowEvent::ConnectionBroken,
                    );
                }
                None if !live.answered || !live.is_finished() => self.broken(live.root, vm),
                None => {}
            }
        }
    }

    fn boot(&mut self, vm: usize) {
        let process = self.vms[vm].process + 1;
        let seed = self.rng.u64(..);
        self.vms[vm] = Daemon::new(self.size, self.system, vm, process, seed);
        self.vms[vm]
            .members
            .update_vm_list(Millis(self.now / 1000), self.size.list());
        self.revisions[vm] = 0;
        self.adopt(vm);
    }

    fn lose_region(&mut self) {
        self.lost_region = Some(REGION);
        for vm in 0..self.vms.len() {
            if self.vms[vm].domain / 2 == REGION {
                self.kill(vm);
            }
        }
        for service in 0..3 {
            for target in 0..self.targets[service].len() {
                let model = &mut self.targets[service][target];
                if model.domain / 2 == REGION {
                    let _ = model.crash(self.now);
                }
            }
        }
    }
}
