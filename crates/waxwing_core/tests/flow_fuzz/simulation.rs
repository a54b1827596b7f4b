//! Simulation of several daemons with their store and their targets.

use std::collections::BTreeMap;

use fastrand::Rng;
use serde_json::Value;
use waxwing_core::{Flow, FlowAction, FlowEvent, FlowId, Forwarded, IncomingRequest, Refusal};
use waxwing_types::Millis;

use crate::records::{self, Request, TARGETS, VMS, WORKSPACES, incoming_request};
use crate::store::Store;
use crate::target::{AttemptId, ModelTarget, TargetMode};
use crate::vm::{ActiveFlow, FlowRef, ModelDaemon};

/// A request that a caller sent to one VM. Copies sent to other VMs have their own entries.
pub(crate) struct SentRequest {
    pub(crate) request: Request,
    pub(crate) vm: usize,
    pub(crate) flow_id: u64,
    pub(crate) sent_at_ms: u64,
    pub(crate) response_count: u32,
    pub(crate) refusal: Option<Refusal>,
    /// How often a target ran the request for this entry.
    pub(crate) run_count: u32,
    /// How often a target got the request for this entry.
    pub(crate) send_count: u32,
    /// Whether there may be no response, because the VM restarted or the caller disconnected.
    pub(crate) abandoned: bool,
}

pub(crate) enum Event {
    DeliverToFlow {
        flow_ref: FlowRef,
        /// Deliver only if this store call is still pending.
        store_call: Option<u64>,
        /// Deliver only if the attempt of `flow_ref` is still running.
        only_for_attempt: bool,
        event: FlowEvent,
    },
    ApplyStoreCall {
        flow_ref: FlowRef,
        store_call: u64,
        action: FlowAction,
        store_responds: bool,
    },
    ReachTarget {
        attempt_id: AttemptId,
        target: usize,
        request_index: usize,
    },
    EndRun {
        attempt_id: AttemptId,
        target: usize,
    },
    ExpireTimer {
        flow_ref: FlowRef,
        time_ms: u64,
    },
    ApplyRecord {
        vm: usize,
        version: u64,
        record: Value,
    },
}

pub(crate) struct Simulation {
    pub(crate) now_ms: u64,
    pub(crate) rng: Rng,
    last_seq: u64,
    /// Scheduled events by time in ms and sequence number.
    events: BTreeMap<(u64, u64), Event>,
    pub(crate) store: Store,
    pub(crate) targets: Vec<ModelTarget>,
    pub(crate) vms: Vec<ModelDaemon>,
    pub(crate) requests: Vec<SentRequest>,
    /// How often targets ran each request, over all its entries in `requests`.
    pub(crate) run_counts: BTreeMap<Request, u32>,
    flow_count: u64,
    attempt_count: u64,
    pub(crate) last_version: u64,
    /// Newest version and value of each record that changes during the test.
    newest_records: BTreeMap<String, (u64, Value)>,
    pub(crate) key_withdrawn: [bool; WORKSPACES],
    pub(crate) target_leaving: [bool; TARGETS],
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Self {
        let target = || ModelTarget {
            mode: TargetMode::Healthy,
            slots: 3,
            running: Vec::new(),
            down_until_ms: 0,
        };
        let mut simulation = Self {
            now_ms: 0,
            rng: Rng::with_seed(seed),
            last_seq: 0,
            events: BTreeMap::new(),
            store: Store::new(),
            targets: (0..TARGETS).map(|_| target()).collect(),
            vms: Vec::new(),
            requests: Vec::new(),
            run_counts: BTreeMap::new(),
            flow_count: 0,
            attempt_count: 0,
            last_version: 100,
            newest_records: BTreeMap::new(),
            key_withdrawn: [false; WORKSPACES],
            target_leaving: [false; TARGETS],
        };
        for record in (0..WORKSPACES).map(|w| records::key_record(w, false)) {
            simulation.store_newest_record(&record);
        }
        simulation.store_newest_record(&records::service_record([false; TARGETS]));
        for vm in 0..VMS {
            let daemon = simulation.start_daemon(vm, 1);
            simulation.vms.push(daemon);
        }
        simulation
    }

    /// Publishes a new version of a configuration record, which each VM receives after a delay.
    pub(crate) fn publish(&mut self, record: &Value) {
        self.store_newest_record(record);
        let version = self.last_version;
        for vm in 0..VMS {
            let delay_ms = self.rng.u64(0..100);
            let record = record.clone();
            self.schedule(
                delay_ms,
                Event::ApplyRecord {
                    vm,
                    version,
                    record,
                },
            );
        }
    }

