//! Plays loads of two priorities against a model of targets, and checks what the callers of each priority get.

#![allow(
    clippy::cast_precision_loss,
    reason = "the counts and times of a test are small"
)]

mod common;
#[path = "common/model.rs"]
mod model;

use common::criteria;
use model::{Arrival, ModelTarget, SLOTS};
use waxwing_edge::{Priority, Selection};
use waxwing_types::{Millis, ServiceId};

/// VMs that send requests to the same targets. Each knows only the reports in its own responses.
const VMS: usize = 3;
const TARGETS: usize = 6;
/// Time for which a target works on a request.
const WORK: u64 = 100;
/// Requests per second that the slots can run.
const CAPACITY: f64 = (TARGETS * SLOTS) as f64 * 1000.0 / WORK as f64;
/// Time after which a response is late.
const TIME_LEFT: Millis = Millis(200);
const START: u64 = 10_000;
/// The first second is not counted: the VMs learn the latency of the service.
const COUNTED_FROM: u64 = START + 1_000;
const END: u64 = START + 9_000;

const FIRST: Priority = (0, 1);
const SECOND: Priority = (2, 0);

/// What the callers of one priority got.
#[derive(Default)]
struct Count {
    sent: f64,
    in_time: f64,
    refused: f64,
}

impl Count {
    fn in_time_part(&self) -> f64 {
        self.in_time / self.sent
    }
}

struct Played {
    first: Count,
    second: Count,
    /// Part of the slots that were busy.
    busy: f64,
}

/// Plays `load` times the capacity, `first_part` of it with the first priority. If `is_ranked` is false, all requests have
/// the same priority.
fn play(load: f64, first_part: f64, is_ranked: bool, seed: u64) -> Played {
    let service = ServiceId::from("s");
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut vms = model::vms(Millis(START), VMS, TARGETS);
    let mut targets: Vec<ModelTarget> = (0..TARGETS).map(|_| ModelTarget::default()).collect();
    let (mut first, mut second) = (Count::default(), Count::default());
    let mut busy_ms = 0;
    for now in START..END {
        let is_counted = now >= COUNTED_FROM;
        for model in &mut targets {
            let work_ms = |_: &mut _, _: &Arrival| WORK;
            model.advance(now, &mut vms, work_ms, |request, latency| {
                let count = if request.priority == FIRST {
                    &mut first
                } else {
                    &mut second
                };
                if is_counted && latency <= TIME_LEFT.0 {
                    count.in_time += 1.0;
                }
            });
            busy_ms += if is_counted { model.running.len() } else { 0 };
        }
        // At most one request per VM and millisecond: the loads are below that.
        for (vm, pool) in vms.iter_mut().enumerate() {
            if rng.f64() >= load * CAPACITY / 1000.0 / VMS as f64 {
                continue;
            }
            let priority = if rng.f64() < first_part {
                FIRST
            } else {
                SECOND
            };
            let mut criteria = criteria(&service, rng.u64(..), &|_| true);
            criteria.time_left = TIME_LEFT;
            criteria.affinity_hash = None;
            criteria.priority = if is_ranked { priority } else { FIRST };
            let count = if priority == FIRST {
                &mut first
            } else {
                &mut second
            };
            count.sent += if is_counted { 1.0 } else { 0.0 };
            match pool.select(Millis(now), &criteria, &mut rng) {
                Selection::Selected(key, selected) => {
                    let index: usize = selected.id.as_str()[1..].parse().expect("a number");
                    targets[index].waiting.push_back(Arrival {
                        vm,
                        key,
                        priority,
                        object: 0,
                        arrived_at: now,
                    });
                }
                Selection::Overloaded { .. } => count.refused += if is_counted { 1.0 } else { 0.0 },
                Selection::Paused(_) | Selection::NoTarget => panic!("the targets are usable"),
            }
        }
    }
    let slot_ms = (END - COUNTED_FROM) as f64 * (TARGETS * SLOTS) as f64;
    Played {
        first,
        second,
        busy: busy_ms as f64 / slot_ms,
    }
}

/// Guards against an overload in which requests of the first priority are refused as often as others. At one and a half
/// times the capacity, they are served as in a calm hour, and the slots stay as busy as without priorities.
#[test]
fn requests_of_the_first_priority_are_served_under_overload() {
    for seed in 0..5 {
        let calm = play(0.5, 0.4, true, seed);
        let overload = play(1.5, 0.4, true, seed);
        let unranked = play(1.5, 0.4, false, seed);
        let (calm_part, part) = (calm.first.in_time_part(), overload.first.in_time_part());
        assert!(
            part >= 0.95 * calm_part,
            "seed {seed}: {part} of {calm_part}"
        );
        assert!(overload.busy >= 0.98 * unranked.busy, "seed {seed}");
    }
}

/// Guards against priorities that cause refusals while the slots suffice.
#[test]
fn priorities_refuse_nothing_in_a_calm_hour() {
    for seed in 0..5 {
        let ranked = play(0.6, 0.4, true, seed);
        let unranked = play(0.6, 0.4, false, seed);
        let refused = |played: &Played| played.first.refused + played.second.refused;
        assert!(refused(&ranked) <= refused(&unranked), "seed {seed}");
    }
}
