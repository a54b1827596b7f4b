//! The ledgers' messages and store calls, the membership and the distribution of records.

use waxwing_core::{
    BorrowReply, BorrowRequest, LoadReport, OwnersTable, OwnersWriteOutcome, RateLimiterAction,
    RenewReply, RenewRequest,
};
use waxwing_types::{Millis, Revision, VmId};

use super::System;
use super::event::Event;
use super::size::{DOMAINS, domain, number, vm_name};
use super::world::World;

/// Time in µs after which a store call without answer has an unknown result.
pub(super) const STORE_TIMEOUT: u64 = 1_000_000;
/// Least time in µs between two ticks of a ledger, as in the daemon.
const LEAST_TICK: u64 = 5_000;

#[derive(Clone, Debug)]
pub(super) enum Message {
    Borrow(Millis, u64, BorrowRequest),
    Grants(Millis, VmId, BorrowReply),
    Renew(Millis, u64, RenewRequest),
    Renewed(Millis, VmId, RenewReply),
    Owners(usize, Option<(u64, Vec<u8>)>),
    Written(Millis, OwnersWriteOutcome),
}

impl World {
    pub(super) fn tick_ledger(&mut self, vm: usize) {
        self.ticked[vm] = self.now;
        let now = Millis(self.now / 1000);
        let process = self.vms[vm].process;
        for action in self.vms[vm].ledger.tick(now) {
            match action {
                RateLimiterAction::Borrow { to, request } => {
                    let to = number(to.as_str());
                    self.post(vm, to, None, Message::Borrow(now, process, request));
                }
                RateLimiterAction::RenewShardLeases { to, request } => {
                    let to = number(to.as_str());
                    self.post(vm, to, None, Message::Renew(now, process, request));
                }
                RateLimiterAction::WriteOwners {
                    value,
                    expected_version,
                    ..
                } => {
                    let write = Some((value, expected_version.map(|r| r.0)));
                    self.call_owners(vm, now, write);
                }
                RateLimiterAction::ReadOwners { .. } => self.call_owners(vm, now, None),
            }
        }
    }

    /// Ticks the ledger soon if it runs short.
    pub(super) fn tick_early(&mut self, vm: usize) {
        if !self.vms[vm].ledger.needs_tick() || self.early_ticks[vm] {
            return;
        }
        self.early_ticks[vm] = true;
        let due = self.ticked[vm] + LEAST_TICK;
        self.schedule(due.saturating_sub(self.now), Event::EarlyTick(vm));
    }

    fn post(&mut self, from: usize, vm: usize, process: Option<u64>, message: Message) {
        let (a, b) = (self.vms[from].domain, self.vms[vm].domain);
        if self.reaches(a, b) {
            let delay = self.delay(a, b);
            let event = Event::Message {
                from,
                vm,
                process,
                message,
            };
            self.schedule(delay, event);
        }
    }

    pub(super) fn on_message(&mut self, from: usize, vm: usize, message: Message) {
        let now = Millis(self.now / 1000);
        let own: VmId = vm_name(vm).as_str().into();
        let ledger = &mut self.vms[vm].ledger;
        match message {
            Message::Borrow(sent, process, request) => {
                let reply = ledger.on_borrow_request(now, &request);
                self.post(vm, from, Some(process), Message::Grants(sent, own, reply));
            }
            Message::Renew(sent, process, request) => {
                let reply = ledger.on_renew_request(now, &request);
                self.post(vm, from, Some(process), Message::Renewed(sent, own, reply));
            }
            Message::Grants(sent, owner, reply) => {
                ledger.on_borrow_reply(now, sent, &owner, &reply);
            }
            Message::Renewed(sent, standby, reply) => {
                ledger.on_renew_reply(now, sent, &standby, &reply);
            }
            Message::Owners(place, Some((version, json))) => {
                let table = OwnersTable::parse(&json).expect("tables are valid");
                let name = domain(place).as_str().into();
                ledger.on_owners_table(now, &name, Revision(version), &table);
            }
            Message::Owners(place, None) => {
                ledger.on_owners_table_absent(now, &domain(place).as_str().into());
            }
            Message::Written(sent, outcome) => {
                ledger.on_owners_write_outcome(now, sent, outcome);
                self.tick_ledger(vm);
            }
        }
    }

    fn call_owners(&mut self, vm: usize, sent: Millis, write: Option<(Vec<u8>, Option<u64>)>) {
        let (place, process) = (self.vms[vm].domain, self.vms[vm].process);
        let delay = self.store_delay(place);
        let call = Event::Owners {
            vm,
            process,
            sent,
            write,
        };
        self.schedule(delay, call);
    }

