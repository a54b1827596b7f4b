//! Executes the actions of the flows and simulates the targets.

use waxwing_core::{FlowAction, FlowEvent, FlowId, Refusal, StoreOutcome};
use waxwing_types::{Millis, Ran};

use crate::records::{VMS, region_of_vm};
use crate::simulation::{Event, Simulation, forwarded_request};
use crate::store::CALL_TIMEOUT_MS;
use crate::target::{AttemptId, TargetMode};
use crate::vm::FlowRef;

/// Timeout in ms of the routes. The response has to start within this time.
const ROUTE_TIMEOUT_MS: u64 = 400;
/// Time in ms for which a request that crashes targets must stay quarantined.
const QUARANTINE_MS: u64 = 600_000;

impl Simulation {
    /// Delivers an event to a flow and executes the returned actions.
    pub(crate) fn deliver(&mut self, flow_ref: FlowRef, event: FlowEvent) {
        let now_ms = self.now_ms;
        let Some(active) = self.find_flow(flow_ref) else {
            return;
        };
        let broken = event == FlowEvent::ConnectionBroken;
        let response_complete = matches!(event, FlowEvent::ResponseComplete { .. });
        let not_run = matches!(event, FlowEvent::ResponseHead { not_run: true, .. });
        if let FlowEvent::ResponseHead { status, .. } = event {
            active.response_status = status;
        }
        let not_accepted = event == FlowEvent::ConnectFailed || event == FlowEvent::RegionRefused;
        if broken || response_complete || not_run || not_accepted {
            active.attempt_running = false;
        }
        let (forwarded_from, has_responded) = (active.forwarded_from, active.has_responded);
        if broken && active.forwarded_to.is_none() {
            self.record_crash_for_check(flow_ref);
        }
        let actions = self.vms[flow_ref.vm].step(now_ms, flow_ref.flow_id, event.clone());
        for action in actions {
            self.execute(flow_ref, action);
        }
        if let Some(forwarded_from) =
            forwarded_from.filter(|_| has_responded && (broken || response_complete))
        {
            self.deliver_in_ms(1, forwarded_from, true, event);
        }
        let is_finished = |active: &mut crate::vm::ActiveFlow| active.flow.is_finished();
        if self.find_flow(flow_ref).is_some_and(is_finished) {
            self.vms[flow_ref.vm].flows.remove(&flow_ref.flow_id);
            let is_queued = self.vms[flow_ref.vm]
                .queue
                .contains(FlowId(flow_ref.flow_id));
            assert!(!is_queued, "a finished request stays in the queue");
        }
    }

    fn execute(&mut self, flow_ref: FlowRef, action: FlowAction) {
        match action {
            FlowAction::CreateRecord { .. }
            | FlowAction::ReadRecord { .. }
            | FlowAction::UpdateRecord { .. } => {
                self.call_store(flow_ref, action);
            }
            FlowAction::WaitInQueue | FlowAction::ReportRetry(_) => {}
            FlowAction::SetTimer(Millis(time_ms)) => {
                if let Some(active) = self.find_flow(flow_ref) {
                    active.timer = time_ms;
                }
                let delay_ms = time_ms.saturating_sub(self.now_ms);
                self.schedule(delay_ms, Event::ExpireTimer { flow_ref, time_ms });
            }
            FlowAction::SendToTarget {
                target, workspace, ..
            } => {
                let target = target.as_str()[1..].parse().expect("target name");
                self.check_send(flow_ref, target, workspace.is_some());
                let (attempt_id, request_index) = self.start_attempt(flow_ref);
                let now_ms = self.now_ms;
                if let Some(active) = self.find_flow(flow_ref) {
                    active.last_target_send = (target, now_ms);
                }
                let delay_ms = self.rng.u64(1..3);
                self.schedule(
                    delay_ms,
                    Event::ReachTarget {
                        attempt_id,
                        target,
                        request_index,
                    },
                );
            }
            FlowAction::ForwardToRegion { region, deadline } => {
                self.forward(flow_ref, region.as_str(), deadline.0);
            }
            FlowAction::RelayResponse => self.respond(flow_ref, None),
            FlowAction::Refuse(refusal) => self.respond(flow_ref, Some(refusal)),
            FlowAction::CancelAttempt => {
                let Some(active) = self.find_flow(flow_ref) else {
                    return;
                };
                active.attempt_running = false;
                if let Some(forwarded_to) = active.forwarded_to.take() {
                    self.deliver_in_ms(1, forwarded_to, false, FlowEvent::CallerDisconnected);
                }
            }
            FlowAction::NotifyDequeued(flow_id) => {
                let dequeued = self.flow_ref(flow_ref.vm, flow_id.0);
                self.deliver_in_ms(0, dequeued, false, FlowEvent::Dequeued);
            }
        }
    }

