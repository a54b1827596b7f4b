//! Whether the process of a target that this VM knows still runs.
//!
//! Answers a fault of the registry: the entry of a later process is read seconds after its start. A new connection may lead to
//! that process, and it may be cold. Only a recent answer of the known process shows that it still runs; otherwise the process
//! at the other end is asked. VMs tell each other at once that a process may have ended, or that one is cold.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use waxwing_types::{Millis, common_derives};

use super::cold_start::MAX_OPENING_TIME;
use super::{ENTRY_LAG, SelectedTarget, TargetKey, TargetPool, Warmth};

/// Time for which an answer shows that the process of a target still runs. A process that starts again needs longer, and VMs
/// without a connection to it see no sign of its end.
const HEARD_TIME: Millis = Millis(1000);
/// An answer counts only from this time after a sign that the process has ended: the time of an answer to another VM is known
/// with the delay of its heartbeat.
const DOUBT_MARGIN: Millis = Millis(250);
/// Time for which further signs that a process has ended are not told to other VMs.
const ALERT_PERIOD: Millis = Millis(1000);
/// Greatest cold time that is believed of a health check. A wrong value must not keep a target at its cold rate for long.
const MAX_COLD_TIME: Millis = Millis::from_secs(600);

common_derives! {
    copy
    /// What a connection that was opened to a target may be used for.
    pub enum ConnectionUse {
        /// It leads to the known process, which is warm.
        Known,
        /// It leads to a cold process; a cold start token was used for the request.
        Cold,
        /// It may lead to a later process, which must be asked whether it is cold.
        Unknown,
        /// The target gets no request: it has left or been replaced, or is cold and this VM has no token.
        Withdrawn,
    }
}

common_derives! {
    copy
    /// What a process says of itself when it is asked.
    pub enum HealthAnswer {
        /// It is warm.
        Warm,
        /// It stays cold for this time.
        Cold(Millis),
        /// It does not say, and gets no request on the connection.
        Unclear,
    }
}

common_derives! {
    copy
    /// What a VM tells all others about the process of a target. Encoded as a pair of numbers.
    #[derive(Serialize, Deserialize)]
    #[serde(from = "Encoded", into = "Encoded")]
    pub struct TargetAlert {
        /// The process, as in [`TargetObservation`](super::TargetObservation).
        pub process: u32,
        /// Time for which the process at the target's address is still cold; `None` if the known process may have ended.
        pub cold_left: Option<Millis>,
    }
}

/// Process, cold time in ms plus one or zero.
type Encoded = (u32, u64);

impl From<Encoded> for TargetAlert {
    fn from((process, cold): Encoded) -> Self {
        Self {
            process,
            cold_left: cold.checked_sub(1).map(Millis),
        }
    }
}

impl From<TargetAlert> for Encoded {
    fn from(alert: TargetAlert) -> Self {
        let cold = alert.cold_left.map_or(0, |left| left.0.saturating_add(1));
        (alert.process, cold)
    }
}

/// When the process of a target was last heard of.
#[derive(Debug, Default)]
pub(super) struct Continuity {
    heard: Option<Millis>,
    /// Time of the last sign that the process has ended.
    doubted: Option<Millis>,
    /// Time of the last sign that other VMs know of.
    told: Option<Millis>,
}

impl Continuity {
    /// Whether the process is known to run.
    fn is_known(&self, now: Millis) -> bool {
        self.heard.is_some_and(|heard| {
            now.since(heard) <= HEARD_TIME
                && self
                    .doubted
                    .is_none_or(|doubted| heard >= doubted + DOUBT_MARGIN)
        })
    }

    /// Whether a target of another region is believed without a question: there was no sign within [`ENTRY_LAG`] that its process
    /// has ended. A question to another region delays a request by a tenth of a second, and the VMs of that region, which ask, tell
    /// all others.
    fn is_undoubted(&self, now: Millis) -> bool {
        self.doubted
            .is_none_or(|doubted| now.since(doubted) >= ENTRY_LAG)
    }

    /// Records an answer of the process.
    pub(super) fn hear(&mut self, at: Millis) {
        self.heard = self.heard.max(Some(at));
    }

    /// Records that the process that runs at the address was identified.
    fn identify(&mut self, now: Millis) {
        self.heard = Some(now);
        self.doubted = None;
    }

    /// Records a sign that the process has ended.
    fn doubt(&mut self, now: Millis) {
        self.doubted = Some(now);
    }

    /// Records that other VMs are told of a sign. Returns false if they have been told a short time ago.
    fn tell(&mut self, now: Millis) -> bool {
        let is_due = self.told.is_none_or(|told| now.since(told) >= ALERT_PERIOD);
        if is_due {
            self.told = Some(now);
        }
        is_due
    }
}

