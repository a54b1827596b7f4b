//! How a service's requests are split between the regions.
//!
//! The split changes in small steps, because the platform limits how much traffic may move between regions
//! and the caches of the receiving region are cold.

use waxwing_types::Millis;

/// Fraction of the requests that may move in 1 s. The platform allows 0.15 in 2 s.
const MAX_STEP_PER_SECOND: f64 = 0.05;
/// Utilization of a region above which requests move from it to the least utilized region.
const HIGH_UTILIZATION: f64 = 0.60;
/// Utilization of the own region below which requests move back from other regions.
const LOW_UTILIZATION: f64 = 0.20;
/// Difference in utilization that is needed for requests to move from one region to another.
const MIN_UTILIZATION_GAP: f64 = 0.10;

/// Capacity and load of a service's targets in a region, as far as this VM knows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RegionCapacity {
    /// Total slots of the usable targets.
    pub(crate) slots: f64,
    /// Requests that run or wait at them.
    pub(crate) load: f64,
}

impl RegionCapacity {
    fn utilization(self) -> f64 {
        if self.slots > 0.0 {
            self.load / self.slots
        } else {
            f64::INFINITY
        }
    }
}

/// The fraction of a service's requests that this VM sends to each region. Regions are given by index.
#[derive(Debug)]
pub(crate) struct RegionSplit {
    own_region: usize,
    /// Fraction of each region; they sum to 1.
    fractions: Vec<f64>,
    last_adjusted: Millis,
}

impl RegionSplit {
    /// Creates the split that fits the slots of each region, assuming equal demand in all regions.
    pub(crate) fn new(now: Millis, own_region: usize, capacities: &[RegionCapacity]) -> Self {
        #[allow(clippy::cast_precision_loss, reason = "regions are few")]
        let mean_slots =
            capacities.iter().map(|c| c.slots).sum::<f64>() / capacities.len().max(1) as f64;
        let own_fraction = if mean_slots > 0.0 {
            (capacities[own_region].slots / mean_slots).min(1.0)
        } else {
            1.0
        };
        let spare_slots = |capacity: &RegionCapacity| (capacity.slots - mean_slots).max(0.0);
        let others = || {
            capacities
                .iter()
                .enumerate()
                .filter(|(i, _)| *i != own_region)
        };
        let total_spare: f64 = others().map(|(_, capacity)| spare_slots(capacity)).sum();
        let mut fractions = vec![0.0; capacities.len()];
        for (i, capacity) in others() {
            if total_spare > 0.0 {
                fractions[i] = (1.0 - own_fraction) * spare_slots(capacity) / total_spare;
            }
        }
        fractions[own_region] = 1.0 - fractions.iter().sum::<f64>();
        Self {
            own_region,
            fractions,
            last_adjusted: now,
        }
    }

    /// Moves requests away from the most utilized region, which may be the own one, or back to the own
    /// region if it is little utilized; by at most [`MAX_STEP_PER_SECOND`].
    pub(crate) fn adjust(&mut self, now: Millis, capacities: &[RegionCapacity]) {
        #[allow(clippy::cast_precision_loss, reason = "a period is short")]
        let step =
            MAX_STEP_PER_SECOND * (now.since(self.last_adjusted).0.min(1000) as f64) / 1000.0;
        self.last_adjusted = now;
        let utilization = |i: &usize| capacities[*i].utilization();
        let by_utilization = |a: &usize, b: &usize| utilization(a).total_cmp(&utilization(b));
        let all = || std::iter::once(self.own_region).chain(self.other_regions());
        let least = all().min_by(by_utilization);
        // A region that lost all its targets keeps its fraction, so that it is used again once they return.
        let most = all()
            .filter(|i| {
                self.fractions[*i] > 0.0 && (*i == self.own_region || capacities[*i].slots > 0.0)
            })
            .max_by(by_utilization);
        if let (Some(least), Some(most)) = (least, most)
            && utilization(&most) > HIGH_UTILIZATION
            && utilization(&least) + MIN_UTILIZATION_GAP < utilization(&most)
        {
            self.shift(most, least, step);
            return;
        }
        if utilization(&self.own_region) < LOW_UTILIZATION {
            let used = self.other_regions().filter(|i| self.fractions[*i] > 0.0);
            if let Some(most) = used.max_by(by_utilization) {
                self.shift(most, self.own_region, step);
            }
        }
    }

    /// Moves up to `step` from one region's fraction to another's.
    fn shift(&mut self, from: usize, to: usize, step: f64) {
        let step = step.min(self.fractions[from]);
        self.fractions[from] -= step;
        self.fractions[to] += step;
    }

    fn other_regions(&self) -> impl Iterator<Item = usize> + use<> {
        let own_region = self.own_region;
        (0..self.fractions.len()).filter(move |i| *i != own_region)
    }

    /// Selects one of the usable regions for a draw in [0, 1), in proportion to their fractions.
    pub(crate) fn select(&self, draw: f64, is_usable: impl Fn(usize) -> bool) -> Option<usize> {
        let all = || std::iter::once(self.own_region).chain(self.other_regions());
        let usable: Vec<usize> = all().filter(|i| is_usable(*i)).collect();
        let total: f64 = usable.iter().map(|i| self.fractions[*i]).sum();
        if total <= 0.0 {
            // No usable region has a fraction: they are selected with equal probability.
            #[allow(
                clippy::cast_precision_loss,
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "regions are few"
            )]
            let position = (draw * usable.len() as f64) as usize;
            return usable.get(position).copied();
        }
        let mut remaining = draw * total;
        for i in &usable {
            if remaining < self.fractions[*i] {
                return Some(*i);
            }
            remaining -= self.fractions[*i];
        }
        usable.last().copied()
    }

    /// Fraction of the requests that goes to a region.
    pub(crate) fn fraction(&self, region: usize) -> f64 {
        self.fractions[region]
    }
}