    fn call_store(&mut self, flow_ref: FlowRef, action: FlowAction) {
        let Some(store_call) = self.find_flow(flow_ref).map(|active| active.store_call) else {
            return;
        };
        let plan = self.store.plan_call(&mut self.rng);
        if let Some(effect_delay_ms) = plan.effect_delay_ms {
            let store_responds = plan.response_delay_ms.is_some();
            self.schedule(
                effect_delay_ms,
                Event::ApplyStoreCall {
                    flow_ref,
                    store_call,
                    action,
                    store_responds,
                },
            );
        }
        let event = FlowEvent::StoreCallEnded(StoreOutcome::NoResponse);
        let call_timeout = Event::DeliverToFlow {
            flow_ref,
            store_call: Some(store_call),
            only_for_attempt: false,
            event,
        };
        self.schedule(CALL_TIMEOUT_MS, call_timeout);
    }

    fn start_attempt(&mut self, flow_ref: FlowRef) -> (AttemptId, usize) {
        let attempt = self.next_attempt_number();
        let active = self.find_flow(flow_ref).expect("the flow is active");
        active.attempt = attempt;
        active.attempt_running = true;
        active.forwarded_to = None;
        let attempt_id = AttemptId {
            vm: flow_ref.vm,
            process: flow_ref.process,
            flow_id: flow_ref.flow_id,
            attempt,
        };
        (attempt_id, active.request_index)
    }

    fn forward(&mut self, flow_ref: FlowRef, region: &str, deadline_ms: u64) {
        let (attempt_id, request_index) = self.start_attempt(flow_ref);
        let region_vms: Vec<_> = (0..VMS).filter(|vm| region_of_vm(*vm) == region).collect();
        let vm = self.rng.choice(region_vms).expect("a VM in the region");
        let forwarded_from = flow_of_attempt(attempt_id);
        if self.rng.u8(..10) == 0 {
            self.deliver_in_ms(1, forwarded_from, true, FlowEvent::ConnectFailed);
            return;
        }
        let time_left_ms = deadline_ms.saturating_sub(self.now_ms);
        let active = self.find_flow(flow_ref).expect("the flow is active");
        let request = forwarded_request(
            active.flow.request(),
            &active.flow,
            region_of_vm(flow_ref.vm),
            time_left_ms,
        );
        let flow_id = self.add_flow(vm, request_index, request, Some(forwarded_from));
        let forwarded_to = self.flow_ref(vm, flow_id);
        if let Some(active) = self.find_flow(flow_ref) {
            active.forwarded_to = Some(forwarded_to);
        }
        self.deliver_in_ms(1, forwarded_to, false, FlowEvent::Start);
    }

    /// Records and checks the response to a caller, or passes the response to the flow that
    /// forwarded the request. `refusal` is `None` for the response of a target.
    fn respond(&mut self, flow_ref: FlowRef, refusal: Option<Refusal>) {
        let Some(active) = self.find_flow(flow_ref) else {
            return;
        };
        assert!(!active.has_responded, "a flow responded twice");
        active.has_responded = true;
        let (request_index, status) = (active.request_index, active.response_status);
        if let Some(forwarded_from) = active.forwarded_from {
            self.respond_to_forwarder(forwarded_from, status, refusal);
            return;
        }
        let request = self.requests[request_index].request;
        let elapsed_ms = self.now_ms - self.requests[request_index].sent_at_ms;
        assert!(
            elapsed_ms <= ROUTE_TIMEOUT_MS,
            "{request:?}: response after {elapsed_ms} ms"
        );
        self.requests[request_index].response_count += 1;
        self.requests[request_index].refusal = refusal;
        if refusal.is_some_and(|r| r.ran == Ran::Yes) {
            let runs = self.run_counts.get(&request).copied().unwrap_or(0);
            assert!(runs > 0, "{request:?}: reported as run, but never ran");
        }
    }

    /// Delivers a response to the flow that forwarded the request. `refusal`: as in `respond`.
    fn respond_to_forwarder(
        &mut self,
        forwarded_from: FlowRef,
        status: u16,
        refusal: Option<Refusal>,
    ) {
        let head = |status| FlowEvent::ResponseHead {
            status,
            not_run: false,
        };
        match refusal {
            None => self.deliver_in_ms(1, forwarded_from, true, head(status)),
            Some(r) if r.ran == Ran::No => {
                self.deliver_in_ms(1, forwarded_from, true, FlowEvent::RegionRefused);
            }
            Some(r) => {
                self.deliver_in_ms(1, forwarded_from, true, head(r.status));
                let event = FlowEvent::ResponseComplete {
                    bytes_out: 100,
                    bytes_in: 100,
                };
                self.deliver_in_ms(1, forwarded_from, true, event);
            }
        }
    }

    /// Checks that the target is not leaving, the key not withdrawn and the request not
    /// quarantined.
    fn check_send(&mut self, flow_ref: FlowRef, target: usize, has_workspace: bool) {
        let request_index = self
            .find_flow(flow_ref)
            .expect("the flow is active")
            .request_index;
        let (request, now_ms) = (self.requests[request_index].request, self.now_ms);
        let daemon = &self.vms[flow_ref.vm];
        assert!(
            !daemon.leaving_targets[target],
            "t{target} is leaving but got a request"
        );
        let is_withdrawn = daemon.withdrawn_keys.contains(&request.workspace);
        assert!(
            !(is_withdrawn && has_workspace),
            "{request:?}: sent with a withdrawn key"
        );
        if request.poison
            && let Some((crashes, last_crash_ms, _)) = daemon.crashes.get(&(request, has_workspace))
        {
            let is_quarantined = *crashes >= 2 && now_ms - last_crash_ms < QUARANTINE_MS;
            assert!(!is_quarantined, "{request:?}: sent after {crashes} crashes");
        }
    }

