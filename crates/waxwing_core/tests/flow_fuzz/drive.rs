//! Carries out what the flows ask for, and what the targets do.

use waxwing_core::{FlowAction, FlowEvent, FlowId, Refusal, StoreOutcome};
use waxwing_types::{Millis, Ran};

use crate::records::{VMS, region_of_vm};
use crate::store::CALL_TIMEOUT;
use crate::target::{Mode, Sender};
use crate::vm::Link;
use crate::world::{Event, World, forwarded};

/// Time that the routes allow until the answer begins.
const TIMEOUT: u64 = 400;
/// Time for which the oracle expects a poison request to stay quarantined.
const QUARANTINE: u64 = 600_000;

impl World {
    /// Hands an event to a flow and carries out its actions.
    pub(crate) fn deliver(&mut self, at: Link, event: FlowEvent) {
        let now = self.now;
        let Some(live) = self.live(at) else { return };
        let broken = event == FlowEvent::ConnectionBroken;
        let finished = matches!(event, FlowEvent::ResponseComplete { .. });
        let not_run = matches!(event, FlowEvent::ResponseHead { not_run: true, .. });
        if let FlowEvent::ResponseHead { status, .. } = event {
            live.status = status;
        }
        let ended = event == FlowEvent::ConnectFailed || event == FlowEvent::RegionRefused;
        if broken || finished || not_run || ended {
            live.is_sending = false;
        }
        let (parent, relayed) = (live.parent, live.answered);
        if broken && live.child.is_none() {
            self.count_crash(at);
        }
        let actions = self.vms[at.vm].step(now, at.flow, event.clone());
        for action in actions {
            self.act(at, action);
        }
        if let Some(parent) = parent.filter(|_| relayed && (broken || finished)) {
            self.later(1, parent, true, event);
        }
        let done = |l: &mut crate::vm::Live| l.flow.is_finished();
        if self.live(at).is_some_and(done) {
            self.vms[at.vm].flows.remove(&at.flow);
            let queued = self.vms[at.vm].queue.contains(FlowId(at.flow));
            assert!(!queued, "a finished request stays in the queue");
        }
    }

    fn act(&mut self, at: Link, action: FlowAction) {
        match action {
            FlowAction::CreateRecord { .. }
            | FlowAction::ReadRecord { .. }
            | FlowAction::UpdateRecord { .. } => {
                self.call_store(at, action);
            }
            FlowAction::WaitInQueue | FlowAction::ReportRetry(_) => {}
            FlowAction::SetTimer(Millis(time)) => {
                if let Some(live) = self.live(at) {
                    live.timer = time;
                }
                let delay = time.saturating_sub(self.now);
                self.schedule(delay, Event::Timer { at, time });
            }
            FlowAction::SendToTarget {
                target, workspace, ..
            } => {
                let index = target.as_str()[1..].parse().expect("target name");
                self.check_send(at, index, workspace.is_some());
                let (sender, root) = self.begin(at);
                let now = self.now;
                if let Some(live) = self.live(at) {
                    live.sent = (index, now);
                }
                let delay = self.rng.u64(1..3);
                self.schedule(
                    delay,
                    Event::Arrive {
                        sender,
                        target: index,
                        root,
                    },
                );
            }
            FlowAction::ForwardToRegion { region, deadline } => {
                self.forward(at, region.as_str(), deadline.0);
            }
            FlowAction::RelayResponse => self.answer(at, None),
            FlowAction::Refuse(refusal) => self.answer(at, Some(refusal)),
            FlowAction::CancelAttempt => {
                let Some(live) = self.live(at) else { return };
                live.is_sending = false;
                if let Some(child) = live.child.take() {
                    self.later(1, child, false, FlowEvent::CallerDisconnected);
                }
            }
            FlowAction::NotifyDequeued(flow) => {
                let to = self.link(at.vm, flow.0);
                self.later(0, to, false, FlowEvent::Dequeued);
            }
        }
    }

