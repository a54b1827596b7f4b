//! What must hold at any time, and after all faults have ended.

use waxwing_types::Ran;

use crate::records::{Kind, TARGETS};
use crate::store::StoreMode;
use crate::target::Mode;
use crate::world::World;

impl World {
    /// What must hold at any time.
    pub(crate) fn check(&self) {
        for (request, runs) in &self.runs {
            if request.kind == Kind::Confirm {
                assert!(*runs <= 1, "{request:?} ran {runs} times");
            }
        }
        for root in &self.roots {
            let name = format!("{:?} at vm{}, {:?}", root.request, root.vm, root.refusal);
            assert!(root.answers <= 1, "{name}: {} answers", root.answers);
            if root.request.kind == Kind::Approve {
                assert!(root.sends <= 1, "{name}: sent {} times", root.sends);
            }
            if root.refusal.is_some_and(|r| r.ran == Ran::No) {
                assert_eq!(root.runs, 0, "{name}: said not run, but ran");
            }
        }
    }

    /// Ends all faults and checks that every request was answered.
    pub(crate) fn drain(&mut self) {
        self.store.mode = StoreMode::Good;
        for target in &mut self.targets {
            target.mode = Mode::Good;
        }
        self.advance(40_000);
        self.check();
        for daemon in &self.vms {
            let open: Vec<_> = daemon.flows.values().map(|l| &l.flow).collect();
            assert!(open.is_empty(), "not finished: {open:?}");
            assert!(daemon.queue.is_empty(), "requests left in the queue");
            for target in (0..TARGETS).map(|t| format!("t{t}").as_str().into()) {
                let held = daemon.targets.in_flight(&"s".into(), &target);
                assert_eq!(held, 0, "slots of {target} not given back");
            }
        }
        for root in self.roots.iter().filter(|r| !r.lost) {
            assert_eq!(root.answers, 1, "{:?} at vm{}", root.request, root.vm);
        }
    }
}
