//! Carries out what the flows ask for, and what the targets do.

use waxwing_core::{FlowAction, FlowEvent, Forwarded, IncomingRequest, Refusal, StoreOutcome};
use waxwing_types::{Millis, Ran, Revision};

use super::caller::CONNECT_TIMEOUT;
use super::event::Event;
use super::ledger::STORE_TIMEOUT;
use super::size::{number, region};
use super::target::{Entry, Job};
use super::vm::{Handler, Link};
use super::world::World;

/// Time in µs after which a crashed target runs again.
const RESTART: u64 = 10_000_000;
/// Factor on the run time while caches are cold.
const COLD: f64 = 3.0;

impl World {
    /// Hands an event to a flow and carries out its actions.
    pub(super) fn deliver(&mut self, at: Link, event: FlowEvent) {
        let now = Millis(self.now / 1000);
        let Some(live) = self.live(at) else { return };
        let finished = matches!(event, FlowEvent::ResponseComplete { .. });
        let ended = finished
            || matches!(
                event,
                FlowEvent::ConnectionBroken
                    | FlowEvent::ConnectFailed
                    | FlowEvent::RegionRefused
                    | FlowEvent::ResponseHead { not_run: true, .. }
            );
        if let FlowEvent::ResponseHead { status, .. } = event {
            live.status = status;
        }
        let (parent, relayed, root) = (live.parent, live.answered, live.root);
        if ended {
            live.sending = false;
            self.end_connection(at);
        }
        let was_admitted = self.live(at).is_some_and(|l| l.is_admitted());
        let broken = event == FlowEvent::ConnectionBroken;
        let actions = self.vms[at.vm].step(now, at.flow, event.clone());
        if !was_admitted && self.live(at).is_some_and(|l| l.is_admitted()) {
            if parent.is_some() {
                let region = self.vms[at.vm].domain / 2;
                self.meter.on_region_work(self.now, region);
            } else {
                let workspace = self.roots[root].workspace;
                self.meter.on_admission(self.now, workspace);
            }
        }
        for action in actions {
            self.act(at, action);
        }
        if relayed && (broken || finished) {
            match parent {
                Some(parent) => {
                    let delay = self.delay(self.vms[at.vm].domain, self.vms[parent.vm].domain);
                    self.later(delay, parent, true, event);
                }
                None if finished => self.serve(root, at.vm),
                None => self.broken(root, at.vm),
            }
        }
        if self.live(at).is_some_and(|l| l.is_finished()) {
            self.vms[at.vm].flows.remove(&at.flow);
        }
        self.tick_early(at.vm);
    }

    fn act(&mut self, at: Link, action: FlowAction) {
        match action {
            FlowAction::CreateRecord { .. }
            | FlowAction::ReadRecord { .. }
            | FlowAction::UpdateRecord { .. } => {
                self.call_store(at, action);
            }
            FlowAction::WaitInQueue | FlowAction::ReportRetry(_) => {}
            FlowAction::SetTimer(time) => {
                if let Some(live) = self.live(at) {
                    live.timer = time;
                }
                let delay = (time.0 * 1000).saturating_sub(self.now);
                self.schedule(delay, Event::Timer { at, time });
            }
            FlowAction::SendToTarget { target, .. } => self.send(at, number(target.as_str())),
            FlowAction::ForwardToRegion {
                region, deadline, ..
            } => self.forward(at, number(region.as_str()), deadline),
            FlowAction::RelayResponse => self.answer(at, None),
            FlowAction::Refuse(refusal) => self.answer(at, Some(refusal)),
            FlowAction::CancelAttempt => self.cancel(at),
            FlowAction::NotifyDequeued(flow) => {
                let to = self.link(at.vm, flow.0);
                self.later(0, to, false, FlowEvent::Dequeued);
            }
        }
    }

    fn send(&mut self, at: Link, target: usize) {
        let at = self.begin(at);
        let Some(live) = self.live(at) else { return };
        let root = live.root;
        let service = self.roots[root].service;
        if let Some(live) = self.live(at) {
            live.target = Some((service, target));
        }
        let conn = &mut self.vms[at.vm].conns[service][target];
        conn.0 += 1;
        let opens = conn.0 > conn.1;
        conn.1 = conn.1.max(conn.0);
        let (here, there) = (self.vms[at.vm].domain, self.targets[service][target].domain);
        if !self.reaches(here, there) {
            self.later(CONNECT_TIMEOUT, at, true, FlowEvent::ConnectFailed);
            return;
        }
        let delay = self.delay(here, there) + if opens { 1_000 } else { 0 };
        self.schedule(
            delay,
            Event::Reach {
                at,
                service,
                target,
                root,
            },
        );
    }