/// What the other VMs have not been told yet.
pub(super) type UnsentAlerts = BTreeMap<u32, Option<Millis>>;

/// Connections to targets.
impl TargetPool {
    /// Decides on a connection that was opened for a request to a selected target.
    pub fn admit_connection(
        &mut self,
        now: Millis,
        key: TargetKey,
        selected: &SelectedTarget,
    ) -> ConnectionUse {
        if !self.is_still_usable(now, key, selected) {
            return ConnectionUse::Withdrawn;
        }
        let target = &self.targets[key];
        let is_far = target.region_index != self.own_region_index;
        let continuity = &target.continuity;
        if target.is_cold(now) {
            let holds_token = selected.warmth == Warmth::Cold
                && now.since(selected.selected_at) <= MAX_OPENING_TIME;
            self.use_cold(now, key, holds_token)
        } else if continuity.is_known(now) || is_far && continuity.is_undoubted(now) {
            ConnectionUse::Known
        } else {
            ConnectionUse::Unknown
        }
    }

    /// Whether a request to a selected target may go on any connection, because a cold start token was used for it.
    pub fn is_sent_cold(&self, now: Millis, key: TargetKey, selected: &SelectedTarget) -> bool {
        let target = self.targets.get(key);
        selected.warmth == Warmth::Cold && target.is_some_and(|target| target.is_cold(now))
    }

    /// Decides on a connection by what the process at its other end says of itself.
    pub fn on_health_answer(
        &mut self,
        now: Millis,
        key: TargetKey,
        selected: &SelectedTarget,
        answer: HealthAnswer,
    ) -> ConnectionUse {
        let Some(target) = self.targets.get_mut(key) else {
            return ConnectionUse::Withdrawn;
        };
        match answer {
            HealthAnswer::Warm => target.continuity.identify(now),
            HealthAnswer::Cold(left) => {
                let left = left.min(MAX_COLD_TIME);
                target.cold_start.state(now, left);
                let process = target.process();
                self.unsent_alerts.insert(process, Some(left));
            }
            HealthAnswer::Unclear => return ConnectionUse::Withdrawn,
        }
        if !self.is_still_usable(now, key, selected) {
            return ConnectionUse::Withdrawn;
        }
        if self.targets[key].is_cold(now) {
            self.assign_cold_target(now, key);
            self.use_cold(now, key, false)
        } else {
            ConnectionUse::Known
        }
    }

    /// Records an answer on a connection that leads to the known process.
    pub fn on_answer_heard(&mut self, now: Millis, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.continuity.hear(now);
        }
    }

    /// Records that a target closed an idle connection. It may just have been idle for too long.
    pub fn on_idle_closed(&mut self, now: Millis, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.continuity.doubt(now);
        }
    }

    /// Records that a request at a target broke, found no connection or got no answer.
    pub(super) fn doubt(&mut self, now: Millis, key: TargetKey) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        target.continuity.doubt(now);
        if target.continuity.tell(now) {
            let process = target.process();
            self.unsent_alerts.entry(process).or_default();
        }
    }

    /// Whether a target that was selected for a request may still get it.
    fn is_still_usable(&self, now: Millis, key: TargetKey, selected: &SelectedTarget) -> bool {
        let target = self.targets.get(key);
        target.is_some_and(|target| target.is_ready() && !self.is_evacuated(target))
            && !self.is_withdrawn(now, selected)
    }

    fn use_cold(&mut self, now: Millis, key: TargetKey, holds_token: bool) -> ConnectionUse {
        if holds_token || self.targets[key].cold_start.take_token(now) {
            ConnectionUse::Cold
        } else {
            ConnectionUse::Withdrawn
        }
    }
}

/// Alerts.
impl TargetPool {
    /// Whether there is something to tell the other VMs.
    pub fn has_alerts(&self) -> bool {
        !self.unsent_alerts.is_empty()
    }

    /// Returns what the other VMs have not been told yet.
    pub fn take_alerts(&mut self) -> Vec<TargetAlert> {
        let alerts = std::mem::take(&mut self.unsent_alerts).into_iter();
        alerts
            .map(|(process, cold_left)| TargetAlert { process, cold_left })
            .collect()
    }

    /// Applies what another VM tells of targets. Processes that this VM does not know are ignored.
    pub fn apply_alerts(&mut self, now: Millis, alerts: &[TargetAlert]) {
        for alert in alerts {
            let Some(key) = self.keys_by_process.get(&alert.process).copied() else {
                continue;
            };
            let target = &mut self.targets[key];
            target.continuity.doubt(now);
            target.continuity.tell(now);
            if let Some(left) = alert.cold_left {
                target.cold_start.state(now, left.min(MAX_COLD_TIME));
                self.assign_cold_target(now, key);
            }
        }
    }
}
