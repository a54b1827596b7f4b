//! Selection of a target for one request.

use waxwing_types::Millis;

use super::pool::ServiceTargets;
use super::tracked::OtherVmLoadEstimator;
use super::{SelectedTarget, Selection, TargetCriteria, TargetKey, TargetPool};
use crate::hash::mix64;

/// Assumed latency of a service before the first response, in percent of the route's latency objective.
const INITIAL_LATENCY_PERCENT: f64 = 80.0;
/// Extra time at a target that an affinity key does not prefer, in multiples of the service's latency. The first
/// value is for the second target in the key's preference order, the second value for all later targets. Such
/// targets have rarely handled the key. A target that has just handled the key needs only a third of the time
/// for a request.
const NON_PREFERRED_COST: [f64; 2] = [0.8, 1.6];
/// Requests per slot up to which [`NON_PREFERRED_COST`] holds. The more slots are in use above it, the more other requests
/// wait for the extra work of a request at a target that has not handled its object. Under overload an object thus keeps to
/// its first two targets, which have both handled it.
const SPARE_UTILIZATION: f64 = 0.25;
/// Increase of [`NON_PREFERRED_COST`] per request per slot above [`SPARE_UTILIZATION`], as multiples: for the second target by
/// its own requests per slot, for all later targets by those of the region.
const UTILIZATION_FACTORS: [f64; 2] = [2.0, 10.0];
/// Extra time at a target that was recently slow or failed often, in multiples of the service's latency.
const AVOIDED_COST: f64 = 3.0;

/// A target that may get the request.
struct Candidate {
    key: TargetKey,
    in_own_domain: bool,
    /// Rendezvous hashing score of the target for the affinity key. The target with the highest score is
    /// preferred.
    affinity_score: u64,
    is_avoided: bool,
    /// Requests of all VMs that run or wait at the target.
    load: f64,
    slots: f64,
    /// Expected queueing time of a further request.
    expected_wait_ms: f64,
}

/// Commands.
impl TargetPool {
    /// Selects the target with the lowest cost for a request, and counts the request as in flight at that
    /// target. The cost is the expected extra time of the request at the target, in ms.
    pub fn select(
        &mut self,
        now: Millis,
        criteria: &TargetCriteria<'_>,
        rng: &mut fastrand::Rng,
    ) -> Selection {
        if let Some(service) = self.services.get_mut(criteria.service) {
            service.has_received_request = true;
            if criteria.tried.is_empty() {
                service.rank_admission.record(now, criteria.priority);
            }
        }
        let Some(service) = self.services.get(criteria.service) else {
            return Selection::NoTarget;
        };
        let usable: Vec<TargetKey> = service
            .keys
            .iter()
            .copied()
            .filter(|key| !criteria.tried.contains(key) && self.is_usable(now, *key))
            .filter(|key| (criteria.region_allowed)(&self.targets[*key].region))
            .collect();
        if usable.is_empty() {
            let pause = self.pause(now, criteria.service, criteria.region_allowed);
            return pause.map_or(Selection::NoTarget, Selection::Paused);
        }
        let region_index = self.select_region(service, &usable, criteria, rng);
        let affinity_hash = criteria.affinity_hash.unwrap_or_else(|| rng.u64(..));
        #[allow(clippy::cast_precision_loss, reason = "times of requests are short")]
        let (time_left_ms, latency_objective_ms) = (
            criteria.time_left.0 as f64,
            criteria.latency_objective.0 as f64,
        );
        let latency_ms = match service.unloaded_latency_ms {
            0.0 => latency_objective_ms * INITIAL_LATENCY_PERCENT / 100.0,
            latency_ms => latency_ms,
        };
        let load_estimator = self.other_vm_load_estimator(service, region_index);
        let mut candidates: Vec<Candidate> = usable
            .iter()
            .filter(|key| self.targets[**key].region_index == region_index)
            .map(|key| self.candidate(now, *key, affinity_hash, latency_ms, load_estimator))
            .collect();
        candidates.sort_unstable_by_key(|c| {
            (
                criteria.large_body && !c.in_own_domain,
                std::cmp::Reverse(c.affinity_score),
            )
        });
        let utilization = utilization(&candidates);
        let costs = candidates.iter().enumerate().map(|(i, c)| {
            // No target has handled the object of a request without affinity key.
            let position = criteria.affinity_hash.map_or(0, |_| i);
            (c, c.cost_ms(position, latency_ms, utilization))
        });
        let Some((selected, _)) = costs.min_by(|a, b| a.1.total_cmp(&b.1)) else {
            return Selection::NoTarget;
        };
        let (key, expected_wait_ms) = (selected.key, selected.expected_wait_ms);
        let Some(service) = self.services.get_mut(criteria.service) else {
            return Selection::NoTarget;
        };
        let admission = &mut service.rank_admission;
        admission.record_utilization(now, region_index, utilization);
        let max_wait_ms =
            admission.max_wait_ms(criteria.priority, region_index, time_left_ms - latency_ms);
        let excess_ms = expected_wait_ms - max_wait_ms;
        if expected_wait_ms > 0.0 && excess_ms > 0.0 {
            return Selection::Overloaded {
                retry_after: millis(excess_ms),
            };
        }
        let expected_wait = millis(expected_wait_ms);
        let warmth = self.targets[key].warmth(now);
        self.on_request_start(now, key);
        let target = &self.targets[key];
        let selected = SelectedTarget {
            id: target.registration.id.clone(),
            incarnation: target.registration.incarnation,
            address: target.registration.address,
            region: target.region.clone(),
            expected_wait,
            warmth,
            selected_at: now,
        };
        Selection::Selected(key, selected)
    }

