//! The choice of a target for one request.

use waxwing_types::Millis;

use super::pool::Group;
use super::{Pick, TargetKey, TargetPool, TargetView, Want};
use crate::hash::{mix64, unit};

/// Salt of the draw by which an object belongs to a region.
const REGION_SALT: u64 = 0x5245_4749_4f4e;
/// Time in ms that an answer takes before the service's own average is known.
const FIRST_WORK: f64 = 100.0;
/// Longest wait that a refused caller is told, and the shortest.
const WAIT_BOUNDS: (u64, u64) = (50, 1000);

struct Candidate {
    key: TargetKey,
    near: bool,
    avoided: bool,
    score: u64,
    room: bool,
    wait: f64,
}

/// Commands.
impl TargetPool {
    /// Chooses a target and takes a slot of it.
    pub fn pick(&mut self, now: Millis, want: &Want<'_>, rng: &mut fastrand::Rng) -> Pick {
        let Some(group) = self.groups.get(want.service) else {
            return Pick::Nothing;
        };
        let open: Vec<TargetKey> = group
            .keys
            .iter()
            .copied()
            .filter(|key| !want.tried.contains(key) && self.is_usable(now, *key))
            .filter(|key| (want.allowed)(&self.targets[*key].region_id))
            .collect();
        if open.is_empty() {
            return Pick::Nothing;
        }
        let region = self.region_for(group, &open, want, rng);
        let draw = want.object.unwrap_or_else(|| rng.u64(..));
        let mut found: Vec<Candidate> = open
            .iter()
            .filter(|key| self.targets[**key].region == region)
            .map(|key| self.candidate(now, group, *key, draw))
            .collect();
        found.sort_unstable_by(|a, b| {
            let rank = |c: &Candidate| (c.avoided, !c.room, !c.near, std::cmp::Reverse(c.score));
            rank(a).cmp(&rank(b))
        });
        let first = found.iter().find(|c| c.room);
        let least = || found.iter().min_by(|a, b| a.wait.total_cmp(&b.wait));
        let Some(chosen) = first.or_else(least) else {
            return Pick::Nothing;
        };
        #[allow(clippy::cast_precision_loss, reason = "a time-out is short")]
        let within = want.within.0 as f64;
        if !chosen.room && chosen.wait + work(group) > within {
            return Pick::Full {
                wait: bounded(chosen.wait + work(group) - within),
            };
        }
        let key = chosen.key;
        let target = &mut self.targets[key];
        target.begin(now);
        let view = TargetView {
            id: target.entry.id.clone(),
            address: target.entry.address,
        };
        Pick::Chosen(key, view)
    }

    /// The region that serves the request: that of its object while it has a usable target.
    fn region_for(
        &self,
        group: &Group,
        open: &[TargetKey],
        want: &Want<'_>,
        rng: &mut fastrand::Rng,
    ) -> usize {
        let usable = |region| open.iter().any(|key| self.targets[*key].region == region);
        let draw = match want.object {
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

    fn candidate(&self, now: Millis, group: &Group, key: TargetKey, draw: u64) -> Candidate {
        let target = &self.targets[key];
        Candidate {
            key,
            near: target.near,
            avoided: target.is_avoided(now, group.work),
            score: mix64(draw, target.hash),
            room: target.load(now) + 1.0 <= target.slots(),
            wait: target.wait(now, work(group)),
        }
    }
}

fn work(group: &Group) -> f64 {
    if group.work > 0.0 {
        group.work
    } else {
        FIRST_WORK
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates"
)]
fn bounded(wait: f64) -> Millis {
    let (least, most) = WAIT_BOUNDS;
    Millis((wait as u64).clamp(least, most))
}
