//! Messages, timers and store calls of the simulated deployment.

use waxwing_core::{
    BorrowReply, BorrowRequest, OwnersTable, OwnersWriteOutcome, RateLimiterAction, RenewReply,
    RenewRequest,
};
use waxwing_types::{Millis, Revision, VmId};

use super::{World, domain_id};

/// Time after which a store call without answer has an unknown result.
const STORE_TIMEOUT: u64 = 1_000;
/// Time after which a VM that does not respond is no longer listed.
const LIST_LAG: u64 = 5_000;

#[derive(Clone, Debug)]
pub enum Event {
    Timer {
        vm: usize,
        process: u64,
        timer: Timer,
    },
    Message {
        from: usize,
        vm: usize,
        /// Process to which a reply belongs. `None`: a request, for any process.
        process: Option<u64>,
        message: Message,
    },
    Call {
        vm: usize,
        process: u64,
        sent_at: Millis,
        write: Option<(Vec<u8>, Option<u64>)>,
    },
}

#[derive(Clone, Copy, Debug)]
pub enum Timer {
    Tick,
    Watch,
    Members,
    Config,
}

#[derive(Clone, Debug)]
pub enum Message {
    Borrow(Millis, u64, BorrowRequest),
    Grants(Millis, VmId, BorrowReply),
    Renew(Millis, u64, RenewRequest),
    Renewed(Millis, VmId, RenewReply),
    Owners(usize, Option<(u64, Vec<u8>)>),
    Written(Millis, OwnersWriteOutcome),
}

impl Message {
    /// Estimate of the bytes on the wire: 60 for the frame and the ids, 56 for each limit.
    fn size(&self) -> u64 {
        let limits = match self {
            Self::Borrow(_, _, request) => request.limits.len(),
            Self::Grants(_, _, reply) => reply.grants.len(),
            Self::Renew(_, _, request) => request.shards.len() / 3,
            Self::Renewed(_, _, reply) => reply.acked.len() / 3,
            Self::Owners(..) | Self::Written(..) => 0,
        };
        60 + 56 * limits as u64
    }
}