    fn call_store(&mut self, at: Link, action: FlowAction) {
        let Some(call) = self.live(at).map(|l| l.call) else {
            return;
        };
        let fate = self.store.fate(&mut self.rng);
        if let Some(effect) = fate.effect {
            let answer = fate.answer.is_some();
            self.schedule(
                effect,
                Event::Effect {
                    at,
                    call,
                    action,
                    answer,
                },
            );
        }
        let event = FlowEvent::StoreCallEnded(StoreOutcome::NoResponse);
        let lost = Event::Flow {
            at,
            call: Some(call),
            attempt: false,
            event,
        };
        self.schedule(CALL_TIMEOUT, lost);
    }

    fn begin(&mut self, at: Link) -> (Sender, usize) {
        let attempt = self.next_attempt();
        let live = self.live(at).expect("a flow that acts is alive");
        live.attempt = attempt;
        live.is_sending = true;
        live.child = None;
        let sender = Sender {
            vm: at.vm,
            process: at.process,
            flow: at.flow,
            attempt,
        };
        (sender, live.root)
    }

    fn forward(&mut self, at: Link, region: &str, deadline: u64) {
        let (sender, root) = self.begin(at);
        let there: Vec<_> = (0..VMS).filter(|v| region_of_vm(*v) == region).collect();
        let vm = self.rng.choice(there).expect("a VM in the region");
        let parent = link(sender);
        if self.rng.u8(..10) == 0 {
            self.later(1, parent, true, FlowEvent::ConnectFailed);
            return;
        }
        let left = deadline.saturating_sub(self.now);
        let live = self.live(at).expect("a flow that acts is alive");
        let arrival = forwarded(live.flow.request(), &live.flow, region_of_vm(at.vm), left);
        let flow = self.add_flow(vm, root, arrival, Some(parent));
        let child = self.link(vm, flow);
        if let Some(live) = self.live(at) {
            live.child = Some(child);
        }
        self.later(1, child, false, FlowEvent::Start);
    }

    fn answer(&mut self, at: Link, refusal: Option<Refusal>) {
        let Some(live) = self.live(at) else { return };
        assert!(!live.answered, "two answers of one flow");
        live.answered = true;
        let (root, status) = (live.root, live.status);
        if let Some(parent) = live.parent {
            self.answer_parent(parent, status, refusal);
            return;
        }
        let request = self.roots[root].request;
        let span = self.now - self.roots[root].since;
        assert!(span <= TIMEOUT, "{request:?}: answered after {span} ms");
        self.roots[root].answers += 1;
        self.roots[root].refusal = refusal;
        if refusal.is_some_and(|r| r.ran == Ran::Yes) {
            let runs = self.runs.get(&request).copied().unwrap_or(0);
            assert!(runs > 0, "{request:?}: said run, but never ran");
        }
    }

    fn answer_parent(&mut self, parent: Link, status: u16, refusal: Option<Refusal>) {
        let head = |status| FlowEvent::ResponseHead {
            status,
            not_run: false,
        };
        match refusal {
            None => self.later(1, parent, true, head(status)),
            Some(r) if r.ran == Ran::No => self.later(1, parent, true, FlowEvent::RegionRefused),
            Some(r) => {
                self.later(1, parent, true, head(r.status));
                let event = FlowEvent::ResponseComplete {
                    bytes_out: 100,
                    bytes_in: 100,
                };
                self.later(1, parent, true, event);
            }
        }
    }

    /// The oracle of sends: no work for leaving targets, withdrawn keys and poison requests.
    fn check_send(&mut self, at: Link, target: usize, for_workspace: bool) {
        let root = self.live(at).expect("a flow that acts is alive").root;
        let (request, now) = (self.roots[root].request, self.now);
        let daemon = &self.vms[at.vm];
        assert!(!daemon.leaving[target], "t{target} leaves and got new work");
        let withdrawn = daemon.withdrawn.contains(&request.workspace);
        assert!(
            !(withdrawn && for_workspace),
            "{request:?}: sent with a withdrawn key"
        );
        if request.poison
            && let Some((crashes, last, _)) = daemon.crashes.get(&(request, for_workspace))
        {
            let quarantined = *crashes >= 2 && now - last < QUARANTINE;
            assert!(!quarantined, "{request:?}: sent after {crashes} crashes");
        }
    }