    /// Counts a crash of the target of a poison request. [`Simulation::check_send`] uses the count.
    fn record_crash_for_check(&mut self, flow_ref: FlowRef) {
        let Some(active) = self.find_flow(flow_ref) else {
            return;
        };
        let (request_index, has_workspace) =
            (active.request_index, active.flow.workspace().is_some());
        let (target, sent_at) = active.last_target_send;
        let (request, now_ms) = (self.requests[request_index].request, self.now_ms);
        if request.poison {
            let crashes = &mut self.vms[flow_ref.vm].crashes;
            let entry = crashes.entry((request, has_workspace)).or_default();
            // A crash counts once, even if it broke several copies of the request.
            if entry.0 == 0 || entry.2 != target || sent_at >= entry.1 {
                *entry = (entry.0 + 1, now_ms, target);
            }
        }
    }

    pub(crate) fn reach_target(
        &mut self,
        attempt_id: AttemptId,
        target: usize,
        request_index: usize,
    ) {
        let (now_ms, request) = (self.now_ms, self.requests[request_index].request);
        let model = &mut self.targets[target];
        let is_full = model.running.len() >= model.slots;
        let is_closed = now_ms < model.down_until_ms || model.mode == TargetMode::RefuseConnections;
        let flow_ref = flow_of_attempt(attempt_id);
        self.requests[request_index].send_count += u32::from(!is_closed);
        if !is_closed && self.rng.u8(..20) == 0 {
            self.deliver_in_ms(0, flow_ref, true, FlowEvent::BodyConsumed);
        }
        let model = &mut self.targets[target];
        match model.mode {
            _ if is_closed => self.deliver_in_ms(1, flow_ref, true, FlowEvent::ConnectFailed),
            TargetMode::BreakBeforeRun => {
                self.deliver_in_ms(1, flow_ref, true, FlowEvent::ConnectionBroken);
            }
            TargetMode::Unmarked503 => self.send_response(flow_ref, 503),
            TargetMode::Shed => self.deliver_in_ms(
                1,
                flow_ref,
                true,
                FlowEvent::ResponseHead {
                    status: 503,
                    not_run: true,
                },
            ),
            _ if is_full => self.deliver_in_ms(
                1,
                flow_ref,
                true,
                FlowEvent::ResponseHead {
                    status: 503,
                    not_run: true,
                },
            ),
            mode => {
                model.running.push(attempt_id);
                self.requests[request_index].run_count += 1;
                *self.run_counts.entry(request).or_default() += 1;
                let run_time_ms = match mode {
                    TargetMode::Slow => self.rng.u64(50..700),
                    _ => self.rng.u64(2..9),
                };
                if request.poison {
                    self.crash(target);
                } else {
                    self.schedule(run_time_ms, Event::EndRun { attempt_id, target });
                }
            }
        }
    }

    /// Crashes a target, which breaks the connections of all attempts that it runs.
    fn crash(&mut self, target: usize) {
        let model = &mut self.targets[target];
        model.down_until_ms = self.now_ms + 100;
        for attempt_id in std::mem::take(&mut model.running) {
            self.deliver_in_ms(
                1,
                flow_of_attempt(attempt_id),
                true,
                FlowEvent::ConnectionBroken,
            );
        }
    }

    pub(crate) fn end_run(&mut self, attempt_id: AttemptId, target: usize) {
        let model = &mut self.targets[target];
        let Some(index) = model.running.iter().position(|id| *id == attempt_id) else {
            return;
        };
        model.running.remove(index);
        if model.mode == TargetMode::BreakAfterRun {
            self.deliver_in_ms(
                1,
                flow_of_attempt(attempt_id),
                true,
                FlowEvent::ConnectionBroken,
            );
        } else {
            self.send_response(flow_of_attempt(attempt_id), 200);
        }
    }

    /// Sends a target's response: the head, and then the end of the body or a broken connection.
    fn send_response(&mut self, flow_ref: FlowRef, status: u16) {
        self.deliver_in_ms(
            1,
            flow_ref,
            true,
            FlowEvent::ResponseHead {
                status,
                not_run: false,
            },
        );
        let last_event = if self.rng.u8(..10) == 0 {
            FlowEvent::ConnectionBroken
        } else {
            FlowEvent::ResponseComplete {
                bytes_out: 100,
                bytes_in: 100,
            }
        };
        let delay_ms = self.rng.u64(1..5);
        self.deliver_in_ms(1 + delay_ms, flow_ref, true, last_event);
    }
}

fn flow_of_attempt(attempt_id: AttemptId) -> FlowRef {
    FlowRef {
        vm: attempt_id.vm,
        process: attempt_id.process,
        flow_id: attempt_id.flow_id,
        attempt: attempt_id.attempt,
    }
}