impl World {
    pub(super) fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    pub(super) fn start_timers(&mut self, vm: usize) {
        let process = self.vms[vm].incarnation;
        for (delay, timer) in [
            (1, Timer::Config),
            (2, Timer::Members),
            (5, Timer::Watch),
            (10, Timer::Tick),
        ] {
            self.schedule(delay, Event::Timer { vm, process, timer });
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
        let (vm, process) = match &event {
            Event::Timer { vm, process, .. } => (*vm, Some(*process)),
            Event::Message { vm, process, .. } => (*vm, *process),
            Event::Call {
                vm,
                process,
                sent_at,
                write,
            } => {
                self.serve_call(*vm, *process, *sent_at, write.clone());
                return;
            }
        };
        let target = &mut self.vms[vm];
        if !target.alive() || process.is_some_and(|p| p != target.incarnation) {
            return;
        }
        if target.paused {
            target.withheld.push(event);
            return;
        }
        match event {
            Event::Timer { timer, .. } => self.on_timer(vm, timer),
            Event::Message { from, message, .. } => self.on_message(from, vm, message),
            Event::Call { .. } => {}
        }
    }

    fn on_timer(&mut self, vm: usize, timer: Timer) {
        let period = match timer {
            Timer::Tick => {
                self.tick(vm);
                self.setup.tick
            }
            Timer::Watch => {
                self.watch(vm);
                200
            }
            Timer::Members => {
                self.list_members(vm);
                1_000
            }
            Timer::Config => {
                self.configure(vm);
                500
            }
        };
        let process = self.vms[vm].incarnation;
        self.schedule(period, Event::Timer { vm, process, timer });
    }

    pub(super) fn tick(&mut self, vm: usize) {
        let clock = self.vms[vm].clock(self.now);
        let process = self.vms[vm].incarnation;
        let Some(ledger) = self.vms[vm].ledger.as_mut() else {
            return;
        };
        let actions = ledger.tick(clock);
        let released = ledger.owns_no_shards();
        for action in actions {
            match action {
                RateLimiterAction::Borrow { to, request } => {
                    self.send(vm, &to, &Message::Borrow(clock, process, request));
                }
                RateLimiterAction::RenewShardLeases { to, request } => {
                    self.send(vm, &to, &Message::Renew(clock, process, request));
                }
                RateLimiterAction::WriteOwners {
                    value,
                    expected_version,
                    ..
                } => {
                    let write = Some((value, expected_version.map(|r| r.0)));
                    self.call_store(vm, clock, write);
                }
                RateLimiterAction::ReadOwners { .. } => self.call_store(vm, clock, None),
            }
        }
        if self.vms[vm].leaving && released {
            self.kill(vm);
        }
    }

    /// The time a message takes. Slow ones arrive out of order, some after their lease.
    fn delay(&mut self) -> u64 {
        if self.rng.u64(0..1000) < self.setup.slow {
            return self.rng.u64(0..5_000);
        }
        self.rng.u64(0..3)
    }

    fn lost(&mut self) -> bool {
        self.rng.u64(0..1000) < self.setup.loss
    }

    fn send(&mut self, from: usize, to: &VmId, message: &Message) {
        if let Some(vm) = self.vms.iter().position(|v| &v.id == to) {
            self.post(from, vm, None, message);
        }
    }

    fn post(&mut self, from: usize, vm: usize, process: Option<u64>, message: &Message) {
        self.messages += 1;
        self.bytes += message.size();
        let copies = if self.lost() { 2 } else { 1 };
        for _ in 0..copies {
            let connected = self.reaches(self.vms[from].domain, self.vms[vm].domain);
            if connected && !self.lost() {
                let delay = self.delay();
                let message = message.clone();
                self.schedule(
                    delay,
                    Event::Message {
                        from,
                        vm,
                        process,
                        message,
                    },
                );
            }
        }
    }

    fn on_message(&mut self, from: usize, vm: usize, message: Message) {
        if !self.reaches(self.vms[from].domain, self.vms[vm].domain) {
            return;
        }
        let clock = self.vms[vm].clock(self.now);
        let own = self.vms[vm].id.clone();
        let Some(ledger) = self.vms[vm].ledger.as_mut() else {
            return;
        };
        match message {
            Message::Borrow(sent_at, process, request) => {
                let reply =
                    Message::Grants(sent_at, own, ledger.on_borrow_request(clock, &request));
                let urgent = ledger.needs_tick();
                self.post(vm, from, Some(process), &reply);
                if urgent {
                    self.tick(vm);
                }
            }
            Message::Renew(sent_at, process, request) => {
                let reply =
                    Message::Renewed(sent_at, own, ledger.on_renew_request(clock, &request));
                self.post(vm, from, Some(process), &reply);
            }
            Message::Grants(sent_at, owner, reply) => {
                ledger.on_borrow_reply(clock, sent_at, &owner, &reply);
            }
            Message::Renewed(sent_at, standby, reply) => {
                ledger.on_renew_reply(clock, sent_at, &standby, &reply);
            }
            Message::Owners(domain, Some((version, json))) => {
                let table = OwnersTable::parse(&json).expect("tables are valid");
                ledger.on_owners_table(clock, &domain_id(domain), Revision(version), &table);
            }
            Message::Owners(domain, None) => {
                ledger.on_owners_table_absent(clock, &domain_id(domain));
            }
            Message::Written(sent_at, outcome) => {
                ledger.on_owners_write_outcome(clock, sent_at, outcome);
                self.tick(vm);
            }
        }
    }

    fn call_store(&mut self, vm: usize, sent_at: Millis, write: Option<(Vec<u8>, Option<u64>)>) {
        let process = self.vms[vm].incarnation;
        let delay = 1 + self.delay();
        // A caller gives up; its write may take effect later all the same.
        let abandoned = delay > STORE_TIMEOUT;
        if abandoned && write.is_some() {
            let unknown = Message::Written(sent_at, OwnersWriteOutcome::Unknown);
            self.answer(vm, process, STORE_TIMEOUT, unknown);
        }
        let process = if abandoned { 0 } else { process };
        self.schedule(
            delay,
            Event::Call {
                vm,
                process,
                sent_at,
                write,
            },
        );
    }

    /// The store's side of a call, which goes on if the caller has died.
    fn serve_call(
        &mut self,
        vm: usize,
        process: u64,
        sent_at: Millis,
        write: Option<(Vec<u8>, Option<u64>)>,
    ) {
        let domain = self.vms[vm].domain;
        let reached = self.reaches_store(domain);
        let lost = self.lost() || self.lost();
        let Some((value, expected)) = write else {
            if reached && !lost {
                let object = self.objects.get(&domain).cloned();
                self.answer(vm, process, 1, Message::Owners(domain, object));
            }
            return;
        };
        let mut outcome = OwnersWriteOutcome::Unknown;
        if reached {
            let current = self.objects.get(&domain).map(|o| o.0);
            outcome = OwnersWriteOutcome::Conflict;
            if current == expected {
                self.store_writes += 1;
                let version = self.objects.values().map(|o| o.0).max().unwrap_or(0) + 1;
                self.objects.insert(domain, (version, value));
                outcome = OwnersWriteOutcome::Written(Revision(version));
            }
        }
        if !reached || lost {
            self.answer(
                vm,
                process,
                STORE_TIMEOUT,
                Message::Written(sent_at, OwnersWriteOutcome::Unknown),
            );
        } else {
            let delay = 1 + self.delay();
            self.answer(vm, process, delay, Message::Written(sent_at, outcome));
        }
    }

    fn answer(&mut self, vm: usize, process: u64, delay: u64, message: Message) {
        let process = Some(process);
        self.schedule(
            delay,
            Event::Message {
                from: vm,
                vm,
                process,
                message,
            },
        );
    }

    /// Delivers the tables that changed since the last call.
    fn watch(&mut self, vm: usize) {
        if !self.reaches_store(self.vms[vm].domain) {
            return;
        }
        let process = self.vms[vm].incarnation;
        for domain in 0..self.setup.domains {
            let object = self.objects.get(&domain).cloned();
            let version = object.as_ref().map_or(0, |o| o.0);
            if self.vms[vm].seen.get(&domain) == Some(&version) {
                continue;
            }
            self.vms[vm].seen.insert(domain, version);
            let delay = 1 + self.delay();
            self.answer(vm, process, delay, Message::Owners(domain, object));
        }
    }

    fn list_members(&mut self, vm: usize) {
        let domain = self.vms[vm].domain;
        let listed = |v: &&super::Vm| {
            let responds = v.alive() && !v.paused;
            let recent = v.gone_at > 0 && self.now < v.gone_at + LIST_LAG;
            v.domain == domain && !v.leaving && (responds || recent)
        };
        let live: Vec<VmId> = self
            .vms
            .iter()
            .filter(listed)
            .map(|v| v.id.clone())
            .collect();
        let clock = self.vms[vm].clock(self.now);
        if let Some(ledger) = self.vms[vm].ledger.as_mut() {
            ledger.on_live_vms(clock, &live);
        }
    }

    /// Delivers the newest configuration from the store or from another domain.
    fn configure(&mut self, vm: usize) {
        let domain = self.vms[vm].domain;
        let peer = (0..self.setup.domains).any(|d| d != domain && self.reaches(domain, d));
        let connected = self.reaches_store(domain) || peer || self.vms[vm].revision == 0;
        if !connected || self.vms[vm].revision >= self.revision {
            return;
        }
        let clock = self.vms[vm].clock(self.now);
        let (revision, specs) = (self.revision, self.specs.clone());
        self.vms[vm].revision = revision;
        if let Some(ledger) = self.vms[vm].ledger.as_mut() {
            let domains = (0..self.setup.domains).map(domain_id).collect();
            ledger.configure(clock, Revision(revision), domains, specs);
        }
    }
}
