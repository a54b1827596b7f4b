//! The messages, timers and store calls of the simulated deployment.

use waxwing_core::{
    BorrowReply, BorrowRequest, OwnersTable, OwnersWriteOutcome, RateLimiterAction, RenewReply,
    RenewRequest,
};
use waxwing_types::{Millis, Revision, VmId};

use super::{World, domain_id};

/// Time after which a caller gives up a call to the store. The result of a write is then unknown.
const STORE_TIMEOUT_MS: u64 = 1_000;
/// Time for which a VM that no longer responds still counts as live.
const MEMBER_TIMEOUT_MS: u64 = 5_000;

#[derive(Clone, Debug)]
pub enum Event {
    Timer {
        vm: usize,
        process: u64,
        timer: Timer,
    },
    /// A message arrives at the VM `vm`.
    Message {
        from: usize,
        vm: usize,
        /// The process that a reply is for, `None` for a request.
        process: Option<u64>,
        message: Message,
    },
    StoreCall {
        vm: usize,
        process: u64,
        sent_at: Millis,
        /// The value to write and the expected version, `None` for a read.
        write: Option<(Vec<u8>, Option<u64>)>,
    },
}

#[derive(Clone, Copy, Debug)]
pub enum Timer {
    Tick,
    ReadOwners,
    UpdateMembers,
    UpdateLimits,
}

/// A message between VMs, or from the store to a VM.
#[derive(Clone, Debug)]
pub enum Message {
    /// A request with the time at which it was sent, and the process that sent it.
    Borrow(Millis, u64, BorrowRequest),
    /// The reply to [`Message::Borrow`], with the time of the request and the VM that replies.
    Grants(Millis, VmId, BorrowReply),
    /// A request with the time at which it was sent, and the process that sent it.
    Renew(Millis, u64, RenewRequest),
    /// The reply to [`Message::Renew`], with the time of the request and the VM that replies.
    Renewed(Millis, VmId, RenewReply),
    /// The owners table of a failure domain with its version, `None` if the store has none.
    Owners(usize, Option<(u64, Vec<u8>)>),
    /// The outcome of a write to the store, with the time of the call.
    Written(Millis, OwnersWriteOutcome),
}