    /// Selects the region of a request by the service's region split, and returns the index of the region.
    /// Requests with the same affinity key get the same region; a request without a key gets a random region.
    /// If the service has no split yet, the own region is selected if it has a usable target, otherwise the
    /// region of any usable target.
    fn select_region(
        &self,
        service: &ServiceTargets,
        usable: &[TargetKey],
        criteria: &TargetCriteria<'_>,
        rng: &mut fastrand::Rng,
    ) -> usize {
        let is_usable = |region_index| {
            usable
                .iter()
                .any(|key| self.targets[*key].region_index == region_index)
        };
        let key_hash = criteria.affinity_hash.unwrap_or_else(|| rng.u64(..));
        let from_split = service
            .region_split
            .as_ref()
            .and_then(|split| split.select(key_hash, is_usable));
        match from_split {
            Some(region_index) => region_index,
            None if is_usable(self.own_region_index) => self.own_region_index,
            None => self.targets[usable[0]].region_index,
        }
    }

    fn candidate(
        &self,
        now: Millis,
        key: TargetKey,
        affinity_hash: u64,
        latency_ms: f64,
        load_estimator: OtherVmLoadEstimator,
    ) -> Candidate {
        let target = &self.targets[key];
        let (load, slots) = (target.load(now, load_estimator), target.slots());
        Candidate {
            key,
            in_own_domain: target.in_own_domain,
            is_avoided: target.is_avoided(now, latency_ms),
            affinity_score: mix64(affinity_hash, target.id_hash),
            load,
            slots,
            expected_wait_ms: (load + 1.0 - slots).max(0.0) / slots * latency_ms,
        }
    }
}

impl Candidate {
    /// Expected extra time in ms of a request at this target, compared with an idle target that has just
    /// handled the request's affinity key. `position` is the position of this target in the preference order
    /// of the affinity key. `latency_ms` is the average latency of the service, `utilization` its requests per slot in
    /// the region.
    fn cost_ms(&self, position: usize, latency_ms: f64, utilization: f64) -> f64 {
        // The extra work at the second target delays the other requests there. A request at a later target also leaves that
        // target one slot less for the objects that it has handled, which the whole region misses.
        let second_occupied = (self.load / self.slots - SPARE_UTILIZATION).max(0.0);
        let occupied = (utilization - SPARE_UTILIZATION).max(0.0);
        let non_preferred_cost = match position {
            0 => 0.0,
            1 => NON_PREFERRED_COST[0] * (1.0 + UTILIZATION_FACTORS[0] * second_occupied),
            _ => NON_PREFERRED_COST[1] * (1.0 + UTILIZATION_FACTORS[1] * occupied),
        };
        let avoided_cost = if self.is_avoided { AVOIDED_COST } else { 0.0 };
        self.expected_wait_ms + (non_preferred_cost + avoided_cost) * latency_ms
    }
}

/// Requests per slot of all candidates together.
fn utilization(candidates: &[Candidate]) -> f64 {
    let load: f64 = candidates.iter().map(|c| c.load).sum();
    let slots: f64 = candidates.iter().map(|c| c.slots).sum();
    load / slots
}

/// Truncates a time to whole milliseconds.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates"
)]
fn millis(ms: f64) -> Millis {
    Millis(ms as u64)
}