    pub(crate) fn send(&mut self, vm: usize, request: Request) {
        let request_index = self.requests.len();
        let flow_id = self.add_flow(vm, request_index, incoming_request(request), None);
        self.requests.push(SentRequest {
            request,
            vm,
            flow_id,
            sent_at_ms: self.now_ms,
            response_count: 0,
            refusal: None,
            run_count: 0,
            send_count: 0,
            abandoned: false,
        });
        self.deliver(self.flow_ref(vm, flow_id), FlowEvent::Start);
    }

    /// Kills the daemon of a VM with all its flows and starts a new one.
    pub(crate) fn restart_vm(&mut self, vm: usize) {
        let process = self.vms[vm].process + 1;
        let daemon = self.start_daemon(vm, process);
        let killed_daemon = std::mem::replace(&mut self.vms[vm], daemon);
        for request in &mut self.requests {
            request.abandoned |=
                request.vm == vm && killed_daemon.flows.contains_key(&request.flow_id);
        }
        for active in killed_daemon.flows.values() {
            if let Some(forwarded_from) = active.forwarded_from {
                self.deliver_in_ms(1, forwarded_from, true, FlowEvent::ConnectionBroken);
            }
            if let Some(forwarded_to) = active.forwarded_to {
                self.deliver_in_ms(1, forwarded_to, false, FlowEvent::CallerDisconnected);
            }
        }
    }

    pub(crate) fn disconnect_caller(&mut self, index: usize) {
        let (vm, flow_id) = (self.requests[index].vm, self.requests[index].flow_id);
        if self.vms[vm].flows.contains_key(&flow_id) && !self.requests[index].abandoned {
            self.requests[index].abandoned = true;
            self.deliver(self.flow_ref(vm, flow_id), FlowEvent::CallerDisconnected);
        }
    }

