//! Plays random orders of selections, responses and changes of the registry, and checks after each selection that the
//! selected process has neither said that it is leaving nor asked for a pause that has not ended.

mod common;
#[path = "common/process.rs"]
mod process;

use std::collections::{HashMap, HashSet};

use common::{criteria, pool, target};
use process::NOW;
use waxwing_edge::{
    PauseRequest, SelectedTarget, Selection, TargetKey, TargetNotice, TargetOutcome, TargetPool,
};
use waxwing_records::{Registration, TargetState};
use waxwing_types::{Incarnation, Millis, ServiceId, TargetId};

const CASES: u64 = 200;
const STEPS: usize = 2000;
const TARGETS: u64 = 6;

/// A process: target and incarnation.
type Process = (TargetId, Incarnation);

/// What the processes have said.
#[derive(Default)]
struct Oracle {
    leaving: HashSet<Process>,
    paused_until: HashMap<Process, Millis>,
}

struct Case {
    rng: fastrand::Rng,
    now: Millis,
    pool: TargetPool,
    oracle: Oracle,
    in_flight: Vec<(TargetKey, SelectedTarget)>,
    selections: usize,
}

impl Case {
    fn registration(&mut self) -> Registration {
        let id = format!("t{}", self.rng.u64(..TARGETS));
        let domain = ["a", "b", "c"][self.rng.usize(..3)];
        let mut entry = target(&id, domain);
        // Mostly the latest process, at times an old entry of an earlier one.
        let latest = 1 + self.now.since(NOW).0 / 60_000;
        entry.incarnation = Incarnation(latest.saturating_sub(self.rng.u64(..8) / 7));
        if self.rng.u8(..10) == 0 {
            entry.state = TargetState::Draining;
        }
        entry
    }

    fn select(&mut self) {
        let service = ServiceId::from("s");
        let affinity_hash = self.rng.u64(..);
        let criteria = criteria(&service, affinity_hash, &|_| true);
        let selection = self.pool.select(self.now, &criteria, &mut self.rng);
        match selection {
            Selection::Selected(key, selected) => {
                self.selections += 1;
                let process = (selected.id.clone(), selected.incarnation);
                assert!(
                    !self.oracle.leaving.contains(&process),
                    "{process:?} is leaving"
                );
                let paused_until = self.oracle.paused_until.get(&process);
                let paused_until = paused_until.copied().unwrap_or_default();
                assert!(self.now >= paused_until, "{process:?} is in a pause");
                self.in_flight.push((key, selected));
            }
            Selection::Paused(pause) => assert!(pause.left > Millis::ZERO),
            Selection::Overloaded { .. } | Selection::NoTarget => {}
        }
    }

    fn respond(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.rng.usize(..self.in_flight.len());
        let (key, selected) = self.in_flight.swap_remove(index);
        let process = (selected.id.clone(), selected.incarnation);
        let mut notice = TargetNotice::default();
        if self.rng.u8(..20) == 0 {
            notice.leaving = true;
            self.oracle.leaving.insert(process.clone());
        }
        if self.rng.u8(..4) == 0 {
            let length = Millis(self.rng.u64(..3000));
            notice.pause = Some(PauseRequest::For(length));
            let until = self.oracle.paused_until.entry(process).or_default();
            *until = (*until).max(self.now + length);
        }
        self.pool.on_notice(self.now, &selected, notice);
        let outcome = match self.rng.u8(..8) {
            0 => TargetOutcome::ConnectFailed,
            1 => TargetOutcome::Shed,
            2 => TargetOutcome::TimedOut,
            _ => TargetOutcome::Answered {
                latency: Millis(100),
                success: true,
            },
        };
        self.pool.on_request_end(self.now, key, outcome);
    }

    fn step(&mut self) {
        self.now += Millis(self.rng.u64(..100));
        match self.rng.u8(..20) {
            0..8 => self.select(),
            8..15 => self.respond(),
            15..17 => {
                let entry = self.registration();
                self.pool.upsert(self.now, entry);
            }
            17 => {
                let id = self.registration().id;
                self.pool.remove(self.now, &id);
            }
            18 => {
                let evacuated = HashSet::from_iter((self.rng.u8(..4) == 0).then(|| "b".into()));
                self.pool.set_evacuated_domains(self.now, evacuated);
            }
            _ => self.pool.tick(self.now),
        }
    }
}

/// Guards against an order of responses, removals, old lists and new processes by which a process gets requests that it
/// does not want.
#[test]
fn no_order_of_events_sends_requests_to_a_process_that_wants_none() {
    let mut selections = 0;
    for seed in 0..CASES {
        let mut case = Case {
            rng: fastrand::Rng::with_seed(seed),
            now: NOW,
            pool: pool(),
            oracle: Oracle::default(),
            in_flight: Vec::new(),
            selections: 0,
        };
        for _ in 0..STEPS {
            case.step();
        }
        selections += case.selections;
    }
    assert!(selections > 10_000, "{selections} selections");
}
