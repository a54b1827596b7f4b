//! The parts of a service's requests that go to each region.
//!
//! The parts move in small steps, because a move of traffic from region to region is bounded and meets
//! cold caches.

use waxwing_types::Millis;

/// Part that may move in 1 s. The rules allow 0.15 in 2 s.
const STEP: f64 = 0.05;
/// Utilization of the own region above which requests are sent out.
const HIGH: f64 = 0.60;
/// Utilization of the own region below which requests are taken back.
const LOW: f64 = 0.40;
/// Utilization by which another region must be lower to take requests.
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

    /// Moves the parts towards even utilization, by at most [`STEP`] a second.
    pub(crate) fn adjust(&mut self, now: Millis, rooms: &[Room]) {
        #[allow(clippy::cast_precision_loss, reason = "a period is short")]
        let step = STEP * (now.since(self.moved).0.min(1000) as f64) / 1000.0;
        self.moved = now;
        let own = rooms[self.own].utilization();
        if own > HIGH {
            let best = self.others().min_by(|a, b| {
                let (a, b) = (rooms[*a].utilization(), rooms[*b].utilization());
                a.total_cmp(&b)
            });
            if let Some(best) = best
                && rooms[best].utilization() + GAP < own
            {
                self.shift(self.own, best, step);
            }
        } else if own < LOW {
            let worst = self.others().filter(|i| self.parts[*i] > 0.0);
            let worst = worst.max_by(|a, b| {
                let (a, b) = (rooms[*a].utilization(), rooms[*b].utilization());
                a.total_cmp(&b)
            });
            if let Some(worst) = worst {
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