impl Message {
    /// Estimates the bytes on the wire: 60 for the frame and the ids, and 56 for each limit.
    fn estimated_bytes(&self) -> u64 {
        let limit_count = match self {
            Self::Borrow(_, _, request) => request.limits.len(),
            Self::Grants(_, _, reply) => reply.grants.len(),
            Self::Renew(_, _, request) => request.shards.len() / 3,
            Self::Renewed(_, _, reply) => reply.acked.len() / 3,
            Self::Owners(..) | Self::Written(..) => 0,
        };
        60 + 56 * limit_count as u64
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
            (1, Timer::UpdateLimits),
            (2, Timer::UpdateMembers),
            (5, Timer::ReadOwners),
            (10, Timer::Tick),
        ] {
            self.schedule(delay, Event::Timer { vm, process, timer });
        }
    }

    /// Handles an event, unless its process has ended. Defers it if the VM is paused.
    pub(super) fn handle(&mut self, event: Event) {
        let (vm, process) = match &event {
            Event::Timer { vm, process, .. } => (*vm, Some(*process)),
            Event::Message { vm, process, .. } => (*vm, *process),
            Event::StoreCall {
                vm,
                process,
                sent_at,
                write,
            } => {
                self.on_store_call(*vm, *process, *sent_at, write.clone());
                return;
            }
        };
        let receiver = &mut self.vms[vm];
        if !receiver.is_running() || process.is_some_and(|p| p != receiver.incarnation) {
            return;
        }
        if receiver.paused {
            receiver.deferred_events.push(event);
            return;
        }
        match event {
            Event::Timer { timer, .. } => self.on_timer(vm, timer),
            Event::Message { from, message, .. } => self.on_message(from, vm, message),
            Event::StoreCall { .. } => {}
        }
    }

    fn on_timer(&mut self, vm: usize, timer: Timer) {
        let period = match timer {
            Timer::Tick => {
                self.tick(vm);
                self.setup.tick_ms
            }
            Timer::ReadOwners => {
                self.deliver_owners_tables(vm);
                200
            }
            Timer::UpdateMembers => {
                self.update_members(vm);
                1_000
            }
            Timer::UpdateLimits => {
                self.update_limits(vm);
                500
            }
        };
        let process = self.vms[vm].incarnation;
        self.schedule(period, Event::Timer { vm, process, timer });
    }

    pub(super) fn tick(&mut self, vm: usize) {
        let clock = self.vms[vm].clock(self.now);
        let process = self.vms[vm].incarnation;
        let Some(limiter) = self.vms[vm].limiter.as_mut() else {
            return;
        };
        let actions = limiter.tick(clock);
        let owns_no_shards = limiter.owns_no_shards();
        for action in actions {
            match action {
                RateLimiterAction::Borrow { to, request } => {
                    self.send(vm, &to, &Message::Borrow(clock, process, request));
                }
                RateLimiterAction::Renew { to, request } => {
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
        if self.vms[vm].leaving && owns_no_shards {
            self.kill(vm);
        }
    }

    /// Draws the delay of a message. Slow ones arrive out of order, some after their lease ended.
    fn draw_delay(&mut self) -> u64 {
        if self.rng.u64(0..1000) < self.setup.delayed_permille {
            return self.rng.u64(0..5_000);
        }
        self.rng.u64(0..3)
    }

    /// Draws whether a message is lost or duplicated.
    fn draw_loss(&mut self) -> bool {
        self.rng.u64(0..1000) < self.setup.loss_permille
    }

    fn send(&mut self, from: usize, to: &VmId, message: &Message) {
        if let Some(vm) = self.vms.iter().position(|v| &v.id == to) {
            self.transmit(from, vm, None, message);
        }
    }

    /// Schedules the arrival of a message, with the faults of the network.
    fn transmit(&mut self, from: usize, vm: usize, process: Option<u64>, message: &Message) {
        self.message_count += 1;
        self.message_bytes += message.estimated_bytes();
        let copies = if self.draw_loss() { 2 } else { 1 };
        for _ in 0..copies {
            let connected = self.domains_connected(self.vms[from].domain, self.vms[vm].domain);
            if connected && !self.draw_loss() {
                let delay = self.draw_delay();
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
        if !self.domains_connected(self.vms[from].domain, self.vms[vm].domain) {
            return;
        }
        let now = self.vms[vm].clock(self.now);
        let id = self.vms[vm].id.clone();
        let Some(limiter) = self.vms[vm].limiter.as_mut() else {
            return;
        };
        match message {
            Message::Borrow(sent_at, process, request) => {
                let reply = Message::Grants(sent_at, id, limiter.on_borrow_request(now, &request));
                let needs_tick = limiter.needs_tick();
                self.transmit(vm, from, Some(process), &reply);
                if needs_tick {
                    self.tick(vm);
                }
            }
            Message::Renew(sent_at, process, request) => {
                let reply = Message::Renewed(sent_at, id, limiter.on_renew_request(now, &request));
                self.transmit(vm, from, Some(process), &reply);
            }
            Message::Grants(sent_at, owner, reply) => {
                limiter.on_borrow_reply(now, sent_at, &owner, &reply);
            }
            Message::Renewed(sent_at, standby, reply) => {
                limiter.on_renew_reply(now, sent_at, &standby, &reply);
            }
            Message::Owners(domain, Some((version, json))) => {
                let table = OwnersTable::parse(&json).expect("tables are valid");
                limiter.on_owners_table(now, &domain_id(domain), Revision(version), &table);
            }
            Message::Owners(domain, None) => {
                limiter.on_owners_table_absent(now, &domain_id(domain));
            }
            Message::Written(sent_at, outcome) => {
                limiter.on_owners_write_outcome(now, sent_at, outcome);
                self.tick(vm);
            }
        }
    }

    /// Sends a call to the store, which is a read if `write` is `None`.
    fn call_store(&mut self, vm: usize, sent_at: Millis, write: Option<(Vec<u8>, Option<u64>)>) {
        let process = self.vms[vm].incarnation;
        let delay = 1 + self.draw_delay();
        // The caller gives up, but its write may still take effect. A reply to process 0 is
        // dropped.
        let abandoned = delay > STORE_TIMEOUT_MS;
        if abandoned && write.is_some() {
            let outcome = Message::Written(sent_at, OwnersWriteOutcome::Unknown);
            self.schedule_store_reply(vm, process, STORE_TIMEOUT_MS, outcome);
        }
        let process = if abandoned { 0 } else { process };
        self.schedule(
            delay,
            Event::StoreCall {
                vm,
                process,
                sent_at,
                write,
            },
        );
    }

    /// Performs a call in the store, even if the caller has ended since.
    fn on_store_call(
        &mut self,
        vm: usize,
        process: u64,
        sent_at: Millis,
        write: Option<(Vec<u8>, Option<u64>)>,
    ) {
        let domain = self.vms[vm].domain;
        let store_reached = self.store_reachable_from(domain);
        let reply_lost = self.draw_loss() || self.draw_loss();
        let Some((value, expected)) = write else {
            if store_reached && !reply_lost {
                let table = self.owners_tables.get(&domain).cloned();
                self.schedule_store_reply(vm, process, 1, Message::Owners(domain, table));
            }
            return;
        };
        let mut outcome = OwnersWriteOutcome::Unknown;
        if store_reached {
            let current_version = self.owners_tables.get(&domain).map(|t| t.0);
            outcome = OwnersWriteOutcome::Conflict;
            if current_version == expected {
                self.store_writes += 1;
                let version = self.owners_tables.values().map(|t| t.0).max().unwrap_or(0) + 1;
                self.owners_tables.insert(domain, (version, value));
                outcome = OwnersWriteOutcome::Written(Revision(version));
            }
        }
        if !store_reached || reply_lost {
            self.schedule_store_reply(
                vm,
                process,
                STORE_TIMEOUT_MS,
                Message::Written(sent_at, OwnersWriteOutcome::Unknown),
            );
        } else {
            let delay = 1 + self.draw_delay();
            self.schedule_store_reply(vm, process, delay, Message::Written(sent_at, outcome));
        }
    }

    fn schedule_store_reply(&mut self, vm: usize, process: u64, delay: u64, message: Message) {
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

    /// Delivers the owners tables that changed since the last call.
    fn deliver_owners_tables(&mut self, vm: usize) {
        if !self.store_reachable_from(self.vms[vm].domain) {
            return;
        }
        let process = self.vms[vm].incarnation;
        for domain in 0..self.setup.domains {
            let table = self.owners_tables.get(&domain).cloned();
            let version = table.as_ref().map_or(0, |t| t.0);
            if self.vms[vm].seen_versions.get(&domain) == Some(&version) {
                continue;
            }
            self.vms[vm].seen_versions.insert(domain, version);
            let delay = 1 + self.draw_delay();
            self.schedule_store_reply(vm, process, delay, Message::Owners(domain, table));
        }
    }

    /// Tells the rate limiter of a VM which VMs of its failure domain are live.
    fn update_members(&mut self, vm: usize) {
        let domain = self.vms[vm].domain;
        let counts_as_live = |v: &&super::Vm| {
            let responds = v.is_running() && !v.paused;
            let timing_out = v.down_since > 0 && self.now < v.down_since + MEMBER_TIMEOUT_MS;
            v.domain == domain && !v.leaving && (responds || timing_out)
        };
        let live: Vec<VmId> = self
            .vms
            .iter()
            .filter(counts_as_live)
            .map(|v| v.id.clone())
            .collect();
        let clock = self.vms[vm].clock(self.now);
        if let Some(limiter) = self.vms[vm].limiter.as_mut() {
            limiter.on_live_vms(clock, &live);
        }
    }

    /// Delivers the newest limits to a VM that can get them, and in any case to a new process.
    fn update_limits(&mut self, vm: usize) {
        let domain = self.vms[vm].domain;
        let via_peer =
            (0..self.setup.domains).any(|d| d != domain && self.domains_connected(domain, d));
        let available = self.store_reachable_from(domain) || via_peer || self.vms[vm].revision == 0;
        if !available || self.vms[vm].revision >= self.revision {
            return;
        }
        let clock = self.vms[vm].clock(self.now);
        let (revision, specs) = (self.revision, self.specs.clone());
        self.vms[vm].revision = revision;
        if let Some(limiter) = self.vms[vm].limiter.as_mut() {
            let domains = (0..self.setup.domains).map(domain_id).collect();
            limiter.configure(clock, Revision(revision), domains, specs);
        }
    }
}
