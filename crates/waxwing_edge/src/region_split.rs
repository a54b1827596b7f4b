//! How a service's requests are split between the regions.
//!
//! The region split is the fraction of a service's requests that a VM sends to each region. It changes in
//! small steps: the platform limits how much traffic may move between regions in a given time, and the
//! caches of the receiving region are cold.

#[cfg(test)]
mod tests;

use waxwing_types::Millis;

use crate::hash::{mix64, unit_interval};

/// Salt of the hash that assigns a key to a region: the ASCII bytes of `REGION`.
const REGION_SALT: u64 = 0x5245_4749_4f4e;

/// Greatest fraction of the requests that moves per second. The platform allows 0.075 per second (0.15 in
/// 2 s); the rest is a safety margin.
const MAX_STEP_PER_SECOND: f64 = 0.05;
/// Utilization of a region above which requests move from this region to the least utilized region.
const HIGH_UTILIZATION: f64 = 0.9;
/// Utilization of the own region below which requests move back from other regions.
const LOW_UTILIZATION: f64 = 0.20;
/// Difference in utilization that is needed for requests to move from one region to another.
const MIN_UTILIZATION_GAP: f64 = 0.10;

/// Assumed utilization of a region of which this VM knows no load.
const UNKNOWN_UTILIZATION: f64 = 0.45;

/// Capacity and load of a service's targets in a region, as far as this VM knows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RegionCapacity {
    /// Total slots of the usable targets.
    pub(crate) slots: f64,
    /// Slots of the usable targets whose load is known.
    pub(crate) known_slots: f64,
    /// Requests that run or wait at the usable targets whose load is known.
    pub(crate) known_load: f64,
}

impl RegionCapacity {
    /// Requests per slot; above 1 if requests wait. The utilization of a region of which nothing is known counts as
    /// [`UNKNOWN_UTILIZATION`], so that it is neither taken for idle nor for full.
    fn utilization(self) -> f64 {
        if self.slots <= 0.0 {
            f64::INFINITY
        } else if self.known_slots > 0.0 {
            self.known_load / self.known_slots
        } else {
            UNKNOWN_UTILIZATION
        }
    }
}

/// The fraction of a service's requests that this VM sends to each region. Regions are given by index.
#[derive(Debug)]
pub(crate) struct RegionSplit {
    own_region: usize,
    /// Fraction of each region. The fractions sum to 1.
    fractions: Vec<f64>,
    last_adjusted: Millis,
}

impl RegionSplit {
    /// Creates a split from the slots of the regions. The demand of each region is assumed to be the mean of
    /// the slots over all regions. The own region serves its demand as far as its slots suffice. The rest goes
    /// to the other regions that have more slots than the mean, in proportion to their excess.
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

    /// Moves a fraction of the requests to another region. Requests move from the most to the least utilized
    /// region if the utilization of the former is above [`HIGH_UTILIZATION`] and the difference is above
    /// [`MIN_UTILIZATION_GAP`]. Otherwise, requests move back to the own region if its utilization is below
    /// [`LOW_UTILIZATION`].
    ///
    /// The moved fraction is at most [`MAX_STEP_PER_SECOND`] times the seconds since the last adjustment. At
    /// most 1 s is counted.
    pub(crate) fn adjust(&mut self, now: Millis, capacities: &[RegionCapacity]) {
        #[allow(clippy::cast_precision_loss, reason = "capped at 1000 ms")]
        let step =
            MAX_STEP_PER_SECOND * (now.since(self.last_adjusted).0.min(1000) as f64) / 1000.0;
        self.last_adjusted = now;
        let utilization = |i: &usize| capacities[*i].utilization();
        let by_utilization = |a: &usize, b: &usize| utilization(a).total_cmp(&utilization(b));
        let all = || std::iter::once(self.own_region).chain(self.other_regions());
        let least = all().min_by(by_utilization);
        // The utilization of a region without usable targets is infinite. If it is the own region, its
        // fraction moves away step by step. Any other region without usable targets is excluded here and keeps
        // its fraction, so that the region is used again once its targets return.
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

    /// Moves up to `step` from the fraction of region `from` to the fraction of region `to`.
    fn shift(&mut self, from: usize, to: usize, step: f64) {
        let step = step.min(self.fractions[from]);
        self.fractions[from] -= step;
        self.fractions[to] += step;
    }

    fn other_regions(&self) -> impl Iterator<Item = usize> + use<> {
        let own_region = self.own_region;
        (0..self.fractions.len()).filter(move |i| *i != own_region)
    }

    /// Selects a usable region for a key by weighted rendezvous hashing: each region gets the keys in proportion to
    /// its fraction. When a fraction moves from one region to another, few keys of other regions move. If the
    /// fractions of all usable regions are 0, each of them is equally likely.
    pub(crate) fn select(&self, key_hash: u64, is_usable: impl Fn(usize) -> bool) -> Option<usize> {
        let usable = || (0..self.fractions.len()).filter(|i| is_usable(*i));
        let all_unused = usable().all(|i| self.fractions[i] <= 0.0);
        let cost = |i: usize| {
            let weight = if all_unused { 1.0 } else { self.fractions[i] };
            let draw = unit_interval(mix64(key_hash, REGION_SALT + i as u64));
            // An exponentially distributed cost with the rate `weight`; infinite if the weight is 0.
            -draw.max(f64::MIN_POSITIVE).ln() / weight
        };
        usable().min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
    }

    /// Fraction of the requests that goes to a region.
    pub(crate) fn fraction(&self, region: usize) -> f64 {
        self.fractions[region]
    }
}