    pub(super) fn serve_owners(
        &mut self,
        vm: usize,
        process: u64,
        sent: Millis,
        write: Option<(Vec<u8>, Option<u64>)>,
    ) {
        let place = self.vms[vm].domain;
        if !self.reaches_store(place) {
            if write.is_some() {
                let message = Message::Written(sent, OwnersWriteOutcome::Unknown);
                self.reply(vm, process, STORE_TIMEOUT, message);
            }
            return;
        }
        let delay = self.store_delay(place);
        let Some((value, expected)) = write else {
            let message = Message::Owners(place, self.owners[place].clone());
            self.reply(vm, process, delay, message);
            return;
        };
        let mut outcome = OwnersWriteOutcome::Conflict;
        if self.owners[place].as_ref().map(|o| o.0) == expected {
            self.version += 1;
            self.owners[place] = Some((self.version, value));
            outcome = OwnersWriteOutcome::Written(Revision(self.version));
        }
        self.reply(vm, process, delay, Message::Written(sent, outcome));
    }

    fn reply(&mut self, vm: usize, process: u64, delay: u64, message: Message) {
        let event = Event::Message {
            from: vm,
            vm,
            process: Some(process),
            message,
        };
        self.schedule(delay, event);
    }

    /// Delivers the tables of owners that changed since the last call.
    pub(super) fn watch(&mut self, vm: usize) {
        let (place, process) = (self.vms[vm].domain, self.vms[vm].process);
        if !self.reaches_store(place) {
            return;
        }
        for other in 0..DOMAINS {
            let object = self.owners[other].clone();
            let version = object.as_ref().map_or(0, |o| o.0);
            if self.vms[vm].seen[other] != Some(version) {
                self.vms[vm].seen[other] = Some(version);
                let delay = self.store_delay(place);
                self.reply(vm, process, delay, Message::Owners(other, object));
            }
        }
    }

    /// Heartbeats and load reports, once a second.
    pub(super) fn heartbeat(&mut self, vm: usize) {
        let now = Millis(self.now / 1000);
        let place = self.vms[vm].domain;
        for other in 0..self.vms.len() {
            let responds = self.vms[other].serves() && self.reaches(place, self.vms[other].domain);
            let (id, process) = (vm_name(other).as_str().into(), self.vms[other].process);
            let members = &mut self.vms[vm].members;
            if responds {
                members.record_contact(now, &id, waxwing_types::Incarnation(process), false);
            } else {
                members.record_call_failure(&id);
            }
        }
        let daemon = &mut self.vms[vm];
        let members = &daemon.members;
        let live = members.listed_vms(members.own_domain()).iter();
        let live: Vec<_> = live
            .filter(|id| members.is_usable(now, id))
            .cloned()
            .collect();
        daemon.ledger.on_live_vms(now, &live);
        self.read_loads(vm);
    }

    fn read_loads(&mut self, vm: usize) {
        let now = Millis(self.now / 1000);
        let place = self.vms[vm].domain;
        for service in 0..3 {
            for index in 0..self.targets[service].len() {
                let target = &self.targets[service][index];
                let near = target.domain / 2 == place / 2 && target.alive;
                if !near || !self.reaches(place, target.domain) {
                    continue;
                }
                let used = self.targets[service][index].report();
                let daemon = &mut self.vms[vm];
                if self.system == System::Core {
                    let names = (format!("s{service}"), format!("t{index}"));
                    let names = (names.0.as_str().into(), names.1.as_str().into());
                    let report = LoadReport { used };
                    daemon.targets.on_report(now, &names.0, &names.1, report);
                } else {
                    daemon.simple.reports[service][index] = used;
                }
            }
        }
    }

    /// Puts the records in force that the VM does not hold.
    pub(super) fn adopt(&mut self, vm: usize) {
        let held = self.revisions[vm];
        let newer: Vec<_> = self
            .records
            .iter()
            .filter(|r| r.0 > held)
            .cloned()
            .collect();
        if newer.is_empty() {
            return;
        }
        let place = self.vms[vm].domain;
        if held > 0 && self.cut == Some(place) {
            self.schedule(1_000_000, Event::Adopt { vm });
            return;
        }
        self.revisions[vm] = newer.iter().map(|r| r.0).max().unwrap_or(held);
        let woken = self.vms[vm].adopt(Millis(self.now / 1000), &newer);
        self.wake(vm, &woken);
    }
}