    fn count_crash(&mut self, at: Link) {
        let Some(live) = self.live(at) else {
            return;
        };
        let (root, owned) = (live.root, live.flow.workspace().is_some());
        let (target, sent) = live.sent;
        let (request, now) = (self.roots[root].request, self.now);
        if request.poison {
            let crashes = &mut self.vms[at.vm].crashes;
            let entry = crashes.entry((request, owned)).or_default();
            // Copies that the same crash broke count once.
            if entry.0 == 0 || entry.2 != target || sent >= entry.1 {
                *entry = (entry.0 + 1, now, target);
            }
        }
    }

    pub(crate) fn arrive(&mut self, sender: Sender, target: usize, root: usize) {
        let (now, request) = (self.now, self.roots[root].request);
        let model = &mut self.targets[target];
        let full = model.running.len() >= model.slots;
        let closed = now < model.down_until || model.mode == Mode::Closed;
        let at = link(sender);
        self.roots[root].sends += u32::from(!closed);
        if !closed && self.rng.u8(..20) == 0 {
            self.later(0, at, true, FlowEvent::BodyConsumed);
        }
        let model = &mut self.targets[target];
        match model.mode {
            _ if closed => self.later(1, at, true, FlowEvent::ConnectFailed),
            Mode::BreakBefore => self.later(1, at, true, FlowEvent::ConnectionBroken),
            Mode::Silent => self.complete(at, 503),
            Mode::Shed => self.later(
                1,
                at,
                true,
                FlowEvent::ResponseHead {
                    status: 503,
                    not_run: true,
                },
            ),
            _ if full => self.later(
                1,
                at,
                true,
                FlowEvent::ResponseHead {
                    status: 503,
                    not_run: true,
                },
            ),
            mode => {
                model.running.push(sender);
                self.roots[root].runs += 1;
                *self.runs.entry(request).or_default() += 1;
                let span = match mode {
                    Mode::Slow => self.rng.u64(50..700),
                    _ => self.rng.u64(2..9),
                };
                if request.poison {
                    self.crash(target);
                } else {
                    self.schedule(span, Event::RunEnd { sender, target });
                }
            }
        }
    }

    fn crash(&mut self, target: usize) {
        let model = &mut self.targets[target];
        model.down_until = self.now + 100;
        for sender in std::mem::take(&mut model.running) {
            self.later(1, link(sender), true, FlowEvent::ConnectionBroken);
        }
    }

    pub(crate) fn run_end(&mut self, sender: Sender, target: usize) {
        let model = &mut self.targets[target];
        let Some(index) = model.running.iter().position(|s| *s == sender) else {
            return;
        };
        model.running.remove(index);
        if model.mode == Mode::BreakAfter {
            self.later(1, link(sender), true, FlowEvent::ConnectionBroken);
        } else {
            self.complete(link(sender), 200);
        }
    }

    fn complete(&mut self, at: Link, status: u16) {
        self.later(
            1,
            at,
            true,
            FlowEvent::ResponseHead {
                status,
                not_run: false,
            },
        );
        let end = if self.rng.u8(..10) == 0 {
            FlowEvent::ConnectionBroken
        } else {
            FlowEvent::ResponseComplete {
                bytes_out: 100,
                bytes_in: 100,
            }
        };
        let delay = self.rng.u64(1..5);
        self.later(1 + delay, at, true, end);
    }
}

fn link(sender: Sender) -> Link {
    Link {
        vm: sender.vm,
        process: sender.process,
        flow: sender.flow,
        attempt: sender.attempt,
    }
}
