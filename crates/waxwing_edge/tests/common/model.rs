//! A model of targets with slots, queues and objects that they have handled lately.
#![allow(dead_code, reason = "each test file reads only some of the fields")]

use std::collections::VecDeque;

use super::common::{pool_of, target};
use waxwing_edge::{LoadReport, Priority, TargetKey, TargetOutcome, TargetPool};
use waxwing_types::Millis;

/// Slots of each target, as in the fixture.
pub(crate) const SLOTS: usize = 4;

/// Pools of `vm_count` VMs of one failure domain, with the same targets `t0`, `t1` and so on.
pub(crate) fn vms(now: Millis, vm_count: usize, target_count: usize) -> Vec<TargetPool> {
    let ids: Vec<String> = (0..vm_count).map(|i| format!("vm{i}")).collect();
    let mut vms: Vec<TargetPool> = ids.iter().map(|id| pool_of(id)).collect();
    for vm in &mut vms {
        vm.set_region_vms(now, ids.iter().map(String::as_str));
        for i in 0..target_count {
            vm.upsert(now, target(&format!("t{i}"), "a"));
        }
        vm.tick(now);
    }
    vms
}

/// A request at a target.
pub(crate) struct Arrival {
    pub(crate) vm: usize,
    pub(crate) key: TargetKey,
    pub(crate) priority: Priority,
    /// Number of the object that the request concerns.
    pub(crate) object: u64,
    pub(crate) arrived_at: u64,
}

#[derive(Default)]
pub(crate) struct ModelTarget {
    /// Running requests with the times of their ends, in order.
    pub(crate) running: VecDeque<(u64, Arrival)>,
    pub(crate) waiting: VecDeque<Arrival>,
    /// Objects that were handled lately, the last one at the end.
    pub(crate) handled: VecDeque<u64>,
}

impl ModelTarget {
    /// Ends the requests that are due, reports them and the load to their VMs, and starts waiting ones, which run for the
    /// time that `work_ms` returns.
    pub(crate) fn advance(
        &mut self,
        now: u64,
        vms: &mut [TargetPool],
        work_ms: impl Fn(&mut VecDeque<u64>, &Arrival) -> u64,
        mut on_end: impl FnMut(&Arrival, u64),
    ) {
        while self.running.front().is_some_and(|(end, _)| *end <= now) {
            let (_, request) = self.running.pop_front().expect("a running request");
            let latency = now - request.arrived_at;
            let report = LoadReport {
                running: u32::try_from(self.running.len() + 1).expect("few requests"),
                waiting: u32::try_from(self.waiting.len()).expect("few requests"),
                slots: u32::try_from(SLOTS).expect("few slots"),
            };
            let vm = &mut vms[request.vm];
            vm.on_load_report(Millis(now), request.key, report);
            let outcome = TargetOutcome::Answered {
                latency: Millis(latency),
                success: true,
            };
            vm.on_request_end(Millis(now), request.key, outcome);
            on_end(&request, latency);
        }
        while self.running.len() < SLOTS {
            let Some(request) = self.waiting.pop_front() else {
                break;
            };
            let end = now + work_ms(&mut self.handled, &request);
            let position = self.running.partition_point(|(other, _)| *other <= end);
            self.running.insert(position, (end, request));
        }
    }
}