    fn begin(&mut self, at: Link) -> Link {
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        if let Some(live) = self.live(at) {
            live.attempt = attempt;
            live.sending = true;
            live.child = None;
            live.target = None;
        }
        Link { attempt, ..at }
    }

    fn end_connection(&mut self, at: Link) {
        let target = self.live(at).and_then(|live| live.target.take());
        if let Some((service, target)) = target {
            let conn = &mut self.vms[at.vm].conns[service][target];
            conn.0 = conn.0.saturating_sub(1);
        }
    }

    fn forward(&mut self, at: Link, to: usize, deadline: Millis) {
        let parent = self.begin(at);
        let now = Millis(self.now / 1000);
        let daemon = &mut self.vms[at.vm];
        let vm = daemon.steering.pick_entry_vm(
            now,
            &daemon.config,
            &daemon.members,
            &region(to).as_str().into(),
            &mut daemon.rng,
        );
        let vm = vm.map(|vm| number(vm.id.as_str()));
        let here = daemon.domain;
        let vm = vm.filter(|vm| self.vms[*vm].alive && self.reaches(here, self.vms[*vm].domain));
        let Some(vm) = vm else {
            self.later(CONNECT_TIMEOUT, parent, true, FlowEvent::ConnectFailed);
            return;
        };
        self.meter.on_moved(self.now);
        let Some(live) = self.live(at) else { return };
        let root = live.root;
        let Handler::Core(flow) = &live.handler else {
            return;
        };
        let arrival = IncomingRequest {
            requested_timeout: Some(deadline - now),
            forwarded: Some(Forwarded {
                workspace: flow.workspace().cloned(),
                from_region: region(here / 2).as_str().into(),
            }),
            ..flow.request().clone()
        };
        let child = self.open(vm, root, Some(arrival), Some(parent));
        if let Some(live) = self.live(at) {
            live.child = Some(child);
        }
        let delay = self.delay(here, self.vms[vm].domain);
        self.later(delay, child, false, FlowEvent::Start);
    }

    fn cancel(&mut self, at: Link) {
        let Some(live) = self.live(at) else { return };
        live.sending = false;
        let (child, target) = (live.child.take(), live.target);
        let at = Link {
            attempt: live.attempt,
            ..at
        };
        if let Some(child) = child {
            let delay = self.delay(self.vms[at.vm].domain, self.vms[child.vm].domain);
            self.later(delay, child, false, FlowEvent::CallerDisconnected);
        }
        if let Some((service, target)) = target {
            let there = self.targets[service][target].domain;
            let delay = self.delay(self.vms[at.vm].domain, there);
            self.schedule(
                delay,
                Event::CancelRun {
                    at,
                    service,
                    target,
                },
            );
        }
        self.end_connection(at);
    }

    fn answer(&mut self, at: Link, refusal: Option<Refusal>) {
        let Some(live) = self.live(at) else { return };
        live.answered = true;
        let (root, status, parent) = (live.root, live.status, live.parent);
        let Some(parent) = parent else {
            if let Some(refusal) = refusal {
                self.refuse(root, refusal);
            }
            return;
        };
        let delay = self.delay(self.vms[at.vm].domain, self.vms[parent.vm].domain);
        let head = |status| FlowEvent::ResponseHead {
            status,
            not_run: false,
        };
        match refusal {
            None => self.later(delay, parent, true, head(status)),
            Some(r) if r.ran == Ran::No => {
                self.later(delay, parent, true, FlowEvent::RegionRefused);
            }
            Some(_) => self.later(delay, parent, true, FlowEvent::ConnectionBroken),
        }
    }

    fn call_store(&mut self, at: Link, action: FlowAction) {
        let Some(call) = self.live(at).map(|l| l.call) else {
            return;
        };
        let place = self.vms[at.vm].domain;
        if !self.reaches_store(place) {
            self.later_store(STORE_TIMEOUT, at, call, StoreOutcome::NoResponse);
            return;
        }
        let delay = self.store_delay(place);
        self.schedule(delay, Event::Effect { at, call, action });
    }

