//! The parts of a service's requests that go to each region.
//!
//! The parts move in small steps, because a move of traffic from region to region is bounded and meets
//! cold caches.

use waxwing_types::Millis;

/// Part that may move in 1 s. The rules allow 0.15 in 2 s.
const STEP: f64 = 0.05;
/// Utilization of a region above which its part moves to the least busy one.
const HIGH: f64 = 0.60;
/// Utilization of the own region below which requests are taken back.
const LOW: f64 = 0.20;
/// Utilization by which a region must be lower to take requests of another.
const GAP: f64 = 0.10;

/// What is known of a region.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Room {
    /// Slots of its usable targets.
    pub(crate) slots: f64,
    /// Requests that they run or hold.
    pub(crate) load: f64,
}

impl Room {
    fn utilization(self) -> f64 {
        if self.slots > 0.0 {
            self.load / self.slots
        } else {
            f64::INFINITY
        }
    }
}

/// The parts by region.
#[derive(Debug)]
pub(crate) struct Mix {
    own: usize,
    parts: Vec<f64>,
    moved: Millis,
}

impl Mix {
    /// The parts that fit the slots of each region, for equal demand in all regions.
    pub(crate) fn new(now: Millis, own: usize, rooms: &[Room]) -> Self {
        #[allow(clippy::cast_precision_loss, reason = "regions are few")]
        let even = rooms.iter().map(|r| r.slots).sum::<f64>() / rooms.len().max(1) as f64;
        let kept = if even > 0.0 {
            (rooms[own].slots / even).min(1.0)
        } else {
            1.0
        };
        let spare = |room: &Room| (room.slots - even).max(0.0);
        let others = || rooms.iter().enumerate().filter(|(i, _)| *i != own);
        let total: f64 = others().map(|(_, room)| spare(room)).sum();
        let mut parts = vec![0.0; rooms.len()];
        for (i, room) in others() {
            if total > 0.0 {
                parts[i] = (1.0 - kept) * spare(room) / total;
            }
        }
        parts[own] = 1.0 - parts.iter().sum::<f64>();
        Self {
            own,
            parts,
            moved: now,
        }
    }

    /// Moves the parts away from the fullest region, own or not, or home where there is room; by at most
    /// [`STEP`] a second.
    pub(crate) fn adjust(&mut self, now: Millis, rooms: &[Room]) {
        #[allow(clippy::cast_precision_loss, reason = "a period is short")]
        let step = STEP * (now.since(self.moved).0.min(1000) as f64) / 1000.0;
        self.moved = now;
        let load = |i: &usize| rooms[*i].utilization();
        let by_load = |a: &usize, b: &usize| load(a).total_cmp(&load(b));
        let all = || std::iter::once(self.own).chain(self.others());
        let least = all().min_by(by_load);
        // The part of a region that lost its targets stays, so that it is used again once they are back.
        let fullest = all()
            .filter(|i| self.parts[*i] > 0.0 && (*i == self.own || rooms[*i].slots > 0.0))
            .max_by(by_load);
        if let (Some(least), Some(fullest)) = (least, fullest)
            && load(&fullest) > HIGH
            && load(&least) + GAP < load(&fullest)
        {
            self.shift(fullest, least, step);
            return;
        }
        if load(&self.own) < LOW {
            let used = self.others().filter(|i| self.parts[*i] > 0.0);
            if let Some(worst) = used.max_by(by_load) {
                self.shift(worst, self.own, step);
            }
        }
    }

    fn shift(&mut self, from: usize, to: usize, step: f64) {
        let step = step.min(self.parts[from]);
        self.parts[from] -= step;
        self.parts[to] += step;
    }

    fn others(&self) -> impl Iterator<Item = usize> + use<> {
        let own = self.own;
        (0..self.parts.len()).filter(move |i| *i != own)
    }

    /// The region for a draw in [0, 1), among those that may be used.
    pub(crate) fn region(&self, draw: f64, usable: impl Fn(usize) -> bool) -> Option<usize> {
        let order = || std::iter::once(self.own).chain(self.others());
        let open: Vec<usize> = order().filter(|i| usable(*i)).collect();
        let total: f64 = open.iter().map(|i| self.parts[*i]).sum();
        if total <= 0.0 {
            // Without parts in any usable region the draw is spread evenly.
            #[allow(
                clippy::cast_precision_loss,
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "regions are few"
            )]
            let at = (draw * open.len() as f64) as usize;
            return open.get(at).copied();
        }
        let mut left = draw * total;
        for i in &open {
            if left < self.parts[*i] {
                return Some(*i);
            }
            left -= self.parts[*i];
        }
        open.last().copied()
    }

    /// The part of a region.
    pub(crate) fn part(&self, region: usize) -> f64 {
        self.parts[region]
    }
}