    pub(crate) fn advance_time(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while let Some((&(time_ms, seq), _)) = self.events.first_key_value() {
            if time_ms > end_ms {
                break;
            }
            self.now_ms = time_ms;
            if let Some(event) = self.events.remove(&(time_ms, seq)) {
                self.handle(event);
            }
        }
        self.now_ms = end_ms;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::DeliverToFlow {
                flow_ref,
                store_call,
                only_for_attempt,
                event,
            } => {
                let Some(active) = self.find_flow(flow_ref) else {
                    return;
                };
                if store_call.is_some_and(|call| call != active.store_call) {
                    return;
                }
                if only_for_attempt
                    && (flow_ref.attempt != active.attempt || !active.attempt_running)
                {
                    return;
                }
                if store_call.is_some() {
                    active.store_call += 1;
                }
                self.deliver(flow_ref, event);
            }
            Event::ApplyStoreCall {
                flow_ref,
                store_call,
                action,
                store_responds,
            } => {
                let outcome = self.store.execute(&action);
                if store_responds {
                    let delay_ms = self.rng.u64(1..4);
                    let event = FlowEvent::StoreCallEnded(outcome);
                    self.schedule(
                        delay_ms,
                        Event::DeliverToFlow {
                            flow_ref,
                            store_call: Some(store_call),
                            only_for_attempt: false,
                            event,
                        },
                    );
                }
            }
            Event::ReachTarget {
                attempt_id,
                target,
                request_index,
            } => self.reach_target(attempt_id, target, request_index),
            Event::EndRun { attempt_id, target } => self.end_run(attempt_id, target),
            Event::ExpireTimer { flow_ref, time_ms } => {
                if self.find_flow(flow_ref).is_some_and(|f| f.timer == time_ms) {
                    self.deliver(flow_ref, FlowEvent::Timer);
                }
            }
            Event::ApplyRecord {
                vm,
                version,
                record,
            } => self.apply_record(vm, version, &record),
        }
    }

    fn apply_record(&mut self, vm: usize, version: u64, record: &Value) {
        let name = record["name"].as_str().unwrap_or_default().to_owned();
        let path = format!(
            "config/{}/{name}",
            record["kind"].as_str().unwrap_or_default()
        );
        let versions = self.vms[vm].config.versions(&path);
        if versions.is_some_and(|(applied, _)| applied.0 >= version) {
            return;
        }
        let now_ms = self.now_ms;
        let daemon = &mut self.vms[vm];
        records::apply_record(&mut daemon.config, now_ms, version, record);
        if let Some(workspace) = name.strip_prefix('k').and_then(|w| w.parse().ok()) {
            if record["withdrawn"] == true {
                daemon.withdrawn_keys.insert(workspace);
            } else {
                daemon.withdrawn_keys.remove(&workspace);
            }
            let removed = daemon.queue.remove_requests_of_key(&name);
            self.deliver_dequeued(vm, &removed);
        } else if let Some(targets) = record["spec"]["targets"].as_array() {
            daemon.leaving_targets = targets.iter().map(|t| t["leaving"] == true).collect();
        }
    }

    fn deliver_dequeued(&mut self, vm: usize, flow_ids: &[FlowId]) {
        for flow_id in flow_ids {
            let flow_ref = self.flow_ref(vm, flow_id.0);
            let delay_ms = self.rng.u64(0..2);
            self.deliver_in_ms(delay_ms, flow_ref, false, FlowEvent::Dequeued);
        }
    }

    fn start_daemon(&mut self, vm: usize, process: u64) -> ModelDaemon {
        let seed = self.rng.u64(..);
        let mut daemon = ModelDaemon::new(vm, process, self.now_ms, seed, 40); // rejects 1 in 40
        for (version, record) in (1..).zip(records::fixed_records()) {
            records::apply_record(&mut daemon.config, self.now_ms, version, &record);
        }
        for (version, record) in self.newest_records.values() {
            records::apply_record(&mut daemon.config, self.now_ms, *version, record);
        }
        daemon.withdrawn_keys = (0..WORKSPACES).filter(|w| self.key_withdrawn[*w]).collect();
        daemon.leaving_targets = self.target_leaving.to_vec();
        daemon
    }

    /// Gives a record the next version and keeps it for daemons that start later.
    fn store_newest_record(&mut self, record: &Value) {
        self.last_version += 1;
        let name = format!("{}/{}", record["kind"], record["name"]);
        self.newest_records
            .insert(name, (self.last_version, record.clone()));
    }

    pub(crate) fn add_flow(
        &mut self,
        vm: usize,
        request_index: usize,
        request: IncomingRequest,
        forwarded_from: Option<FlowRef>,
    ) -> u64 {
        self.flow_count += 1;
        let active = ActiveFlow::new(
            Flow::new(FlowId(self.flow_count), request),
            request_index,
            forwarded_from,
        );
        self.vms[vm].flows.insert(self.flow_count, active);
        self.flow_count
    }

    pub(crate) fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.last_seq += 1;
        self.events
            .insert((self.now_ms + delay_ms, self.last_seq), event);
    }

    /// Delivers an event after `delay_ms`. If `only_for_attempt` is true, the event is dropped if the
    /// attempt of `flow_ref` is no longer running by then.
    pub(crate) fn deliver_in_ms(
        &mut self,
        delay_ms: u64,
        flow_ref: FlowRef,
        only_for_attempt: bool,
        event: FlowEvent,
    ) {
        self.schedule(
            delay_ms,
            Event::DeliverToFlow {
                flow_ref,
                store_call: None,
                only_for_attempt,
                event,
            },
        );
    }

    pub(crate) fn next_attempt_number(&mut self) -> u64 {
        self.attempt_count += 1;
        self.attempt_count
    }

    pub(crate) fn flow_ref(&self, vm: usize, flow_id: u64) -> FlowRef {
        let attempt = self.vms[vm].flows.get(&flow_id).map_or(0, |f| f.attempt);
        FlowRef {
            vm,
            process: self.vms[vm].process,
            flow_id,
            attempt,
        }
    }

    /// Returns a flow, unless it has finished or its VM was restarted.
    pub(crate) fn find_flow(&mut self, flow_ref: FlowRef) -> Option<&mut ActiveFlow> {
        let daemon = &mut self.vms[flow_ref.vm];
        (daemon.process == flow_ref.process).then(|| daemon.flows.get_mut(&flow_ref.flow_id))?
    }
}

/// The request as it arrives in another region, `time_left_ms` before its deadline.
pub(crate) fn forwarded_request(
    request: &IncomingRequest,
    flow: &Flow,
    from_region: &str,
    time_left_ms: u64,
) -> IncomingRequest {
    IncomingRequest {
        requested_timeout: Some(Millis(time_left_ms)),
        forwarded: Some(Forwarded {
            workspace: flow.workspace().cloned(),
            from_region: from_region.into(),
        }),
        ..request.clone()
    }
}