    pub(super) fn effect(&mut self, at: Link, call: u64, action: &FlowAction) {
        self.version += 1;
        let next = self.version;
        let outcome = match action {
            FlowAction::CreateRecord { path, value } => {
                if let Some((version, held)) = self.claims.get(path) {
                    StoreOutcome::Exists(Revision(*version), held.clone())
                } else {
                    self.claims.insert(path.clone(), (next, value.clone()));
                    StoreOutcome::Created(Revision(next))
                }
            }
            FlowAction::UpdateRecord {
                path,
                version,
                value,
            } => match self.claims.get_mut(path) {
                Some(held) if held.0 == version.0 => {
                    *held = (next, value.clone());
                    StoreOutcome::Updated(Revision(next))
                }
                Some(_) | None => StoreOutcome::Conflict,
            },
            FlowAction::ReadRecord { path } => match self.claims.get(path) {
                Some((version, held)) => StoreOutcome::Read(Revision(*version), held.clone()),
                None => StoreOutcome::NotFound,
            },
            _ => return,
        };
        let delay = self.store_delay(self.vms[at.vm].domain);
        self.later_store(delay, at, call, outcome);
    }

    /// A request reaches a target.
    pub(super) fn reach(&mut self, at: Link, service: usize, target: usize, root: usize) {
        let now = self.now;
        let model = &mut self.targets[service][target];
        let there = model.domain;
        let delay = self.delay(there, self.vms[at.vm].domain);
        let model = &mut self.targets[service][target];
        if !model.alive {
            self.later(delay, at, true, FlowEvent::ConnectFailed);
            return;
        }
        let job = Job {
            at,
            root,
            started: now,
        };
        match model.enter(now, job) {
            Entry::Run => self.run(job, service, target),
            Entry::Wait => {}
            Entry::Shed => {
                let shed = FlowEvent::ResponseHead {
                    status: 503,
                    not_run: true,
                };
                self.later(delay, at, true, shed);
            }
        }
    }

    fn run(&mut self, job: Job, service: usize, target: usize) {
        let root = &self.roots[job.root];
        self.meter
            .on_run(self.now, root.workspace, self.vms[job.at.vm].domain);
        if root.poison {
            self.meter.crashes.push(self.now);
            self.crash(service, target);
            return;
        }
        let draw = root.draw;
        let far = self.vms[job.at.vm].flows.get(&job.at.flow);
        let far = far.is_some_and(|live| live.parent.is_some());
        let model = &mut self.targets[service][target];
        let cold = far && model.cold > 0;
        model.cold -= u32::from(cold);
        let factor = model.factor * if cold { COLD } else { 1.0 };
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let span = (self.size.hold[service] as f64 * 1000.0 * draw * factor) as u64;
        let at = job.at;
        self.schedule(
            span,
            Event::RunEnd {
                at,
                service,
                target,
            },
        );
    }

    pub(super) fn run_end(&mut self, at: Link, service: usize, target: usize) {
        let (ended, next) = self.targets[service][target].leave(self.now, at);
        if ended.is_some() {
            let there = self.targets[service][target].domain;
            let here = self.vms[at.vm].domain;
            let head = FlowEvent::ResponseHead {
                status: 200,
                not_run: false,
            };
            let end = FlowEvent::ResponseComplete {
                bytes_out: 1000,
                bytes_in: 1000,
            };
            let delay = self.delay(there, here);
            if self.reaches(there, here) {
                self.later(delay, at, true, head);
                self.later(delay + 100, at, true, end);
            }
        }
        if let Some(job) = next {
            self.run(job, service, target);
        }
    }

    pub(super) fn cancel_run(&mut self, at: Link, service: usize, target: usize) {
        let (_, next) = self.targets[service][target].leave(self.now, at);
        if let Some(job) = next {
            self.run(job, service, target);
        }
    }

    /// Ends a target's process, which starts again later.
    pub(super) fn crash(&mut self, service: usize, target: usize) {
        let there = self.targets[service][target].domain;
        for job in self.targets[service][target].crash(self.now) {
            let delay = self.delay(there, self.vms[job.at.vm].domain);
            self.later(delay, job.at, true, FlowEvent::ConnectionBroken);
        }
        self.schedule(RESTART, Event::Restart { service, target });
    }
}
