//! Checks of the fuzz test: invariants that hold at any time, and conditions that hold after all
//! faults have ended.

use waxwing_types::Ran;

use crate::records::{RequestKind, TARGETS};
use crate::simulation::Simulation;
use crate::store::StoreMode;
use crate::target::TargetMode;

impl Simulation {
    /// Checks that no request runs or is sent more often than its kind allows, that no request gets
    /// two responses, and that a request reported as not run did not run.
    pub(crate) fn check_invariants(&self) {
        for (request, runs) in &self.run_counts {
            if request.kind == RequestKind::Confirm {
                assert!(*runs <= 1, "{request:?} ran {runs} times");
            }
        }
        for sent_request in &self.requests {
            let description = format!(
                "{:?} at vm{}, {:?}",
                sent_request.request, sent_request.vm, sent_request.refusal
            );
            assert!(
                sent_request.response_count <= 1,
                "{description}: {} responses",
                sent_request.response_count
            );
            if sent_request.request.kind == RequestKind::Approve {
                assert!(
                    sent_request.send_count <= 1,
                    "{description}: sent {} times",
                    sent_request.send_count
                );
            }
            if sent_request.refusal.is_some_and(|r| r.ran == Ran::No) {
                assert_eq!(
                    sent_request.run_count, 0,
                    "{description}: reported as not run, but ran"
                );
            }
        }
    }

    /// Ends all faults and checks that every flow finishes and every request gets a response.
    pub(crate) fn end_faults_and_check(&mut self) {
        self.store.mode = StoreMode::Healthy;
        for target in &mut self.targets {
            target.mode = TargetMode::Healthy;
        }
        // In ms. Longer than all retries of the writes to idempotency records, about 16 s.
        self.advance_time(40_000);
        self.check_invariants();
        for daemon in &self.vms {
            let unfinished: Vec<_> = daemon.flows.values().map(|active| &active.flow).collect();
            assert!(unfinished.is_empty(), "not finished: {unfinished:?}");
            assert!(daemon.queue.is_empty(), "requests left in the queue");
            for target in (0..TARGETS).map(|t| format!("t{t}").as_str().into()) {
                let in_flight = daemon.targets.in_flight(&"s".into(), &target);
                assert_eq!(in_flight, 0, "slots of {target} not given back");
            }
        }
        for sent_request in self.requests.iter().filter(|request| !request.abandoned) {
            assert_eq!(
                sent_request.response_count, 1,
                "{:?} at vm{}",
                sent_request.request, sent_request.vm
            );
        }
    }
}
