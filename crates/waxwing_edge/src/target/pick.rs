//! The choice of a target for one request.

use waxwing_types::Millis;

use super::pool::Group;
use super::state::Crowd;
use super::{SelectedTarget, Selection, TargetCriteria, TargetKey, TargetPool};
use crate::hash::{mix64, unit};

/// Salt of the draw by which an object belongs to a region.
const REGION_SALT: u64 = 0x5245_4749_4f4e;
/// Part in percent of the objective that an answer takes before the service's own average is known.
const FIRST_WORK_PERCENT: f64 = 80.0;
/// Extra work, in multiples of the average, at the second target of an object and at further ones,
/// which have rarely handled it. Work on an object that a target has just handled is a third.
const STRANGE: [f64; 2] = [0.8, 1.6];
/// Extra work, in multiples of the average, at a target that is slow or fails.
const AVOIDED: f64 = 3.0;

struct Candidate {
    key: TargetKey,
    near: bool,
    score: u64,
    avoided: bool,
    /// Expected wait in ms.
    wait: f64,
}

/// Commands.
impl TargetPool {
    /// Chooses a target and takes a slot of it.
    pub fn select(
        &mut self,
        now: Millis,
        want: &TargetCriteria<'_>,
        rng: &mut fastrand::Rng,
    ) -> Selection {
        if let Some(group) = self.groups.get_mut(want.service) {
            group.used = true;
        }
        let Some(group) = self.groups.get(want.service) else {
            return Selection::NoTarget;
        };
        let open: Vec<TargetKey> = group
            .keys
            .iter()
            .copied()
            .filter(|key| !want.tried.contains(key) && self.is_usable(now, *key))
            .filter(|key| (want.region_allowed)(&self.targets[*key].region_id))
            .collect();
        if open.is_empty() {
            return Selection::NoTarget;
        }
        let region = self.region_for(group, &open, want, rng);
        let draw = want.affinity_hash.unwrap_or_else(|| rng.u64(..));
        #[allow(clippy::cast_precision_loss, reason = "times of requests are short")]
        let (within, objective) = (want.time_left.0 as f64, want.latency_objective.0 as f64);
        let work = match group.work {
            0.0 => objective * FIRST_WORK_PERCENT / 100.0,
            work => work,
        };
        let crowd = self.crowd(group, region);
        let mut found: Vec<Candidate> = open
            .iter()
            .filter(|key| self.targets[**key].region == region)
            .map(|key| self.candidate(now, *key, draw, work, crowd))
            .collect();
        found.sort_unstable_by_key(|c| (want.large_body && !c.near, std::cmp::Reverse(c.score)));
        let costs = found.iter().enumerate().map(|(i, c)| (c, c.cost(i, work)));
        let Some((chosen, _)) = costs.min_by(|a, b| a.1.total_cmp(&b.1)) else {
            return Selection::NoTarget;
        };
        let excess = chosen.wait + work - within;
        if chosen.wait > 0.0 && excess > 0.0 {
            return Selection::Overloaded {
                wait: millis(excess),
            };
        }
        let (key, delay) = (chosen.key, millis(chosen.wait));
        self.begin(now, key);
        let target = &self.targets[key];
        let view = SelectedTarget {
            id: target.entry.id.clone(),
            address: target.entry.address,
            region: target.region_id.clone(),
            expected_wait: delay,
        };
        Selection::Selected(key, view)
    }

    /// The region that serves the request: that of its object while it has a usable target.
    fn region_for(
        &self,
        group: &Group,
        open: &[TargetKey],
        want: &TargetCriteria<'_>,
        rng: &mut fastrand::Rng,
    ) -> usize {
        let usable = |region| open.iter().any(|key| self.targets[*key].region == region);
        let draw = match want.affinity_hash {
            Some(object) => unit(mix64(object, REGION_SALT)),
            None => rng.f64(),
        };
        let mixed = group.mix.as_ref().and_then(|mix| mix.region(draw, usable));
        match mixed {
            Some(region) => region,
            None if usable(self.own_region) => self.own_region,
            None => self.targets[open[0]].region,
        }
    }

    fn candidate(
        &self,
        now: Millis,
        key: TargetKey,
        draw: u64,
        work: f64,
        crowd: Crowd,
    ) -> Candidate {
        let target = &self.targets[key];
        Candidate {
            key,
            near: target.near,
            avoided: target.is_avoided(now, work),
            score: mix64(draw, target.hash),
            wait: target.wait(now, work, crowd),
        }
    }
}

impl Candidate {
    /// Expected time in ms of the request at this target beyond that at an idle one that has just
    /// handled its object, as the target of a place in the object's order.
    fn cost(&self, place: usize, work: f64) -> f64 {
        let strange = match place {
            0 => 0.0,
            1 => STRANGE[0],
            _ => STRANGE[1],
        };
        let avoided = if self.avoided { AVOIDED } else { 0.0 };
        self.wait + (strange + avoided) * work
    }
}

/// A time in whole milliseconds.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates"
)]
fn millis(ms: f64) -> Millis {
    Millis(ms as u64)
}
